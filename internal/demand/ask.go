package demand

import (
	"context"
	"time"
)

// question asks the workers of this node's zone for what they know.
type question struct {
	// older is the age from which on an answer is asked anew.
	older time.Duration
	// calls takes one channel for each call to be waited for. It has room for them.
	calls chan []<-chan struct{}
}

// Ask has the workers of this node's zone asked whose last answer is older than a time, and waits for the answers, within limits: what
// does not come in time goes on and is taken over then. It returns at once where all answers are fresh.
func (t *Teller) Ask(ctx context.Context, older, within time.Duration) {
	if t.fresh(older) {
		return
	}
	timer := time.NewTimer(within)
	defer timer.Stop()
	asked := question{older: older, calls: make(chan []<-chan struct{}, 1)}
	var calls []<-chan struct{}
	select {
	case t.asked <- asked:
		calls = <-asked.calls
	case <-timer.C:
	case <-ctx.Done():
	}
	for _, call := range calls {
		select {
		case <-call:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// fresh says whether nothing is to be asked or waited for.
func (t *Teller) fresh(older time.Duration) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.Now()
	for _, known := range t.workers {
		if known.stale(older, now) {
			return false
		}
	}
	return true
}

// ask begins the calls to the workers whose last answer is too old, and returns those to be waited for. It runs in the teller's loop.
func (t *Teller) ask(ctx context.Context, older time.Duration) []<-chan struct{} {
	online := t.Work.Online()
	now := t.Now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var calls []<-chan struct{}
	for address, owned := range online {
		known := t.worker(address, owned)
		if !known.stale(older, now) {
			continue
		}
		if !known.telling() {
			t.call(ctx, address, known, owned.Counts, now)
		}
		calls = append(calls, known.called)
	}
	return calls
}

// awaitedFor is how long a call is on its way at the most that a further request waits for: one to a worker that is dead or far behind
// goes on for much longer, and would cost each request its wait.
const awaitedFor = 10 * time.Millisecond

// stale says whether a worker is to be asked, or its answer to be waited for, because the last answer is older than a time.
func (c *correspondent) stale(older time.Duration, now time.Time) bool {
	switch {
	case c.far, now.Before(c.notBefore), now.Sub(c.knownAt) < older:
		return false
	case c.telling():
		return now.Sub(c.lastAt) < awaitedFor
	}
	return true
}
