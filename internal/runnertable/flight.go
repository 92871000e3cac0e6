package runnertable

import (
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Flight is one request at one runner, from the choice to its end.
type Flight struct {
	// Runner is where the request goes.
	Runner work.Runner
	table  *Table
	entry  *entry
	class  Class
	// chosen is when the flight began.
	chosen time.Time
	// uncached are the prompt tokens the runner is not thought to keep.
	uncached int
	// tokens are what the request takes of the runner's memory.
	tokens int
	// succeeded says that the runner's work on the flight was noted, so that each flight counts once.
	succeeded bool
	ended     bool
	// prompted says that the request has a prompt.
	prompted bool
	// seen is when the last event came; before the first one, when the runner was chosen.
	seen time.Time
}

// start counts a flight. The caller holds the mutex.
func (t *Table) start(chosen *entry, wish Wish, uncached int, now time.Time) *Flight {
	flight := &Flight{
		Runner: chosen.runner, table: t, entry: chosen, class: wish.Class, chosen: now, uncached: uncached, tokens: wish.weight(uncached),
		seen: now, prompted: uncached > 0 || len(wish.Prefix) > 0,
	}
	chosen.own[wish.Class]++
	if wish.Class == Online {
		chosen.online = append(chosen.online, flight)
	}
	chosen.tokens[wish.Class] += flight.tokens
	chosen.noteBegun(wish.Class, now)
	t.noteOnline(wish.Class, true)
	chosen.waiting[flight] = now
	chosen.pendingTokens += uncached
	chosen.prefixes.add(wish.Prefix, now)
	return flight
}

// Answered notes the head of the runner's answer and the load it told.
func (f *Flight) Answered(load *work.Load, now time.Time) {
	f.table.mutex.Lock()
	defer f.table.mutex.Unlock()
	f.stopWaiting()
	if f.isFar() {
		f.table.heard(f.Runner.Zone, f.chosen)
	}
	if load != nil {
		f.entry.observe(*load, now)
		f.table.hearRunner(f.entry, load.Pace, now)
	}
}

// Began notes an event, the first or a further one, and that the runner works.
func (f *Flight) Began(now time.Time) {
	f.table.mutex.Lock()
	defer f.table.mutex.Unlock()
	f.stopWaiting()
	f.seeEvent(now)
	if !f.succeeded {
		f.succeeded = true
		f.entry.health.succeeded(now)
	}
}

func (f *Flight) stopWaiting() {
	if _, waits := f.entry.waiting[f]; !waits {
		return
	}
	delete(f.entry.waiting, f)
	f.entry.pendingTokens -= f.uncached
}

// End stops counting the flight. Further calls do nothing.
func (f *Flight) End() {
	f.table.mutex.Lock()
	defer f.table.mutex.Unlock()
	if f.ended {
		return
	}
	f.ended = true
	f.stopWaiting()
	f.entry.own[f.class]--
	if at := slices.Index(f.entry.online, f); at >= 0 {
		f.entry.online = slices.Delete(f.entry.online, at, at+1)
	}
	f.entry.tokens[f.class] -= f.tokens
	// A place that is rationed stands idle until its owner hears that it is free.
	f.table.noteOnline(f.class, f.entry.share.Value().rationed)
}

// Failed notes a failure of the runner or of the way to it.
func (f *Flight) Failed(failure Failure, now time.Time) {
	f.table.mutex.Lock()
	defer f.table.mutex.Unlock()
	f.entry.health.failed(failure, now)
	if f.isFar() && (failure == Unreachable || failure == Silent) {
		f.table.missed(f.Runner.Zone, string(f.Runner.ID), f.chosen, now)
	}
}

// isFar says whether the runner is in another zone: whether that answers is learned from its runners too. Of the node's own zone only workers are
// counted.
func (f *Flight) isFar() bool { return f.Runner.Zone != f.table.zone }

// observe takes over a runner's own count of its work.
func (e *entry) observe(load work.Load, now time.Time) {
	others := load.Running + load.Waiting - e.own[Online] - e.own[Batch]
	e.load.Renew(loadReport{others: max(others, 0), waiting: load.Waiting}, now)
}

// Observe takes over a count that the runner told outside a flight.
func (t *Table) Observe(id ident.Incarnation, load work.Load, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.runners[id]; known != nil {
		known.observe(load, now)
	}
}

// FailureRate returns the share of failures among a runner's last outcomes, fading with time.
func (t *Table) FailureRate(id ident.Incarnation, now time.Time) float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.runners[id]; known != nil {
		return known.health.failureRate(now)
	}
	return 0
}

// Own returns this node's work in progress of a class at a runner.
func (t *Table) Own(id ident.Incarnation, class Class) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.runners[id]; known != nil {
		return known.own[class]
	}
	return 0
}
