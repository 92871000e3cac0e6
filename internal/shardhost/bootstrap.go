package shardhost

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/shard"
)

const (
	bootstrapEvery = 500 * time.Millisecond
	// bootstrapTurn is how long a lower-ranked node leaves a new shard to the ones before it.
	bootstrapTurn = 3 * time.Second
)

// bootstrap stores the first replica set of shards that have none. It waits until the nodes were seen unchanged for a
// while, so that the first set is the lasting one. Several nodes may try: the key is only created once.
func (h *Host) bootstrap() error {
	ctx := h.ctx
	ticker := time.NewTicker(bootstrapEvery)
	defer ticker.Stop()
	missingSince := map[ident.Shard]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if !h.directory.complete() {
			continue
		}
		for number := range h.options.Shards {
			h.bootstrapShard(ctx, ident.Shard(number), missingSince)
		}
	}
}

func (h *Host) bootstrapShard(ctx context.Context, id ident.Shard, missingSince map[ident.Shard]time.Time) {
	if _, exists := h.directory.record(id); exists {
		delete(missingSince, id)
		return
	}
	members, rank, known := h.nodes.firstSet(id)
	if !known {
		return
	}
	if missingSince[id].IsZero() {
		missingSince[id] = time.Now()
	}
	if time.Since(missingSince[id]) < time.Duration(rank)*bootstrapTurn {
		return
	}
	// Nothing was ever committed, so every member holds all of it.
	first := shard.NewConfiguration(1, members, members)
	calling, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, outcome := h.swap(calling, id, first, 0)
	if outcome != shard.StoreDone {
		// Whether it failed, was refused or is unknown: the watch brings the stored set, or the next turn tries again.
		missingSince[id] = time.Now().Add(bootstrapTurn)
		return
	}
	event.ShardBootstrapped.Log(h.options.Logger).Uint32("shard", uint32(id)).Int("members", len(members)).Send()
	h.directory.note(id, Record{Configuration: first, Revision: revision})
}
