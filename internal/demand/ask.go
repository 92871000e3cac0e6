package demand

import (
	"context"
	"slices"
	"time"
)

// question asks workers for what they know.
type question struct {
	// addresses are those of the workers; nil asks all workers of this node's zone.
	addresses []string
	// older is the age from which on an answer is asked anew.
	older time.Duration
	// calls takes the channels that are closed as the calls end that are to be waited for. It has room for them.
	calls chan []<-chan struct{}
}

// asks says whether the question is for a worker.
func (q *question) asks(address string, far bool) bool {
	if q.addresses == nil {
		return !far
	}
	return slices.Contains(q.addresses, address)
}

// AskNear has the workers of this node's zone asked whose last answer is older than a time, and waits for the answers until the context
// ends: what does not come in time goes on and is taken over then. It returns at once where all answers are fresh.
func (t *Teller) AskNear(ctx context.Context, older time.Duration) {
	t.ask(ctx, question{older: older})
}

// Ask is AskNear for the workers at some addresses, of any zone. It says whether any was asked or waited for.
func (t *Teller) Ask(ctx context.Context, addresses []string, older time.Duration) bool {
	return len(addresses) > 0 && t.ask(ctx, question{addresses: addresses, older: older})
}

func (t *Teller) ask(ctx context.Context, asked question) bool {
	if t.fresh(&asked) {
		return false
	}
	asked.calls = make(chan []<-chan struct{}, 1)
	select {
	case t.asked <- asked:
	case <-ctx.Done():
		return false
	}
	calls := <-asked.calls
	for _, call := range calls {
		select {
		case <-call:
		case <-ctx.Done():
		}
	}
	return len(calls) > 0
}

// fresh says whether nothing is to be asked or waited for.
func (t *Teller) fresh(asked *question) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.Now()
	for address, known := range t.workers {
		if asked.asks(address, known.far) && known.stale(asked.older, now) {
			return false
		}
	}
	return true
}

// begin begins the calls for a question, and returns those to be waited for. It runs in the teller's loop.
func (t *Teller) begin(ctx context.Context, asked *question) []<-chan struct{} {
	online := t.Work.Online()
	now := t.Now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var calls []<-chan struct{}
	for address, owned := range online {
		known := t.worker(address, owned)
		if !asked.asks(address, owned.Far) || !known.stale(asked.older, now) {
			continue
		}
		if !known.telling() {
			t.call(ctx, address, known, owned, now)
		}
		calls = append(calls, known.called)
	}
	return calls
}

// awaitedFor is how long a call is on its way at the most that a further request waits for: one to a worker that is dead or far behind
// goes on for much longer, and would cost each request its wait.
const awaitedFor = 20 * time.Millisecond

// stale says whether a worker is to be asked, or its answer to be waited for, because the last answer is older than a time.
func (c *correspondent) stale(older time.Duration, now time.Time) bool {
	switch {
	case now.Before(c.notBefore), now.Sub(c.knownAt) < older:
		return false
	case c.telling():
		return now.Sub(c.lastAt) < awaitedFor
	}
	return true
}
