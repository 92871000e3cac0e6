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
	// newestInterval is the minimum interval between reads of the configuration that a worker makes for other nodes: the load
	// caused by unknown keys must not grow with the number of nodes that receive them. A changed configuration is distributed
	// without these reads.
	newestInterval = 500 * time.Millisecond
	// newestTimeout is the timeout of a call for the newest configuration: newestInterval plus the time of a store call that is
	// sixty times slower than usual.
	newestTimeout = newestInterval + 300*time.Millisecond
)

// NewSharedReads shares the reads of the configuration that a worker makes for other nodes.
func NewSharedReads(read func(ctx context.Context) error, now func() time.Time) *sharedread.Readings {
	return &sharedread.Readings{Read: read, Every: newestInterval, Now: now}
}

// NewestConfiguration has one worker read the configuration for all nodes, so that the load on the store does not grow with the number of
// nodes that need a read. It is safe for concurrent use.
type NewestConfiguration struct {
	Client *WorkerClient
	Logger zerolog.Logger

	skippedAddresses skippedAddresses
}

// Catalog returns the configuration of a read that starts after this call, or nil if that is not newer than version. On an
// error the caller must read the configuration itself.
func (n *NewestConfiguration) Catalog(ctx context.Context, version int64) (*work.Catalog, error) {
	address, found := n.reader()
	if !found {
		return nil, ErrNoWorker
	}
	ctx, cancel := context.WithTimeout(ctx, newestTimeout)
	defer cancel()
	connection, err := n.Client.Connect(address)
	if err == nil {
		var catalog *work.Catalog
		if catalog, err = fleetfeed.FetchNewestCatalog(ctx, connection, version); err == nil {
			return catalog, nil
		}
	}
	n.skippedAddresses.skip(address, n.Client.Now())
	event.ReaderSkipped.Log(n.Logger).Str("address", address).Err(err).Send()
	return nil, err
}

// reader returns the address of the worker that reads for all nodes: the first by name that is not skipped, among the first
// jobworker.MaxReaders.
func (n *NewestConfiguration) reader() (string, bool) {
	workers := n.Client.knownWorkers()
	slices.SortFunc(workers, func(first, second jobrecord.Worker) int { return cmp.Compare(first.Node, second.Node) })
	for _, worker := range workers[:min(len(workers), jobworker.MaxReaders)] {
		if !n.skippedAddresses.skips(worker.Address, n.Client.Now()) {
			return worker.Address, true
		}
	}
	return "", false
}
