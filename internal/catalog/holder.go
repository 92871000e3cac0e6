package catalog

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Holder is the Source of a node: it keeps the newest snapshot. Its methods are safe for concurrent use; Current
// takes no lock.
type Holder struct {
	current atomic.Pointer[Snapshot]
	mu      sync.Mutex
	// changed is closed, and replaced, when a snapshot is published.
	changed chan struct{}
}

var _ Source = (*Holder)(nil)

// NewHolder returns a holder of the empty snapshot at revision zero.
func NewHolder() *Holder {
	holder := &Holder{changed: make(chan struct{})}
	holder.current.Store(Empty())
	return holder
}

// Current returns the newest published snapshot.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Publish makes the snapshot current. The revision on a node only ever grows: an older snapshot is refused with
// ErrStaleRevision, and one of the same revision changes nothing.
func (h *Holder) Publish(snapshot *Snapshot) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	present := h.current.Load().Revision
	if snapshot.Revision < present {
		return fmt.Errorf("publishing revision %d over %d: %w", snapshot.Revision, present, ErrStaleRevision)
	}
	if snapshot.Revision == present {
		return nil
	}
	h.current.Store(snapshot)
	close(h.changed)
	h.changed = make(chan struct{})
	return nil
}

// Changed returns a channel that is closed once a snapshot newer than the revision is current; it is closed already
// if there is one.
func (h *Holder) Changed(afterRevision int64) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current.Load().Revision > afterRevision {
		return closedChannel
	}
	return h.changed
}

var closedChannel = func() chan struct{} {
	channel := make(chan struct{})
	close(channel)
	return channel
}()
