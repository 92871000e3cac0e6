package shardhost

import (
	"context"
	"errors"
	"fmt"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/shard"
)

// errRemoved ends the loop of a replica whose data is gone.
const errRemoved = failure.Kind("shard host: replica removed")

const (
	// collectPerGrace is how often within the grace time the replicas out of their sets are looked at, at least once a
	// collectLongest.
	collectPerGrace = 4
	collectLongest  = time.Minute
)

// collect removes the data of replicas that left their sets, when shard.MayRemove allows it.
func (h *Host) collect() error {
	every := max(min(h.options.Plan.RemoveAfter/collectPerGrace, collectLongest), time.Millisecond)
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return nil
		case <-ticker.C:
		}
		h.metrics.leftover.Set(float64(h.LeftoverBytes()))
		for _, local := range h.localReplicas() {
			if status := local.published.Load().status; h.mayRemove(local, status, status.Configuration) {
				h.confirmRemoval(local)
			}
		}
	}
}

func (h *Host) mayRemove(local *replica, status shard.Status, stored shard.Configuration) bool {
	return shard.MayRemove(status, stored, h.nodes.world(local.id), *h.options.Plan)
}

// confirmRemoval reads the stored set and has the replica decide on it in its own goroutine: what it knows must not
// change between the decision and the removal.
func (h *Host) confirmRemoval(local *replica) {
	ctx, cancel := context.WithTimeout(h.ctx, storeTimeout)
	defer cancel()
	result := local.readStore(ctx)
	if result.Outcome != shard.StoreDone || result.Revision == 0 {
		return
	}
	local.input(func() error {
		if !h.mayRemove(local, local.driver.Core.Status(h.now()), result.Configuration) {
			return nil
		}
		return local.remove()
	})
}

func (r *replica) remove() error {
	bytes, err := r.log.Bytes()
	if err != nil {
		return err
	}
	if err := r.log.Remove(r.driver.Core.Tombstone()); err != nil {
		return err
	}
	r.host.metrics.removed.Inc()
	event.ShardReplicaRemoved.Log(r.host.options.Logger).Uint32("shard", uint32(r.id)).
		Uint64("epoch", r.driver.Core.Tombstone().Configuration.Epoch).Uint64("bytes", bytes).Send()
	return fmt.Errorf("shard %d: %w", r.id, errRemoved)
}

// forgetRemoved lets a leader begin anew with a replica that was removed.
func (h *Host) forgetRemoved(gone *replica, cause error) bool {
	if !errors.Is(cause, errRemoved) {
		return false
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.replicas, gone.id)
	return true
}

// LeftoverBytes estimates the disk space of the replicas that are in no set.
func (h *Host) LeftoverBytes() uint64 {
	total := uint64(0)
	for _, local := range h.localReplicas() {
		if local.published.Load().status.Configuration.Has(h.self) {
			continue
		}
		if bytes, err := local.log.Bytes(); err == nil {
			total += bytes
		}
	}
	return total
}

// DiskBytes returns the disk space of the store.
func (h *Host) DiskBytes() uint64 { return h.options.Store.Usage().DiskBytes }
