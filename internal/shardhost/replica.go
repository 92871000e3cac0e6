package shardhost

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/shard"
	"mallowlatch.example/mallowlatch/internal/shardlog"
)

const (
	inboxLength        = 1024
	proposalLength     = 4096
	maximumGatherBytes = 4 << 20
	ticksPerHeartbeat  = 5
	storeTimeout       = 5 * time.Second
	// compactEvery is how many entries more than the retained ones gather before the log is compacted.
	compactEvery = 1000
	// heldFactor is how many times the retained bytes of log are kept for a replica that catches up: 1 GiB by default.
	heldFactor = 64
)

// replica runs the driver of one shard in one goroutine. Everything else talks to it through its channels.
type replica struct {
	host      *Host
	id        ident.Shard
	log       *shardlog.Log
	driver    *shard.Driver
	inbox     chan func() error
	proposals chan *proposal
	stopped   chan struct{}
	published atomic.Pointer[published]
	transfers transfers

	// The fields below belong to the goroutine.
	waiting map[uint64]*proposal
	// observed is the revision of the newest stored set the driver was told of by tick.
	observed int64
	ctx      context.Context
}

// published is what other goroutines may know of a replica.
type published struct {
	status     shard.Status
	leadership shard.Leadership
	serving    bool
}

func newReplica(host *Host, id ident.Shard, log *shardlog.Log) *replica {
	seed := score(id, host.self.Node)
	settings := *host.options.Settings
	settings.Seed = seed
	core := shard.NewCore(id, host.self, log.HardState(), log, log.Applied(), settings, host.now())
	created := &replica{
		host: host, id: id, log: log,
		driver:    shard.NewDriver(core, *host.options.Plan, seed),
		inbox:     make(chan func() error, inboxLength),
		proposals: make(chan *proposal, proposalLength),
		stopped:   make(chan struct{}),
		waiting:   map[uint64]*proposal{},
		transfers: transfers{views: map[shard.Member]keptView{}},
	}
	created.ctx = host.ctx
	created.publish()
	return created
}

// run handles inputs until the host stops or the replica fails. A failed replica must not go on: its memory and its
// disk may disagree. The node's other replicas do.
func (r *replica) run() error {
	defer close(r.stopped)
	err := r.loop()
	r.published.Store(&published{})
	r.transfers.close()
	r.failWaiting()
	if err != nil && !r.host.forgetRemoved(r, err) {
		event.ShardReplicaFailed.Log(r.host.options.Logger).Uint32("shard", uint32(r.id)).Err(err).Send()
	}
	return nil
}

func (r *replica) loop() error {
	ticker := time.NewTicker(r.host.options.Settings.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return nil
		case action := <-r.inbox:
			if err := action(); err != nil {
				return err
			}
		case first := <-r.proposals:
			if err := r.propose(first); err != nil {
				return err
			}
		case <-ticker.C:
			if err := r.tick(); err != nil {
				return err
			}
		}
		if err := r.gather(); err != nil {
			return err
		}
		if err := r.perform(); err != nil {
			return err
		}
		r.publish()
	}
}

// gather takes what else has arrived, so that one sync serves all of it.
func (r *replica) gather() error {
	for range r.host.options.MaximumBatch - 1 {
		select {
		case action := <-r.inbox:
			if err := action(); err != nil {
				return err
			}
		case first := <-r.proposals:
			if err := r.propose(first); err != nil {
				return err
			}
		default:
			return nil
		}
	}
	return nil
}

// input queues an action for the replica's goroutine; a replica that is behind drops it, as a network would.
func (r *replica) input(action func() error) bool {
	select {
	case r.inbox <- action:
		return true
	default:
		r.host.metrics.messages.WithLabelValues("dropped").Inc()
		return false
	}
}

func (r *replica) step(message shard.Message) {
	r.input(func() error { return r.driver.Core.Step(r.host.now(), message) })
}

func (r *replica) tick() error {
	// A full queue may have dropped the news of a stored set.
	if record, known := r.host.directory.record(r.id); known && record.Revision > r.observed {
		r.observed = record.Revision
		r.driver.Observe(record.Configuration, record.Revision)
	}
	if err := r.transfers.expire(time.Now()); err != nil {
		return err
	}
	request, due, err := r.driver.Tick(r.host.now(), r.host.nodes.world(r.id))
	if due {
		r.host.tomb.Go(func() error { r.ask(request); return nil })
	}
	return err
}

// perform does the work of the core until there is none. The order within one output is that of shard.Output.
func (r *replica) perform() error {
	core := r.driver.Core
	for core.HasWork() {
		output := core.Take()
		r.host.peers.send(output.Messages)
		for _, member := range output.SendSnapshots {
			if err := r.sendSnapshot(member); err != nil {
				return err
			}
		}
		if len(output.Append) > 0 {
			r.host.metrics.batch.Observe(float64(len(output.Append)))
		}
		if err := r.log.Write(output); err != nil {
			return err
		}
		if err := core.Persisted(output); err != nil {
			return err
		}
		r.host.peers.send(output.AfterSync)
		if err := r.apply(output.Committed); err != nil {
			return err
		}
	}
	return r.compact()
}

func (r *replica) apply(entries []shard.Entry) error {
	replies, err := r.log.Apply(r.host.options.Machine(r.id), entries)
	if err != nil {
		return err
	}
	for position, entry := range entries {
		waiting, found := r.waiting[entry.Index]
		if !found {
			continue
		}
		delete(r.waiting, entry.Index)
		if copies := r.driver.Core.Copies(); copies < waiting.minimumCopies {
			// The set shrank while the entry was in the log: it is applied, but not on what was asked for.
			waiting.finish(nil, fmt.Errorf("shard %d: committed at %d copies: %w", r.id, copies, shard.ErrOutcomeUnknown))
			continue
		}
		if waiting.term == entry.Term {
			waiting.finish(replies[position], nil)
			continue
		}
		waiting.finish(nil, fmt.Errorf("shard %d: another leader's entry was committed: %w", r.id, shard.ErrOutcomeUnknown))
	}
	return nil
}

// compact drops the applied part of the log beyond what is retained by number and by size. What replicas that catch up
// still need stays, up to heldFactor times the retained size.
func (r *replica) compact() error {
	options, core := r.host.options, r.driver.Core
	sized := r.log.Retained(options.RetainedBytes)
	until := max(core.Compactable(options.RetainedEntries), min(sized, core.Compactable(0)))
	until = max(until, min(r.log.Retained(heldFactor*options.RetainedBytes), core.CompactableAtMost(0)))
	bySize := sized >= r.log.FirstIndex()
	if until < r.log.FirstIndex()+compactEvery && !(bySize && until >= r.log.FirstIndex()) {
		return nil
	}
	return r.log.Compact(until)
}

// publish shows the state to other goroutines, and ends the waits of proposals once another replica leads.
func (r *replica) publish() {
	now := r.host.now()
	status := r.driver.Core.Status(now)
	leadership, serving := r.driver.Core.Leadership(now)
	previous := r.published.Swap(&published{status: status, leadership: leadership, serving: serving})
	if status.Role == shard.Follower && status.Leader != (shard.Member{}) {
		r.failWaiting()
	}
	r.report(previous, status, serving)
}

func (r *replica) report(previous *published, status shard.Status, serving bool) {
	if previous == nil {
		return
	}
	logger := r.host.options.Logger
	if serving && !previous.serving {
		event.ShardLeading.Log(logger).Uint32("shard", uint32(r.id)).
			Uint64("epoch", status.Term.Epoch).Uint64("round", status.Term.Round).Send()
	}
	if previous.status.Role == shard.Leader && status.Role != shard.Leader {
		event.ShardFollowing.Log(logger).Uint32("shard", uint32(r.id)).Str("leader", string(status.Leader.Node)).Send()
	}
	if status.Configuration.Epoch != previous.status.Configuration.Epoch {
		event.ShardSetLearned.Log(logger).Uint32("shard", uint32(r.id)).
			Uint64("epoch", status.Configuration.Epoch).Int("members", len(status.Configuration.Members)).Send()
	}
	if status.Leader != previous.status.Leader {
		r.host.directory.Led(r.id, status.Leader.Node)
	}
}

// ask calls the key-value service and gives the outcome back to the replica.
func (r *replica) ask(request shard.StoreRequest) {
	ctx, cancel := context.WithTimeout(r.ctx, storeTimeout)
	defer cancel()
	result := r.askStore(ctx, request)
	select {
	case <-r.stopped:
	case r.inbox <- func() error { return r.driver.StoreResult(r.host.now(), request, result) }:
	}
}

func (r *replica) askStore(ctx context.Context, request shard.StoreRequest) shard.StoreResult {
	if request.Swap == nil {
		r.host.metrics.swaps.WithLabelValues("read").Inc()
		return r.readStore(ctx)
	}
	r.host.metrics.swaps.WithLabelValues("swap").Inc()
	revision, outcome := r.host.swap(ctx, r.id, *request.Swap, request.Revision)
	if outcome == shard.StoreDone {
		event.ShardSetChanged.Log(r.host.options.Logger).Uint32("shard", uint32(r.id)).
			Uint64("epoch", request.Swap.Epoch).Int("members", len(request.Swap.Members)).Send()
	}
	return shard.StoreResult{Outcome: outcome, Revision: revision}
}

func (r *replica) readStore(ctx context.Context) shard.StoreResult {
	pair, err := r.host.options.KV.Get(ctx, recordKey(r.host.options.Prefix, r.id))
	if errors.Is(err, kv.ErrNotFound) {
		return shard.StoreResult{}
	}
	if err != nil {
		event.ShardStoreUnavailable.Log(r.host.options.Logger).Uint32("shard", uint32(r.id)).Err(err).Send()
		return shard.StoreResult{Outcome: shard.StoreFailed}
	}
	configuration, err := decodeRecord(pair.Value)
	if err != nil {
		event.ShardRecordInvalid.Log(r.host.options.Logger).Uint32("shard", uint32(r.id)).Err(err).Send()
		return shard.StoreResult{Outcome: shard.StoreFailed}
	}
	return shard.StoreResult{Configuration: configuration, Revision: pair.ModRevision}
}

// swap stores a replica set if the key still has the revision. Any failure but a definite one may have taken effect.
func (h *Host) swap(ctx context.Context, id ident.Shard, next shard.Configuration, revision int64) (int64, shard.StoreOutcome) {
	value, err := encodeRecord(next)
	if err != nil {
		return 0, shard.StoreFailed
	}
	key := recordKey(h.options.Prefix, id)
	result, err := h.options.KV.Commit(ctx,
		[]kv.Compare{{Key: key, ModRevision: revision}}, []kv.Write{{Key: key, Value: value}})
	switch {
	case err == nil && result.Succeeded:
		return result.Revision, shard.StoreDone
	case err == nil:
		return 0, shard.StoreConflict
	case kv.NotApplied(err):
		return 0, shard.StoreFailed
	default:
		return 0, shard.StoreUnknown
	}
}
