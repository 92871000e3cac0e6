package confsync

import (
	"context"
	"fmt"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/kv"
)

// Timing of a relay's reading of the key-value service.
const (
	// headPollPeriod is how often the head is read although the watch is silent: a watch may hang unnoticed.
	headPollPeriod = 30 * time.Second
	// relayPeriod is how often a node looks whether it is, or still is, a relay.
	relayPeriod = 1 * time.Second
	// aloneGrace is how long a node that has just started and knows no other waits before it takes itself for its zone's
	// only relay: until membership has joined, every node of a fleet would.
	aloneGrace = 1 * time.Second
	// Bounds of the wait after a failure. Each wait is drawn evenly between half its bound and the bound.
	minFollowDelay = 500 * time.Millisecond
	maxFollowDelay = 10 * time.Second
)

// errGap means that a watch skipped a change.
const errGap = failure.Kind("confsync: a change is missing from the watch")

// errWatchClosed means that a watch ended.
const errWatchClosed = failure.Kind("confsync: watch closed")

// follow keeps the copy up to date from the key-value service while this node is a relay.
func (r *Replica) follow(ctx context.Context) error {
	if len(r.options.Peers.Peers()) == 0 {
		_ = sleepContext(ctx, aloneGrace)
	}
	r.refreshPeers()
	bound := minFollowDelay
	failing := false
	for ctx.Err() == nil {
		if !r.Relay() {
			_ = sleepContext(ctx, relayPeriod)
			continue
		}
		started := time.Now()
		err := r.followOnce(ctx)
		if err == nil || ctx.Err() != nil {
			continue
		}
		if time.Since(started) > maxFollowDelay {
			bound = minFollowDelay
			failing = false
		}
		r.metrics.followRetries.Inc()
		if !failing {
			// An outage is told once, not at each retry.
			event.ConfigFollowFailed.Log(r.options.Logger).Err(err).Send()
		}
		failing = true
		_ = sleepContext(ctx, upperHalf(bound))
		bound = min(2*bound, maxFollowDelay)
	}
	return nil
}

// followOnce catches up and follows the watch until it fails or this node is no longer a relay; the latter returns nil.
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
	relay := time.NewTicker(relayPeriod)
	defer relay.Stop()
	for {
		select {
		case response, open := <-responses:
			if err := r.learnResponse(response, open); err != nil {
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

// learnResponse takes in a response of a watch, or its end.
func (r *Replica) learnResponse(response kv.WatchResponse, open bool) error {
	if !open {
		return fmt.Errorf("watch changes: %w", errWatchClosed)
	}
	if response.Err != nil {
		return fmt.Errorf("watch changes: %w", response.Err)
	}
	return r.learnEvents(response)
}

// learnEvents takes in the changes of a watch's response; deletions only trim the history.
func (r *Replica) learnEvents(response kv.WatchResponse) error {
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
