package shardhost

import (
	"context"
	"fmt"
	"sync/atomic"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/shard"
	"mallowlatch.example/mallowlatch/internal/shardlog"
)

// proposal is a command on its way through a replica.
type proposal struct {
	command       []byte
	minimumCopies int
	// state decides between the caller giving up and the replica taking the command.
	state atomic.Int32
	term  shard.Term
	done  chan proposalEnd
}

const (
	proposalQueued int32 = iota
	// proposalTaken means that the command may be in the log: its outcome is open until it is known.
	proposalTaken
	proposalAbandoned
)

type proposalEnd struct {
	reply []byte
	err   error
}

func (p *proposal) finish(reply []byte, err error) { p.done <- proposalEnd{reply: reply, err: err} }

// propose takes the first proposal and those queued behind it, and appends them together.
func (r *replica) propose(first *proposal) error {
	now := r.host.now()
	var taken []*proposal
	var commands [][]byte
	size := 0
	for next := first; next != nil; next = r.nextProposal(size) {
		if r.admit(next) {
			taken = append(taken, next)
			commands = append(commands, next.command)
			size += len(next.command)
		}
		if len(taken) >= r.host.options.MaximumBatch {
			break
		}
	}
	if len(taken) == 0 {
		return nil
	}
	index, term, err := r.driver.Core.Propose(now, commands...)
	if err != nil {
		for _, refused := range taken {
			refused.finish(nil, err)
		}
		return nil
	}
	for position, accepted := range taken {
		accepted.term = term
		r.waiting[index+uint64(position)] = accepted
	}
	return nil
}

func (r *replica) nextProposal(size int) *proposal {
	if size >= maximumGatherBytes {
		return nil
	}
	select {
	case next := <-r.proposals:
		return next
	default:
		return nil
	}
}

// admit checks a proposal before it is appended anywhere: a refusal here means that it was definitely not applied.
func (r *replica) admit(candidate *proposal) bool {
	if !candidate.state.CompareAndSwap(proposalQueued, proposalTaken) {
		return false
	}
	copies := r.driver.Core.Copies()
	if copies < candidate.minimumCopies {
		candidate.finish(nil, fmt.Errorf("shard %d: %d of %d copies: %w", r.id, copies, candidate.minimumCopies,
			shard.ErrTooFewCopies))
		return false
	}
	return true
}

// failWaiting ends the proposals whose entries another leader may commit or replace.
func (r *replica) failWaiting() {
	for index, waiting := range r.waiting {
		delete(r.waiting, index)
		waiting.finish(nil, fmt.Errorf("shard %d: leadership lost: %w", r.id, shard.ErrOutcomeUnknown))
	}
}

func (r *replica) leading() (shard.Leadership, bool) {
	known := r.published.Load()
	return known.leadership, known.serving && r.host.now() < known.status.LeaseEnd
}

func (r *replica) leaderNode() ident.Node { return r.published.Load().status.Leader.Node }

// localReplica implements shard.Replica for a shard that may have no replica here.
type localReplica struct {
	host *Host
	id   ident.Shard
}

var _ shard.Replica = (*localReplica)(nil)

// Propose implements shard.Replica.
func (l *localReplica) Propose(ctx context.Context, command []byte, minimumCopies int) ([]byte, error) {
	local, err := l.leader()
	if err != nil {
		l.count(err)
		return nil, err
	}
	if len(command) == 0 {
		return nil, fmt.Errorf("shard %d: empty command: %w", l.id, shard.ErrUnavailable)
	}
	pending := &proposal{command: command, minimumCopies: minimumCopies, done: make(chan proposalEnd, 1)}
	select {
	case local.proposals <- pending:
	default:
		err := fmt.Errorf("shard %d: queue full: %w", l.id, shard.ErrUnavailable)
		l.count(err)
		return nil, err
	}
	reply, err := l.wait(ctx, local, pending)
	l.count(err)
	return reply, err
}

func (l *localReplica) count(err error) {
	outcome := "committed"
	if err != nil {
		outcome = "refused"
	}
	l.host.metrics.proposals.WithLabelValues(outcome).Inc()
}

func (l *localReplica) leader() (*replica, error) {
	local := l.host.replica(l.id)
	if local == nil {
		return nil, &shard.NotLeaderError{Shard: l.id, Leader: l.otherLeader()}
	}
	if _, leading := local.leading(); !leading {
		return nil, &shard.NotLeaderError{Shard: l.id, Leader: local.otherLeader()}
	}
	return local, nil
}

// otherLeader names the leader to ask instead, which is never this node: it does not serve.
func (l *localReplica) otherLeader() ident.Node {
	leader, _ := l.host.directory.Leader(l.id)
	if leader == l.host.self.Node {
		return ""
	}
	return leader
}

func (r *replica) otherLeader() ident.Node {
	leader := r.leaderNode()
	if leader == r.host.self.Node {
		return ""
	}
	return leader
}

// wait returns the end of a proposal. A caller that gives up learns whether the command was still untouched.
func (l *localReplica) wait(ctx context.Context, local *replica, pending *proposal) ([]byte, error) {
	select {
	case end := <-pending.done:
		return end.reply, end.err
	case <-ctx.Done():
		return l.giveUp(pending, ctx.Err())
	case <-local.stopped:
	}
	select {
	case end := <-pending.done:
		return end.reply, end.err
	default:
		return l.giveUp(pending, shard.ErrUnavailable)
	}
}

func (l *localReplica) giveUp(pending *proposal, cause error) ([]byte, error) {
	if pending.state.CompareAndSwap(proposalQueued, proposalAbandoned) {
		return nil, fmt.Errorf("shard %d: %w: %w", l.id, shard.ErrUnavailable, cause)
	}
	select {
	case end := <-pending.done:
		return end.reply, end.err
	default:
		return nil, fmt.Errorf("shard %d: %w: %w", l.id, shard.ErrOutcomeUnknown, cause)
	}
}

// View implements shard.Replica. The lease is checked before and after the reading, so that a process paused in between
// does not return what has become old.
func (l *localReplica) View(ctx context.Context, read func(shard.Reader) error) error {
	local, err := l.leader()
	if err != nil {
		return err
	}
	before, _ := local.leading()
	view, err := local.openView(ctx)
	if err != nil {
		return err
	}
	failed := read(view.Reader())
	if err := view.Close(); err != nil {
		return err
	}
	if after, leading := local.leading(); !leading || after != before {
		return &shard.NotLeaderError{Shard: l.id, Leader: local.otherLeader()}
	}
	return failed
}

// openView takes the reading in the replica's goroutine, behind every command it has answered.
func (r *replica) openView(ctx context.Context) (*shardlog.View, error) {
	type opened struct {
		view *shardlog.View
		err  error
	}
	done := make(chan opened, 1)
	queued := r.input(func() error {
		if ctx.Err() != nil {
			done <- opened{err: fmt.Errorf("shard %d: %w: %w", r.id, shard.ErrUnavailable, ctx.Err())}
			return nil
		}
		if _, serving := r.driver.Core.Leadership(r.host.now()); !serving {
			done <- opened{err: &shard.NotLeaderError{Shard: r.id, Leader: r.otherLeader()}}
			return nil
		}
		view, err := r.log.View()
		if err != nil {
			err = fmt.Errorf("%w: %w", shard.ErrUnavailable, err)
		}
		done <- opened{view: view, err: err}
		return nil
	})
	if !queued {
		return nil, fmt.Errorf("shard %d: queue full: %w", r.id, shard.ErrUnavailable)
	}
	select {
	case result := <-done:
		return result.view, result.err
	case <-r.stopped:
	}
	// What the replica did last may have opened the view: it is this caller's to close.
	select {
	case result := <-done:
		return result.view, result.err
	default:
		return nil, fmt.Errorf("shard %d: stopped: %w", r.id, shard.ErrUnavailable)
	}
}

// Leading implements shard.Replica.
func (l *localReplica) Leading() (shard.Leadership, bool) {
	local := l.host.replica(l.id)
	if local == nil {
		return shard.Leadership{}, false
	}
	return local.leading()
}
