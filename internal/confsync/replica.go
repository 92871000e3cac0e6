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

// peerPeriod is how often the list of live peers is read.
const peerPeriod = 500 * time.Millisecond

// Options make a Replica. Self, Store, Peers and Dialer are required.
type Options struct {
	Self   Peer
	Store  kv.Store
	Peers  PeerSource
	Dialer transport.Dialer
	// Decode makes the catalog snapshot of a state; nil means an empty snapshot at the state's revision.
	Decode Decode
	// DataDir is where the last copy is saved; empty means that nothing is written to disk.
	DataDir    string
	Logger     zerolog.Logger
	Registerer prometheus.Registerer
	// Timing is DefaultTiming if zero.
	Timing Timing
	// Seed drives the choice of peers; nodes need different ones.
	Seed uint64
}

// Replica is a node's copy of the configuration. It implements catalog.Source and LocalCopy and is safe for concurrent
// use. It is usable before Run, which feeds it.
type Replica struct {
	options Options
	remote  remote
	metrics *metrics
	wake    chan struct{}

	publisher *publisher

	mutex sync.Mutex
	core  *Core
	// advanced is closed when the copy's revision grows, whether or not it could be decoded.
	advanced chan struct{}
	// heard is closed at the next input of the core.
	heard  chan struct{}
	warned bool
}

var (
	_ catalog.Source = (*Replica)(nil)
	_ LocalCopy      = (*Replica)(nil)
)

// NewReplica returns a copy: empty, or the one saved in the data folder.
func NewReplica(options Options) (*Replica, error) {
	if options.Timing == (Timing{}) {
		options.Timing = DefaultTiming()
	}
	if options.Decode == nil {
		options.Decode = decodeNothing
	}
	registered, err := newMetrics(options.Registerer)
	if err != nil {
		return nil, fmt.Errorf("new configuration replica: %w", err)
	}
	replica := &Replica{
		options:   options,
		remote:    remote{store: options.Store},
		metrics:   registered,
		wake:      make(chan struct{}, 1),
		core:      NewCore(options.Self, options.Timing, options.Seed, time.Now()),
		publisher: newPublisher(options, registered),
		advanced:  make(chan struct{}),
		heard:     make(chan struct{}),
	}
	replica.load()
	return replica, nil
}

func decodeNothing(state *State) (*catalog.Snapshot, error) {
	snapshot := catalog.Empty()
	snapshot.Revision = state.Revision
	return snapshot, nil
}

// Run feeds the copy from peers and, on relays, from the key-value service, until ctx ends.
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

// update runs one input of the core and has its messages sent. If the revision grew, it returns once the newest state is in
// force.
func (r *Replica) update(input func(core *Core, now time.Time)) {
	if r.updateCore(input) {
		r.publisher.publish(r.State)
	}
}

// updateCore runs one input of the core and reports whether the revision grew.
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
	if r.core.Diverged() && !r.warned {
		r.warned = true
		event.ConfigDiverged.Log(r.options.Logger).Int64("revision", revision).Send()
	}
	close(r.heard)
	r.heard = make(chan struct{})
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return revision > before
}

// AwaitHeld waits until another node is known to hold the revision, and reports whether one is. It does not wait if there
// is no other node.
func (r *Replica) AwaitHeld(ctx context.Context, revision int64) bool {
	for {
		r.mutex.Lock()
		held, alone := r.core.Held(revision), len(r.core.peers) == 0
		heard := r.heard
		r.mutex.Unlock()
		if held || alone {
			return held
		}
		select {
		case <-heard:
		case <-ctx.Done():
			return false
		}
	}
}
