package confsync

import (
	"context"
	"fmt"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/kv"
)

// Timing of a relay's reads of the key-value service.
const (
	// headPollPeriod is how often the head is read in addition to the watch, because a watch may hang undetected.
	headPollPeriod = 30 * time.Second
	// relayCheckPeriod is how often a node checks whether it is a relay.
	relayCheckPeriod = 1 * time.Second
	// startupGrace is how long a starting node without known peers waits before it may act as its zone's only relay. Without
	// it, every node of a fleet would act as a relay until it has joined membership.
	startupGrace = 1 * time.Second
	// Limits of the exponential backoff after a failure. Each delay is uniformly random between half the current bound and
	// the bound.
	minFollowBackoff = 500 * time.Millisecond
	maxFollowBackoff = 10 * time.Second
)

// errGap reports that a watch skipped a change.
const errGap = failure.Kind("confsync: a change is missing from the watch")

// errWatchClosed reports that a watch ended.
const errWatchClosed = failure.Kind("confsync: watch closed")

// follow keeps the copy up to date from the key-value service while this node is a relay.
func (r *Replica) follow(ctx context.Context) error {
	if len(r.options.Peers.Peers()) == 0 {
		_ = sleepContext(ctx, startupGrace)
	}
	r.refreshPeers()
	bound := minFollowBackoff
	failing := false
	for ctx.Err() == nil {
		if !r.Relay() {
			_ = sleepContext(ctx, relayCheckPeriod)
			continue
		}
		started := time.Now()
		err := r.followOnce(ctx)
		if err == nil || ctx.Err() != nil {
			continue
		}
		if time.Since(started) > maxFollowBackoff {
			bound = minFollowBackoff
			failing = false
		}
		r.metrics.followRetries.Inc()
		if !failing {
			// Log an outage once, not at each retry.
			event.ConfigFollowFailed.Log(r.options.Logger).Err(err).Send()
		}
		failing = true
		_ = sleepContext(ctx, jitterUpperHalf(bound))
		bound = min(2*bound, maxFollowBackoff)
	}
	return nil
}

// followOnce catches up and follows the watch until an error occurs, ctx is done or this node is no longer a relay. It
// returns nil in the last two cases.
func (r *Replica) followOnce(ctx context.Context) error {
	newest, err := r.remote.follow(ctx, r)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	responses, err := r.remote.store.Watch(ctx, changePrefix, newest.readRevision)
	if err != nil {
		return fmt.Errorf("watch changes: %w", err)
	}
	event.ConfigFollowing.Log(r.options.Logger).Int64("revision", newest.revision).Send()
	poll := time.NewTicker(headPollPeriod)
	defer poll.Stop()
	relay := time.NewTicker(relayCheckPeriod)
	defer relay.Stop()
	for {
		select {
		case response, open := <-responses:
			if err := r.applyResponse(response, open); err != nil {
				return err
			}
		case <-poll.C:
			if _, err := r.remote.follow(ctx, r); err != nil {
				return err
			}
		case <-relay.C:
			if !r.Relay() {
				return nil
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// applyResponse processes a watch response; open is false if the watch has closed.
func (r *Replica) applyResponse(response kv.WatchResponse, open bool) error {
	if !open {
		return fmt.Errorf("watch changes: %w", errWatchClosed)
	}
	if response.Err != nil {
		return fmt.Errorf("watch changes: %w", response.Err)
	}
	return r.applyEvents(response)
}

// applyEvents applies the changes of a watch response. Deletions are skipped because they only trim the history.
func (r *Replica) applyEvents(response kv.WatchResponse) error {
	for _, written := range response.Events {
		if written.Deleted {
			continue
		}
		change, err := decodeChange(written.Pair.Value)
		if err != nil {
			return fmt.Errorf("watched change %q: %w", written.Pair.Key, err)
		}
		r.Learn([]Change{change})
		if r.State().Revision < change.Revision {
			return fmt.Errorf("change %d after revision %d: %w", change.Revision, r.State().Revision, errGap)
		}
	}
	return nil
}
