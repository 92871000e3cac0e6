package demand

import (
	"context"
	"slices"
	"time"
)

// pollRequest requests current answers from workers.
type pollRequest struct {
	// addresses are the workers to poll; nil selects those workers of this node's zone that it works with.
	addresses []string
	// maxAge is the age at which an answer is too old and is requested again.
	maxAge time.Duration
	// pending receives the channels of the calls to wait for; each is closed when its call ends. The channel is
	// buffered, so that the sender never blocks.
	pending chan []<-chan struct{}
}

// includes reports whether the request covers a worker.
func (q *pollRequest) includes(address string, far bool) bool {
	if q.addresses == nil {
		return !far
	}
	return slices.Contains(q.addresses, address)
}

// PollOwnZone polls those workers of this node's zone that it works with and whose last answer is older than the given age, and waits for the
// answers until the context ends. Calls that take longer continue in the background, and their answers are applied
// when they arrive. PollOwnZone returns at once if all answers are fresh.
func (t *Reporter) PollOwnZone(ctx context.Context, maxAge time.Duration) {
	t.poll(ctx, pollRequest{maxAge: maxAge})
}

// Poll is like PollOwnZone for the workers at the given addresses, in any zone. It reports whether any
// worker was called or waited for.
func (t *Reporter) Poll(ctx context.Context, addresses []string, maxAge time.Duration) bool {
	return len(addresses) > 0 && t.poll(ctx, pollRequest{addresses: addresses, maxAge: maxAge})
}

func (t *Reporter) poll(ctx context.Context, request pollRequest) bool {
	if t.fresh(&request) {
		return false
	}
	request.pending = make(chan []<-chan struct{}, 1)
	select {
	case t.request <- request:
	case <-ctx.Done():
		return false
	}
	pending := <-request.pending
	for _, call := range pending {
		select {
		case <-call:
		case <-ctx.Done():
		}
	}
	return len(pending) > 0
}

// fresh reports whether no worker has to be polled or waited for.
func (t *Reporter) fresh(request *pollRequest) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.Now()
	for _, address := range request.addresses {
		if t.workers[address] == nil {
			return false
		}
	}
	for address, state := range t.workers {
		if request.includes(address, state.far) && state.stale(request.maxAge, now) {
			return false
		}
	}
	return true
}

// startPolls starts the calls for a request and returns those to wait for. It runs in the reporter's loop.
func (t *Reporter) startPolls(ctx context.Context, request *pollRequest) []<-chan struct{} {
	countedAt := t.Now()
	online := t.Work.Online(request.addresses)
	now := t.Now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var pending []<-chan struct{}
	for address, owned := range online {
		state := t.worker(address, owned)
		if !request.includes(address, owned.Far) || !state.stale(request.maxAge, now) {
			continue
		}
		if !state.inFlight() {
			t.startCall(ctx, address, state, owned, countedAt, now)
		}
		pending = append(pending, state.callDone)
	}
	return pending
}

// joinWindow is the age up to which a further request waits for a call in flight. A call to a dead or overloaded
// worker takes much longer, and would delay every request.
const joinWindow = 20 * time.Millisecond

// stale reports whether a worker has to be polled, or its call in flight waited for, because its last answer is
// older than the given age.
func (c *workerState) stale(maxAge time.Duration, now time.Time) bool {
	switch {
	case now.Before(c.notBefore), now.Sub(c.answerAsOf) < maxAge:
		return false
	case c.inFlight():
		return now.Sub(c.calledAt) < joinWindow
	}
	return true
}
