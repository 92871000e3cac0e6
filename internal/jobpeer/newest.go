package jobpeer

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/fleetfeed"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/jobworker"
	"mallowlatch.example/mallowlatch/internal/sharedread"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// newestEvery is the time between the beginnings of two readings of the configuration that a worker makes for other nodes: what
	// unknown keys cause must not grow with the nodes that they are tried at. A configuration that changed comes without it.
	newestEvery = 500 * time.Millisecond
	// newestTimeout bounds a question for the newest configuration: newestEvery, and what a store takes that is sixty times as slow as
	// usual.
	newestTimeout = newestEvery + 300*time.Millisecond
)

// NewestReadings are the readings of the configuration that a worker makes for other nodes.
func NewestReadings(read func(ctx context.Context) error, now func() time.Time) *sharedread.Readings {
	return &sharedread.Readings{Read: read, Every: newestEvery, Now: now}
}

// Newest has the worker that reads the store for all read the configuration anew, so that the price of the readings does not rise with the
// number of nodes that need one. It is safe for concurrent use.
type Newest struct {
	Holders *Holders
	Logger  zerolog.Logger

	avoidance avoidance
}

// Catalog returns the configuration as of a reading that begins after the call, or nil where it is not newer than the version. The error
// says that the caller must read itself.
func (n *Newest) Catalog(ctx context.Context, version int64) (*work.Catalog, error) {
	address, found := n.reader()
	if !found {
		return nil, ErrNoWorker
	}
	ctx, cancel := context.WithTimeout(ctx, newestTimeout)
	defer cancel()
	connection, err := n.Holders.Connect(address)
	if err == nil {
		var catalog *work.Catalog
		if catalog, err = fleetfeed.AskNewest(ctx, connection, version); err == nil {
			return catalog, nil
		}
	}
	n.avoidance.avoid(address, n.Holders.Now())
	event.ReaderAvoided.Log(n.Logger).Str("address", address).Err(err).Send()
	return nil, err
}

// reader returns the address of the worker that reads for all: the first by name, or the next one in line while that is avoided.
func (n *Newest) reader() (string, bool) {
	workers := n.Holders.known()
	slices.SortFunc(workers, func(first, second jobrecord.Worker) int { return cmp.Compare(first.Node, second.Node) })
	for _, worker := range workers[:min(len(workers), jobworker.ReadersInLine)] {
		if !n.avoidance.avoids(worker.Address, n.Holders.Now()) {
			return worker.Address, true
		}
	}
	return "", false
}
