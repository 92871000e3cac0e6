package jobpeer

import (
	"context"
	"maps"
	"sync"
	"time"

	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/fleetfeed"
	"mallowlatch.example/mallowlatch/internal/follower"
)

// LeaderFeed lets workers read the registry through one of them, so that the load on the store does not grow with the number
// of workers. It implements follower.Source. It does not elect an exclusive reader: while workers start and stop, several may
// read, or the reader may fail and the others read for themselves.
type LeaderFeed struct {
	// Reader returns the address of the worker that reads for this one. It returns false if that is this node or no reader
	// answers.
	Reader func(skipped func(address string) bool) (address string, other bool)
	// Eligible reports whether this worker is one of those that may read for others.
	Eligible func() bool
	Connect  func(address string) (drpc.Conn, error)
	Now      func() time.Time

	skippedAddresses skippedAddresses
	// stale holds the workers that answer with stale state: the store may refuse only them.
	stale skippedAddresses

	mutex sync.Mutex
	// current is the address of the call in progress, and stop cancels that call; last is the address called most recently.
	current, last string
	stop          context.CancelFunc
}

// Next implements follower.Source. It cancels the call if this node becomes the reader meanwhile: the other workers then wait
// for this one, and the answer would be as old as theirs.
func (l *LeaderFeed) Next(ctx context.Context, known *fleetfeed.SnapshotRequest) (*fleetfeed.Snapshot, error) {
	address, other := l.reader()
	if !other {
		return nil, follower.ErrNoSource
	}
	call, stop := context.WithCancel(ctx)
	defer stop()
	l.setCall(address, stop)
	defer l.setCall("", nil)
	connection, err := l.Connect(address)
	if err != nil {
		l.skip(address)
		return nil, err
	}
	snapshot, err := fleetfeed.FetchSnapshot(call, connection, known)
	switch {
	case err == nil:
		// Workers follow each other directly and do not need the list of workers again.
		known.WorkersFingerprint = snapshot.WorkersFingerprint
		return snapshot, nil
	case call.Err() != nil && ctx.Err() == nil:
		return nil, follower.ErrNoSource
	}
	l.skip(address)
	return nil, err
}

func (l *LeaderFeed) setCall(address string, stop context.CancelFunc) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.current, l.stop = address, stop
	if address != "" {
		l.last = address
	}
}

// SwitchNode implements follower.SwitchableSource.
func (l *LeaderFeed) SwitchNode() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.stale.skip(l.last, l.Now())
}

// reader returns the worker to ask: the first eligible reader that answers with current state. If there is none and this
// worker is not eligible itself, it returns any reader that answers. During an outage of the store for all nodes every answer
// is stale, and only one or two workers should poll the store for its return.
func (l *LeaderFeed) reader() (string, bool) {
	address, other := l.Reader(func(address string) bool { return l.skips(address) || l.stale.skips(address, l.Now()) })
	if other || l.Eligible() {
		return address, other
	}
	return l.Reader(l.skips)
}

// Changed cancels the call in progress if this node has to read the registry itself now.
func (l *LeaderFeed) Changed() {
	l.mutex.Lock()
	current, stop := l.current, l.stop
	l.mutex.Unlock()
	if current == "" {
		return
	}
	if _, other := l.reader(); !other {
		stop()
	}
}

func (l *LeaderFeed) skips(address string) bool { return l.skippedAddresses.skips(address, l.Now()) }

func (l *LeaderFeed) skip(address string) { l.skippedAddresses.skip(address, l.Now()) }

// skippedAddresses records until when addresses are skipped after a failed call. It is safe for concurrent use.
type skippedAddresses struct {
	mutex sync.Mutex
	until map[string]time.Time
}

func (a *skippedAddresses) skips(address string, now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return now.Before(a.until[address])
}

func (a *skippedAddresses) skip(address string, now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.until == nil {
		a.until = map[string]time.Time{}
	}
	maps.DeleteFunc(a.until, func(_ string, until time.Time) bool { return now.After(until) })
	a.until[address] = now.Add(skipDuration)
}
