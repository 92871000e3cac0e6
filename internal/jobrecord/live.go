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

// Worker is the entry of a node that runs jobs. It is deleted when the node's lease ends.
type Worker struct {
	Node ident.Node `json:"-"`
	Zone ident.Zone `json:"zone"`
	// Address is the address at which other nodes read results from the worker's memory.
	Address string `json:"address"`
}

// Live is the state that every worker follows: open jobs, claims and workers. The zero Live is empty. It is not safe for concurrent use.
type Live struct {
	Open map[ident.Job]Open
	// Claimed maps each claimed job to the node that holds the claim.
	Claimed map[ident.Job]ident.Node
	Workers map[ident.Node]Worker
	// Revision is the revision up to which changes were applied; zero means that the full state must be read.
	Revision int64
}

func newLive() *Live {
	return &Live{Open: map[ident.Job]Open{}, Claimed: map[ident.Job]ident.Node{}, Workers: map[ident.Node]Worker{}}
}

// ReadLive reads the full state.
func (r *Records) ReadLive(ctx context.Context) (*Live, error) {
	update, err := r.ReadLiveUpdate(ctx)
	if err != nil {
		return nil, err
	}
	live := &Live{}
	r.Apply(live, update)
	return live, nil
}

// ReadLiveUpdate reads the full state as an update. Its pages are not one consistent snapshot, but each change since the first page is
// returned again among the changes after the update's revision.
func (r *Records) ReadLiveUpdate(ctx context.Context) (changefeed.Update, error) {
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

// LiveChanges waits for changes after a revision, for at most the given wait.
func (r *Records) LiveChanges(ctx context.Context, after int64, wait time.Duration) (changefeed.Update, error) {
	sent := r.Now()
	response, err := r.Store.Changes(ctx, prefixLive, after, wait)
	if err != nil {
		return changefeed.Update{}, err
	}
	return changefeed.Update{Changes: response.Events, Revision: max(after, response.Revision), AsOf: sent}, nil
}

// Apply applies an update. An open entry or a worker that cannot be decoded is ignored; a claim that cannot be decoded has no holder.
func (r *Records) Apply(live *Live, update changefeed.Update) {
	if update.Whole {
		*live = *newLive()
	}
	for _, change := range update.Changes {
		r.apply(live, change)
	}
	live.Revision = update.Revision
}

// Register writes the entry of a worker under its lease, and returns the revision of the write. The write requires that the entry has not
// changed since it was read. Otherwise an earlier registration that was not answered and takes effect late could put the entry under a
// lease that is no longer renewed, and the entry would expire although the worker is alive.
func (r *Records) Register(ctx context.Context, worker Worker, lease kv.LeaseID) (int64, error) {
	revision := int64(0)
	for range registrationAttempts {
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

// registrationAttempts bounds the attempts to write an entry that changes concurrently. Only this worker and its lease change it.
const registrationAttempts = 3

// apply applies one change, and reports an entry that cannot be decoded to Refused.
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
	// The job is claimed even if the claim cannot be decoded.
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

// Workers reads the entries of all workers.
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
