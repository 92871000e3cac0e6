package shardhost

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/kv"
)

// Failures of leaving. The node may stop all the same; its shards go on as after a crash, or wait for its return.
const (
	// ErrNoOtherDisk means that no other node with a disk lives and stays.
	ErrNoOtherDisk = failure.Kind("shard host: no other node with a disk stays")
	// ErrStillNeeded means that stored sets still name this node when the time is up: the others lack a copy, or the
	// key-value service cannot be reached.
	ErrStillNeeded = failure.Kind("shard host: replica sets still name this node")
	// ErrStoreAway is joined to it when the key-value service does not answer: no set can change.
	ErrStoreAway = failure.Kind("shard host: key-value service away")
)

// storeProbe is how long the key-value service may take to show that it is there.
const storeProbe = time.Second

const drainPoll = 50 * time.Millisecond

// Drain hands over the leadership of every shard led here and returns when none is left, or with the context's error.
// The node should be announced as draining before, so that the sets replace it.
func (h *Host) Drain(ctx context.Context) error {
	h.beginDraining()
	return h.poll(ctx, func() (bool, error) { return len(h.Led()) == 0, nil })
}

// Leave returns once no stored set names this node, so that it can stop without a shard waiting for it. The node must be
// announced as draining before: the leaders then grow the sets elsewhere first and drop it after. It gives up at once if
// no other disk stays (ErrNoOtherDisk), and with ErrStillNeeded when ctx ends.
func (h *Host) Leave(ctx context.Context) error {
	h.beginDraining()
	err := h.poll(ctx, func() (bool, error) {
		if len(h.Held()) == 0 {
			return true, nil
		}
		if !h.nodes.othersStay() {
			return false, ErrNoOtherDisk
		}
		return false, nil
	})
	if errors.Is(err, context.DeadlineExceeded) {
		err = fmt.Errorf("%w: %w", ErrStillNeeded, h.reasonToStay(err))
	}
	if err != nil {
		held := h.Held()
		event.ShardStopAway.Log(h.options.Logger).Interface("shards", held).
			Interface("sole", h.soleOf(held)).Err(err).Send()
	}
	return err
}

// reasonToStay adds ErrStoreAway if the key-value service does not answer.
func (h *Host) reasonToStay(cause error) error {
	ctx, cancel := context.WithTimeout(h.ctx, storeProbe)
	defer cancel()
	_, err := h.options.KV.Get(ctx, recordKey(h.options.Prefix, 0))
	if err == nil || errors.Is(err, kv.ErrNotFound) {
		return cause
	}
	return fmt.Errorf("%w: %w: %w", ErrStoreAway, err, cause)
}

// poll asks until the answer is yes, an error, or ctx ends.
func (h *Host) poll(ctx context.Context, finished func() (bool, error)) error {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for {
		done, err := finished()
		if err != nil {
			return fmt.Errorf("draining the shard host: %w", err)
		}
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("draining the shard host: %w", ctx.Err())
		case <-ticker.C:
		}
	}
}

// Held returns the shards whose newest known set names this node's disk.
func (h *Host) Held() []ident.Shard {
	var held []ident.Shard
	for _, local := range h.localReplicas() {
		record, known := h.directory.record(local.id)
		set := local.published.Load().status.Configuration
		if known && record.Configuration.Epoch > set.Epoch {
			set = record.Configuration
		}
		if set.Has(h.self) {
			held = append(held, local.id)
		}
	}
	slices.Sort(held)
	return held
}

// soleOf returns those of the shards that rest on this node's disk alone.
func (h *Host) soleOf(held []ident.Shard) []ident.Shard {
	sole := []ident.Shard{}
	for _, id := range held {
		if members := h.directory.Members(id); len(members) == 1 {
			sole = append(sole, id)
		}
	}
	return sole
}

func (h *Host) beginDraining() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.draining = true
}

func (h *Host) isDraining() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.draining
}
