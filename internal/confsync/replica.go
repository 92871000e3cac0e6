package confsync

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/transport"
)

// peerRefreshPeriod is how often the list of live peers is read.
const peerRefreshPeriod = 500 * time.Millisecond

// Options configure a Replica. Self, Store, Peers and Dialer are required.
type Options struct {
	Self   Peer
	Store  kv.Store
	Peers  PeerSource
	Dialer transport.Dialer
	// Decode decodes a state into a catalog snapshot; if nil, the snapshot is empty and has the state's revision.
	Decode Decode
	// DataDir is the directory in which the newest copy is saved; if empty, nothing is written to disk.
	DataDir    string
	Logger     zerolog.Logger
	Registerer prometheus.Registerer
	// Timing defaults to DefaultTiming if zero.
	Timing Timing
	// Seed seeds the random choice of peers and must differ between nodes.
	Seed uint64
}

// Replica is a node's copy of the configuration. It implements catalog.Source and LocalCopy and is safe for concurrent use. It
// can be used before Run, which keeps it up to date.
type Replica struct {
	options Options
	remote  remote
	metrics *metrics
	wake    chan struct{}

	publisher *publisher

	mutex sync.Mutex
	core  *Core
	// advanced is closed and replaced when the copy's revision increases, whether or not the state can be decoded.
	advanced chan struct{}
	// inputReceived is closed and replaced after each input to the core.
	inputReceived    chan struct{}
	divergenceLogged bool
}

var (
	_ catalog.Source = (*Replica)(nil)
	_ LocalCopy      = (*Replica)(nil)
)

// NewReplica returns a replica with the copy saved in the data directory, or with an empty copy if there is none.
func NewReplica(options Options) (*Replica, error) {
	if options.Timing == (Timing{}) {
		options.Timing = DefaultTiming()
	}
	if options.Decode == nil {
		options.Decode = decodeEmpty
	}
	registered, err := newMetrics(options.Registerer)
	if err != nil {
		return nil, fmt.Errorf("new configuration replica: %w", err)
	}
	replica := &Replica{
		options:       options,
		remote:        remote{store: options.Store},
		metrics:       registered,
		wake:          make(chan struct{}, 1),
		core:          NewCore(options.Self, options.Timing, options.Seed, time.Now()),
		publisher:     newPublisher(options, registered),
		advanced:      make(chan struct{}),
		inputReceived: make(chan struct{}),
	}
	replica.load()
	return replica, nil
}

func decodeEmpty(state *State) (*catalog.Snapshot, error) {
	snapshot := catalog.Empty()
	snapshot.Revision = state.Revision
	return snapshot, nil
}

// Run keeps the copy up to date from peers and, on relays, from the key-value service until ctx is done. If a data directory
// is set, it also saves the copy to disk.
func (r *Replica) Run(ctx context.Context) error {
	supervisor, running := tomb.WithContext(ctx)
	supervisor.Go(func() error {
		supervisor.Go(func() error { return r.exchange(running, supervisor) })
		supervisor.Go(func() error { return r.follow(running) })
		if r.options.DataDir != "" {
			supervisor.Go(func() error { return r.save(running) })
		}
		return nil
	})
	if err := supervisor.Wait(); err != nil && ctx.Err() == nil {
		return fmt.Errorf("configuration replica: %w", err)
	}
	return nil
}

// Current implements catalog.Source.
func (r *Replica) Current() *catalog.Snapshot { return r.publisher.current() }

// Changed implements catalog.Source.
func (r *Replica) Changed(afterRevision int64) <-chan struct{} {
	return r.publisher.changedAfter(afterRevision)
}

// State implements LocalCopy.
func (r *Replica) State() *State {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.core.State()
}

// Learn implements LocalCopy.
func (r *Replica) Learn(changes []Change) {
	r.update(func(core *Core, now time.Time) { core.Learn(now, changes) })
}

// Install implements LocalCopy.
func (r *Replica) Install(state *State) {
	r.update(func(core *Core, now time.Time) { core.Install(now, state) })
}

// Recent implements LocalCopy.
func (r *Replica) Recent(id string) (Change, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.core.Recent(id)
}

// Relay reports whether this node watches the key-value service for its zone.
func (r *Replica) Relay() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.core.Relay()
}

// update passes one input to the core and wakes the sender of its messages. If the revision increased, it returns after an
// attempt to put the newest state in force.
func (r *Replica) update(input func(core *Core, now time.Time)) {
	if r.updateCore(input) {
		r.publisher.publish(r.State)
	}
}

// updateCore passes one input to the core and reports whether the revision increased.
func (r *Replica) updateCore(input func(core *Core, now time.Time)) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	before := r.core.State().Revision
	input(r.core, time.Now())
	revision := r.core.State().Revision
	if revision > before {
		r.metrics.revision.Set(float64(revision))
		close(r.advanced)
		r.advanced = make(chan struct{})
	}
	if r.core.Diverged() && !r.divergenceLogged {
		r.divergenceLogged = true
		event.ConfigDiverged.Log(r.options.Logger).Int64("revision", revision).Send()
	}
	close(r.inputReceived)
	r.inputReceived = make(chan struct{})
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return revision > before
}

// AwaitHeld waits until another node is known to have the revision or ctx is done, and reports whether one has it. It returns
// at once if there are no peers.
func (r *Replica) AwaitHeld(ctx context.Context, revision int64) bool {
	for {
		r.mutex.Lock()
		held, alone := r.core.Held(revision), len(r.core.peers) == 0
		inputReceived := r.inputReceived
		r.mutex.Unlock()
		if held || alone {
			return held
		}
		select {
		case <-inputReceived:
		case <-ctx.Done():
			return false
		}
	}
}
