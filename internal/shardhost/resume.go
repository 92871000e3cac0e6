package shardhost

import (
	"bytes"
	"context"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/shard"
	pb "mallowlatch.example/mallowlatch/internal/shardhost/shardhostpb"
	"mallowlatch.example/mallowlatch/internal/shardlog"
)

// resumeWithin is how long both ends of a transfer that broke off keep what they have of it.
const resumeWithin = 10 * time.Minute

// position names a state: whoever applied the log up to an entry holds the same one.
type position struct {
	index uint64
	term  shard.Term
}

// keptView is a state that was being sent to a member.
type keptView struct {
	view  *shardlog.View
	index uint64
	since time.Time
}

// partial is a state that was being received: every pair up to lastKey is staged.
type partial struct {
	staged  *shardlog.Staged
	of      position
	lastKey []byte
	since   time.Time
}

// transfers keeps both ends of transfers that broke off, so that the next attempt goes on where they ended. Nothing
// outlives the process: what is staged is dropped at a start. It is safe for concurrent use.
type transfers struct {
	mutex    sync.Mutex
	closed   bool
	views    map[shard.Member]keptView
	received *partial
}

// keepView keeps a view for the next attempt, in place of an older one.
func (t *transfers) keepView(to shard.Member, view *shardlog.View, index uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		_ = view.Close()
		return
	}
	if older, found := t.views[to]; found {
		_ = older.view.Close()
	}
	t.views[to] = keptView{view: view, index: index, since: time.Now()}
}

// takeView returns the view kept for a member, if the log still follows on it.
func (t *transfers) takeView(to shard.Member, firstIndex uint64) *shardlog.View {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	kept, found := t.views[to]
	delete(t.views, to)
	if !found {
		return nil
	}
	if kept.index+1 < firstIndex {
		_ = kept.view.Close()
		return nil
	}
	return kept.view
}

// keepReceived keeps what a stream had brought when it broke off.
func (t *transfers) keepReceived(received *partial) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	older := t.received
	t.received = received
	return older.discard()
}

// takeReceived returns what is kept of a state if its last key is the one given; anything else is dropped.
func (t *transfers) takeReceived(of position, after []byte) (*partial, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	kept := t.received
	t.received = nil
	if kept != nil && kept.of == of && after != nil && bytes.Equal(kept.lastKey, after) {
		return kept, nil
	}
	return nil, kept.discard()
}

// lastKey tells how far a state has come here.
func (t *transfers) lastKey(of position) ([]byte, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.received == nil || t.received.of != of {
		return nil, false
	}
	return t.received.lastKey, true
}

// expire drops what nobody came back for.
func (t *transfers) expire(now time.Time) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for to, kept := range t.views {
		if now.Sub(kept.since) > resumeWithin {
			_ = kept.view.Close()
			delete(t.views, to)
		}
	}
	if t.received == nil || now.Sub(t.received.since) <= resumeWithin {
		return nil
	}
	old := t.received
	t.received = nil
	return old.discard()
}

// close releases all views, as the store cannot be closed before.
func (t *transfers) close() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.closed = true
	for _, kept := range t.views {
		_ = kept.view.Close()
	}
	t.views = nil
}

func (p *partial) discard() error {
	if p == nil {
		return nil
	}
	return p.staged.Discard()
}

// askStaged asks a member behind which key a state should be sent; nil means all of it. A node that does not know the
// call, or does not answer, is sent all of it.
func (r *replica) askStaged(ctx context.Context, client pb.DRPCShardsClient, to shard.Member, of position) []byte {
	answer, err := client.Staged(ctx, &pb.StagedRequest{
		Shard: uint32(r.id), To: encodeMember(to), Index: of.index, Term: encodeTerm(of.term),
	})
	if err != nil || !answer.GetFound() {
		return nil
	}
	r.host.metrics.resumed.Inc()
	return answer.GetLastKey()
}

// Staged tells how far a state has come here.
func (s *server) Staged(_ context.Context, request *pb.StagedRequest) (*pb.StagedState, error) {
	local := s.host.replica(ident.Shard(request.GetShard()))
	if local == nil || decodeMember(request.GetTo()) != s.host.self {
		return &pb.StagedState{}, nil
	}
	of := position{index: request.GetIndex(), term: decodeTerm(request.GetTerm())}
	lastKey, found := local.transfers.lastKey(of)
	return &pb.StagedState{Found: found, LastKey: lastKey}, nil
}
