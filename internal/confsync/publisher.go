package confsync

import (
	"sync"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/event"
)

// publisher decodes states and puts the resulting snapshots in force. Decoding a large configuration takes tens of
// milliseconds, so it does not run under a lock that snapshot readers or exchanges with other nodes need.
type publisher struct {
	decode  Decode
	logger  zerolog.Logger
	metrics *metrics

	// decoding is locked while a state is decoded, so that snapshots are published in revision order. Each caller reads the
	// newest state after acquiring it, so that a burst of changes needs only a few decodes instead of one per change.
	decoding sync.Mutex
	// lastAttempted is the newest revision for which decoding was attempted; guarded by decoding.
	lastAttempted int64

	mutex    sync.Mutex
	snapshot *catalog.Snapshot
	changed  chan struct{}
}

func newPublisher(options Options, registered *metrics) *publisher {
	return &publisher{
		decode:   options.Decode,
		logger:   options.Logger,
		metrics:  registered,
		snapshot: catalog.Empty(),
		changed:  make(chan struct{}),
	}
}

// publish decodes the newest state and puts it in force before it returns, unless decoding that revision was already
// attempted. If decoding fails, the previous snapshot stays in force.
func (p *publisher) publish(newest func() *State) {
	p.decoding.Lock()
	defer p.decoding.Unlock()
	state := newest()
	if state.Revision <= p.lastAttempted {
		return
	}
	p.lastAttempted = state.Revision
	snapshot, err := p.decode(state)
	if err != nil {
		event.ConfigDecodeFailed.Log(p.logger).Int64("revision", state.Revision).Err(err).Send()
		return
	}
	p.replace(snapshot)
	p.metrics.inForce.Set(float64(snapshot.Revision))
	event.ConfigInForce.Log(p.logger).Int64("revision", snapshot.Revision).Send()
}

func (p *publisher) replace(snapshot *catalog.Snapshot) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.snapshot = snapshot
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *publisher) current() *catalog.Snapshot {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.snapshot
}

// changedAfter returns a channel that is closed once a snapshot newer than the revision is in force.
func (p *publisher) changedAfter(revision int64) <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.snapshot.Revision > revision {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return p.changed
}
