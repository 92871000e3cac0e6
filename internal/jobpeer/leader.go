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

// LeaderFeed lets the workers read the registry through one of them, so that its price does not rise with their number.
// It implements follower.Source. It is no lock: while workers come and go several may read, or one reads in vain and the
// others read for themselves.
type LeaderFeed struct {
	// Reader returns the address of the worker that reads for this one, and false where that is this node or none answers.
	Reader func(avoided func(address string) bool) (address string, other bool)
	// InLine says whether this worker is one of those that read for others.
	InLine func() bool
	// Connect returns a connection to an address.
	Connect func(address string) (drpc.Conn, error)
	Now     func() time.Time

	avoidance avoidance
	// old holds the workers that answer and told what was too old: the store may turn them away alone.
	old avoidance

	mutex sync.Mutex
	// asked is the address of the call in progress, stop ends it; last is the one asked last.
	asked, last string
	stop        context.CancelFunc
}

// Next implements follower.Source. The call is given up where this node is to read itself meanwhile: the others wait for it, and
// what it was told is as old as what they were.
func (l *LeaderFeed) Next(ctx context.Context, known *fleetfeed.Known) (*fleetfeed.Snapshot, error) {
	address, other := l.reader()
	if !other {
		return nil, follower.ErrReadAlone
	}
	call, stop := context.WithCancel(ctx)
	defer stop()
	l.begin(address, stop)
	defer l.begin("", nil)
	connection, err := l.Connect(address)
	if err != nil {
		l.avoid(address)
		return nil, err
	}
	snapshot, err := fleetfeed.Ask(call, connection, known)
	switch {
	case err == nil:
		// Workers follow each other by themselves: they need not be told of them again.
		known.WorkersPrint = snapshot.WorkersPrint
		return snapshot, nil
	case call.Err() != nil && ctx.Err() == nil:
		return nil, follower.ErrReadAlone
	}
	l.avoid(address)
	return nil, err
}

func (l *LeaderFeed) begin(address string, stop context.CancelFunc) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.asked, l.stop = address, stop
	if address != "" {
		l.last = address
	}
}

// PassOver implements follower.Passing.
func (l *LeaderFeed) PassOver() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.old.avoid(l.last, l.Now())
}

// reader returns the worker to ask: the first in line that answers and tells what is new, and otherwise one that answers, unless this
// worker is in line itself. While the store is away from all, what they tell is old, and one or two are to look for its return.
func (l *LeaderFeed) reader() (string, bool) {
	address, other := l.Reader(func(address string) bool { return l.avoids(address) || l.old.avoids(address, l.Now()) })
	if other || l.InLine() {
		return address, other
	}
	return l.Reader(l.avoids)
}

// Changed has the call in progress end where this node is to read itself now.
func (l *LeaderFeed) Changed() {
	l.mutex.Lock()
	asked, stop := l.asked, l.stop
	l.mutex.Unlock()
	if asked == "" {
		return
	}
	if _, other := l.reader(); !other {
		stop()
	}
}

func (l *LeaderFeed) avoids(address string) bool { return l.avoidance.avoids(address, l.Now()) }

func (l *LeaderFeed) avoid(address string) { l.avoidance.avoid(address, l.Now()) }

// avoidance is until when addresses are left alone after a call in vain. It is safe for concurrent use.
type avoidance struct {
	mutex sync.Mutex
	until map[string]time.Time
}

func (a *avoidance) avoids(address string, now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return now.Before(a.until[address])
}

func (a *avoidance) avoid(address string, now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.until == nil {
		a.until = map[string]time.Time{}
	}
	maps.DeleteFunc(a.until, func(_ string, until time.Time) bool { return now.After(until) })
	a.until[address] = now.Add(avoidFor)
}
