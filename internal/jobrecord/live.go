package jobrecord

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"mallowlatch.example/mallowlatch/internal/changefeed"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/kv"
)

// Worker is the entry of a node that runs jobs. It goes with the node's lease.
type Worker struct {
	Node ident.Node `json:"-"`
	Zone ident.Zone `json:"zone"`
	// Address is where other nodes read results from the worker's memory.
	Address string `json:"address"`
}

// Live is what every worker follows. The zero Live is empty; it is not safe for concurrent use.
type Live struct {
	Open map[ident.Job]Open
	// Claimed holds the node that holds each claim.
	Claimed map[ident.Job]ident.Node
	Workers map[ident.Node]Worker
	// Revision is what to ask for changes after; zero asks for the whole.
	Revision int64
}

func newLive() *Live {
	return &Live{Open: map[ident.Job]Open{}, Claimed: map[ident.Job]ident.Node{}, Workers: map[ident.Node]Worker{}}
}

// ReadLive reads the whole.
func (r *Records) ReadLive(ctx context.Context) (*Live, error) {
	update, err := r.LiveWhole(ctx)
	if err != nil {
		return nil, err
	}
	live := &Live{}
	r.Apply(live, update)
	return live, nil
}

// LiveWhole reads the whole as an update. Its pages are not one snapshot, but each change since the first page comes again with
// the changes after its revision.
func (r *Records) LiveWhole(ctx context.Context) (changefeed.Update, error) {
	sent := r.Now()
	pairs, revision, err := kv.ListAll(ctx, r.Store, prefixLive, kv.PageOptions{})
	if err != nil {
		return changefeed.Update{}, err
	}
	update := changefeed.Update{Whole: true, Revision: revision, AsOf: sent}
	for _, pair := range pairs {
		update.Changes = append(update.Changes, kv.WatchEvent{Pair: pair})
	}
	return update, nil
}

// LiveChanges waits for changes after a revision, at most for the wait.
func (r *Records) LiveChanges(ctx context.Context, after int64, wait time.Duration) (changefeed.Update, error) {
	sent := r.Now()
	response, err := r.Store.Changes(ctx, prefixLive, after, wait)
	if err != nil {
		return changefeed.Update{}, err
	}
	return changefeed.Update{Changes: response.Events, Revision: max(after, response.Revision), AsOf: sent}, nil
}

// Apply takes an update over. An entry that cannot be read changes nothing.
func (r *Records) Apply(live *Live, update changefeed.Update) {
	if update.Whole {
		*live = *newLive()
	}
	for _, change := range update.Changes {
		r.apply(live, change)
	}
	live.Revision = update.Revision
}

// Register writes the entry of a worker under its lease, and returns the revision of the writing. The entry must be as it was
// read: a registration that was not answered and takes effect late would put the entry under a lease that is not renewed any
// more, and the entry would go with it while the worker lives.
func (r *Records) Register(ctx context.Context, worker Worker, lease kv.LeaseID) (int64, error) {
	revision := int64(0)
	for range registrationTries {
		result, err := r.Store.Commit(ctx,
			[]kv.Compare{{Key: keyWorker(worker.Node), ModRevision: revision}},
			[]kv.Write{{Key: keyWorker(worker.Node), Value: encode(worker), Lease: lease}})
		if err != nil || result.Succeeded {
			return result.Revision, err
		}
		revision = 0
		for _, present := range result.Conflicts {
			revision = present.ModRevision
		}
	}
	return 0, fmt.Errorf("%w: %s", ErrNotRegistered, worker.Node)
}

// registrationTries bounds how often an entry that changes meanwhile is read: only this worker and its lease change it.
const registrationTries = 3

// apply takes one change over. An entry that cannot be read changes nothing.
func (r *Records) apply(live *Live, changed kv.WatchEvent) {
	if err := live.apply(changed); err != nil && r.Refused != nil {
		r.Refused(changed.Pair.Key, err)
	}
}

func (l *Live) apply(changed kv.WatchEvent) error {
	key := changed.Pair.Key
	switch {
	case strings.HasPrefix(key, prefixOpen):
		return l.applyOpen(ident.Job(strings.TrimPrefix(key, prefixOpen)), changed)
	case strings.HasPrefix(key, prefixClaim):
		return l.applyClaim(ident.Job(strings.TrimPrefix(key, prefixClaim)), changed)
	case strings.HasPrefix(key, prefixWorker):
		return l.applyWorker(ident.Node(strings.TrimPrefix(key, prefixWorker)), changed)
	}
	return nil
}

func (l *Live) applyOpen(job ident.Job, changed kv.WatchEvent) error {
	if changed.Deleted {
		delete(l.Open, job)
		return nil
	}
	entry, err := decodeOpen(changed.Pair)
	if err == nil {
		l.Open[job] = entry
	}
	return err
}

func (l *Live) applyClaim(job ident.Job, changed kv.WatchEvent) error {
	if changed.Deleted {
		delete(l.Claimed, job)
		return nil
	}
	var held claimValue
	err := decode(changed.Pair, &held)
	// A claim that cannot be read is somebody's all the same.
	l.Claimed[job] = held.Node
	return err
}

func (l *Live) applyWorker(node ident.Node, changed kv.WatchEvent) error {
	if changed.Deleted {
		delete(l.Workers, node)
		return nil
	}
	worker := Worker{Node: node}
	err := decode(changed.Pair, &worker)
	if err == nil {
		l.Workers[node] = worker
	}
	return err
}

// Workers returns the nodes that run jobs.
func (r *Records) Workers(ctx context.Context) ([]Worker, error) {
	pairs, _, err := kv.ListAll(ctx, r.Store, prefixWorker, kv.PageOptions{})
	if err != nil {
		return nil, err
	}
	live := newLive()
	for _, pair := range pairs {
		r.apply(live, kv.WatchEvent{Pair: pair})
	}
	return slices.Collect(maps.Values(live.Workers)), nil
}
