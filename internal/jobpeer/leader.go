package jobpeer

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/fleetfeed"
)

// LeaderFeed lets the workers read the registry through one of them, so that its price does not rise with their number.
// It implements follower.Source. It is no lock: while workers come and go several may read, or one reads in vain and the
// others read for themselves.
type LeaderFeed struct {
	// Leader returns the address of the worker that reads for the others, and false where that is this node or unknown.
	Leader func() (address string, other bool)
	// Connect returns a connection to an address.
	Connect func(address string) (drpc.Conn, error)
	Now     func() time.Time

	mutex sync.Mutex
	// avoided is until when the address is left alone after a failed call.
	avoided map[string]time.Time
}

// Next implements follower.Source.
func (l *LeaderFeed) Next(ctx context.Context, known *fleetfeed.Known) (*fleetfeed.Snapshot, error) {
	address, other := l.Leader()
	if !other || l.avoids(address) {
		return nil, ErrNoWorker
	}
	connection, err := l.Connect(address)
	if err != nil {
		l.avoid(address)
		return nil, err
	}
	snapshot, err := fleetfeed.Ask(ctx, connection, known)
	if err != nil {
		l.avoid(address)
	}
	return snapshot, err
}

func (l *LeaderFeed) avoids(address string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.Now().Before(l.avoided[address])
}

func (l *LeaderFeed) avoid(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	// Only one address is avoided at a time: there is one leader.
	l.avoided = map[string]time.Time{address: l.Now().Add(avoidFor)}
}
