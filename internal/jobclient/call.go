package jobclient

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobstore"
	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
	"mallowlatch.example/mallowlatch/internal/outcome"
)

// errNotSent means that an attempt had no leader to go to, or could not connect: nothing was done.
const errNotSent = failure.Kind("jobclient: not sent")

// reply is any reply of the job store.
type reply interface{ GetStatus() *pb.Status }

// send is one call on a shard's leader.
type send[R reply] func(ctx context.Context, leader pb.DRPCJobStoreServer) (R, error)

// attempts is what became of a call so far.
type attempts struct {
	// unknown says that an attempt may have taken effect.
	unknown bool
	last    error
}

// call sends a call to the leader of a shard until it is answered. Every call of the job store may be sent twice: see
// each command's comment on resends. If no answer comes, the failure says whether an attempt may have taken effect.
func call[R reply](ctx context.Context, c *Client, id ident.Shard, name string, one send[R]) (R, attempts, error) {
	var tried attempts
	var none R
	for attempt := range c.options.Attempts {
		if attempt > 0 && !c.pause(ctx, attempt) {
			break
		}
		answer, err := try(ctx, c, id, one)
		if err == nil {
			return answer, tried, nil
		}
		tried.note(err)
		if !retryable(err) {
			return none, tried, tried.failure()
		}
		event.JobCallRetried.Log(c.options.Logger).Str("call", name).Uint32("shard", uint32(id)).Err(err).Send()
	}
	event.JobCallFailed.Log(c.options.Logger).Str("call", name).Uint32("shard", uint32(id)).Err(tried.last).Send()
	return none, tried, tried.failure()
}

// try sends one attempt. Its error is a *failure.Error or wraps errNotSent; any other means the outcome is unknown.
func try[R reply](ctx context.Context, c *Client, id ident.Shard, one send[R]) (R, error) {
	var none R
	ctx, cancel := context.WithTimeout(ctx, c.options.AttemptTimeout)
	defer cancel()
	leader, err := c.leader(ctx, id)
	if err != nil {
		return none, err
	}
	answer, err := one(ctx, leader)
	if err != nil {
		c.forgetHint(id)
		c.options.Missed(id)
		return none, err
	}
	status := answer.GetStatus()
	if status.GetRedirected() {
		c.hint(id, ident.Node(status.GetLeader()))
		c.options.Missed(id)
		return none, errNotSent
	}
	if err := jobstore.ErrorOf(status.GetFault()); err != nil {
		return none, err
	}
	return answer, nil
}

// note adds the failure of an attempt.
func (a *attempts) note(err error) {
	a.last = err
	if !errors.Is(err, errNotSent) && failure.As(err).Outcome != outcome.NotRun {
		a.unknown = true
	}
}

// failure returns what the caller is told. A refusal after an attempt of unknown outcome is a refusal only if its
// reason is the request itself.
func (a *attempts) failure() error {
	var shown *failure.Error
	if !errors.As(a.last, &shown) {
		const retryAfter = 2 * time.Second
		shown = failure.New(failure.CodeShardUnavailable, "job storage cannot be reached").WithRetryAfter(retryAfter).WithCause(a.last)
	}
	if a.unknown {
		return shown.WithOutcome(outcome.Unknown)
	}
	return shown
}

// retryable reports whether another attempt may end better.
func retryable(err error) bool {
	var shown *failure.Error
	if !errors.As(err, &shown) {
		return true
	}
	return shown.Code == failure.CodeShardUnavailable
}

// pause waits before an attempt, with jitter. It reports whether there is time left.
func (c *Client) pause(ctx context.Context, attempt int) bool {
	delay := c.options.Backoff << (attempt - 1)
	delay = delay/2 + rand.N(delay/2+1)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// leader returns the server of a shard's leader, as far as it is known.
func (c *Client) leader(ctx context.Context, id ident.Shard) (pb.DRPCJobStoreServer, error) {
	node, known := c.leaderNode(id)
	if !known {
		return nil, errNotSent
	}
	return c.node(ctx, node)
}

// node returns the job store of a node.
func (c *Client) node(ctx context.Context, node ident.Node) (pb.DRPCJobStoreServer, error) {
	if node == c.options.Self {
		if c.options.Local == nil {
			return nil, errNotSent
		}
		return c.options.Local, nil
	}
	if c.options.Dialer == nil {
		return nil, errNotSent
	}
	connection, err := c.options.Dialer.Conn(ctx, node)
	if err != nil {
		return nil, errors.Join(errNotSent, err)
	}
	return pb.NewDRPCJobStoreClient(connection), nil
}

// leaderNode returns the node to try: the newest hint, else what the directory says.
func (c *Client) leaderNode(id ident.Shard) (ident.Node, bool) {
	c.mutex.Lock()
	hinted, found := c.hints[id]
	c.mutex.Unlock()
	if found {
		return hinted, true
	}
	return c.options.Directory.Leader(id)
}

// hint remembers the leader a reply named. Without a name the directory is asked again.
func (c *Client) hint(id ident.Shard, node ident.Node) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if node == "" {
		delete(c.hints, id)
		return
	}
	c.hints[id] = node
}

func (c *Client) forgetHint(id ident.Shard) { c.hint(id, "") }
