package jobpeer

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/changefeed"
	"mallowlatch.example/mallowlatch/internal/kv"
)

// LiveQuery asks a worker for the changes of the open jobs after a revision; zero asks for all open jobs.
type LiveQuery struct {
	After int64 `json:"after"`
	// WaitMs is how long the worker may delay its answer until there is a change, in milliseconds.
	WaitMs int64 `json:"wait_ms"`
}

// LiveReply is a changefeed.Update with an age instead of a time, because clocks differ between nodes.
type LiveReply struct {
	Whole    bool         `json:"whole,omitempty"`
	Changes  []liveChange `json:"changes,omitempty"`
	Revision int64        `json:"revision"`
	// AgeMs is the age of the state when the answer was sent, HeldMs how long the answer was delayed.
	AgeMs  int64 `json:"age_ms"`
	HeldMs int64 `json:"held_ms"`
}

// liveChange is the wire form of a kv.WatchEvent.
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

// Live implements jobworker.Readers. The time of the state is computed from when the query was sent and how long the answer
// was delayed, because this process may have been suspended before it read the answer.
func (p *Peers) Live(ctx context.Context, address string, after int64, wait time.Duration) (changefeed.Update, error) {
	sent := p.Now()
	reply := &LiveReply{}
	if err := p.call(ctx, address, methodLive, &LiveQuery{After: after, WaitMs: wait.Milliseconds()}, reply); err != nil {
		return changefeed.Update{}, err
	}
	answeredAt := sent.Add(time.Duration(reply.HeldMs) * time.Millisecond)
	update := changefeed.Update{
		Whole: reply.Whole, Revision: reply.Revision, AsOf: answeredAt.Add(-time.Duration(reply.AgeMs) * time.Millisecond),
	}
	for _, change := range reply.Changes {
		update.Changes = append(update.Changes, kv.WatchEvent{Deleted: change.Deleted, Pair: kv.Pair{
			Key: change.Key, Value: change.Value, CreateRevision: change.Created, ModRevision: change.Revision, Lease: change.Lease,
		}})
	}
	return update, nil
}
