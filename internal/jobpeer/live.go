package jobpeer

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/changefeed"
	"mallowlatch.example/mallowlatch/internal/kv"
)

// LiveQuery asks a worker for what it knows of the open jobs beyond a revision, zero for all.
type LiveQuery struct {
	After int64 `json:"after"`
	// WaitMs is how long the answer may be held for a change, in milliseconds.
	WaitMs int64 `json:"wait_ms"`
}

// LiveReply is a changefeed.Update with its age in place of a moment: clocks differ.
type LiveReply struct {
	Whole    bool         `json:"whole,omitempty"`
	Changes  []liveChange `json:"changes,omitempty"`
	Revision int64        `json:"revision"`
	// AgeMs is how long ago the state was so when the answer was given, HeldMs how long the answer was held.
	AgeMs  int64 `json:"age_ms"`
	HeldMs int64 `json:"held_ms"`
}

// liveChange is a kv.WatchEvent.
type liveChange struct {
	Key      string     `json:"key"`
	Value    []byte     `json:"value,omitempty"`
	Created  int64      `json:"created,omitempty"`
	Revision int64      `json:"revision"`
	Lease    kv.LeaseID `json:"lease,omitempty"`
	Deleted  bool       `json:"deleted,omitempty"`
}

// Live implements Server.
func (s *WorkerServer) Live(ctx context.Context, query *LiveQuery) (*LiveReply, error) {
	began := s.Worker.Now()
	update, err := s.Worker.LiveAfter(ctx, query.After, time.Duration(query.WaitMs)*time.Millisecond)
	if err != nil {
		return nil, err
	}
	now := s.Worker.Now()
	reply := &LiveReply{
		Whole: update.Whole, Revision: update.Revision,
		AgeMs: now.Sub(update.AsOf).Milliseconds(), HeldMs: now.Sub(began).Milliseconds(),
	}
	for _, change := range update.Changes {
		pair := change.Pair
		reply.Changes = append(reply.Changes, liveChange{
			Key: pair.Key, Value: pair.Value, Created: pair.CreateRevision, Revision: pair.ModRevision, Lease: pair.Lease, Deleted: change.Deleted,
		})
	}
	return reply, nil
}

// Live implements jobworker.Readers. The answer may have lain unread through a freeze: it counts from when the question was
// sent and the time for which it was held.
func (p *Peers) Live(ctx context.Context, address string, after int64, wait time.Duration) (changefeed.Update, error) {
	sent := p.Now()
	reply := &LiveReply{}
	if err := p.call(ctx, address, methodLive, &LiveQuery{After: after, WaitMs: wait.Milliseconds()}, reply); err != nil {
		return changefeed.Update{}, err
	}
	told := sent.Add(time.Duration(reply.HeldMs) * time.Millisecond)
	update := changefeed.Update{
		Whole: reply.Whole, Revision: reply.Revision, AsOf: told.Add(-time.Duration(reply.AgeMs) * time.Millisecond),
	}
	for _, change := range reply.Changes {
		update.Changes = append(update.Changes, kv.WatchEvent{Deleted: change.Deleted, Pair: kv.Pair{
			Key: change.Key, Value: change.Value, CreateRevision: change.Created, ModRevision: change.Revision, Lease: change.Lease,
		}})
	}
	return update, nil
}
