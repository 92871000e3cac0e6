package runnertable

import (
	"fmt"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Flight is one request at one runner, from the choice of the runner until the request ends.
type Flight struct {
	// Runner is the runner that the request is sent to.
	Runner work.Runner
	table  *Table
	entry  *entry
	class  Class
	// startedAt is when the runner was chosen.
	startedAt time.Time
	// chosenFrom is the list that was in use then, chosenOverdue whether a newer one should have come by then.
	chosenFrom    ListInUse
	chosenOverdue bool
	// uncached is the number of prompt tokens that are assumed not to be in the runner's prefix cache.
	uncached int
	// tokens is the memory that the request needs at the runner, in tokens.
	tokens int
	// succeeded says that an event was received and the success recorded, so that each flight counts once.
	succeeded bool
	ended     bool
	// hasPrompt says that the request has a prompt.
	hasPrompt bool
	// lastEvent is when the last event was received, or when the runner was chosen before the first event.
	lastEvent time.Time
}

// start registers a new flight. The caller holds the mutex.
func (t *Table) start(chosen *entry, request PickRequest, uncached int, now time.Time) *Flight {
	flight := &Flight{
		Runner: chosen.runner, table: t, entry: chosen, class: request.Class, startedAt: now, chosenFrom: t.listInUse, chosenOverdue: t.overdue(now), uncached: uncached,
		tokens: request.memoryTokens(uncached), lastEvent: now, hasPrompt: uncached > 0 || len(request.Prefix) > 0,
	}
	chosen.own[request.Class]++
	t.use(chosen)
	if request.Class == Online {
		chosen.online = append(chosen.online, flight)
	}
	chosen.tokens[request.Class] += flight.tokens
	chosen.countGrantUse(request.Class, t.countedAt, now)
	t.notifyOnline(request.Class, true)
	chosen.waiting[flight] = now
	chosen.pendingTokens += uncached
	chosen.prefixes.add(request.Prefix, now)
	return flight
}

// Sending is what is known of a flight when its request is sent.
type Sending struct {
	// Waited is the time since the runner was chosen.
	Waited time.Duration
	// ChosenFrom and SentFrom are the lists in use at the choice and now; ChosenAge and SentAge are their ages then.
	ChosenFrom, SentFrom ListInUse
	ChosenAge, SentAge   time.Duration
	// Listed means that the list in use names the runner as ready.
	Listed bool
	// Overdue means that a newer list should have come since the choice.
	Overdue bool
}

const (
	// ErrWithdrawn means that a chosen runner must not be sent the request any more.
	ErrWithdrawn = failure.Kind("runner table: the runner is to be chosen anew")
	// ErrLeaves means that a list since the choice says that the runner leaves. It comes with ErrWithdrawn.
	ErrLeaves = failure.Kind("runner table: the runner leaves")
	// ErrOverdue means that a newer list should have come since the choice, as after the process stood still. It comes with ErrWithdrawn.
	ErrOverdue = failure.Kind("runner table: the list is overdue")
)

// Check returns an error that wraps ErrWithdrawn unless the request may be sent.
func (s Sending) Check() error {
	switch {
	case !s.Listed:
		return fmt.Errorf("%w: %w: list %d, chosen from %d", ErrWithdrawn, ErrLeaves, s.SentFrom.Revision, s.ChosenFrom.Revision)
	case s.Overdue:
		return fmt.Errorf("%w: %w: list %d is %v old", ErrWithdrawn, ErrOverdue, s.SentFrom.Revision, s.SentAge)
	}
	return nil
}

// LongHold is the time between the choice of a runner and the sending of the request from which on it is logged.
const LongHold = 300 * time.Millisecond

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (s Sending) MarshalZerologObject(line *zerolog.Event) {
	line.Dur("held_ms", s.Waited).Int64("chosen_revision", s.ChosenFrom.Revision).Dur("chosen_age_ms", s.ChosenAge).
		Int64("sent_revision", s.SentFrom.Revision).Dur("sent_age_ms", s.SentAge).Bool("listed", s.Listed)
}

// BeforeSend returns what is known now, when the request is about to be sent.
func (f *Flight) BeforeSend(now time.Time) Sending {
	f.table.mutex.Lock()
	defer f.table.mutex.Unlock()
	known := f.table.runners[f.Runner.ID]
	return Sending{
		Waited: now.Sub(f.startedAt), ChosenFrom: f.chosenFrom, SentFrom: f.table.listInUse, ChosenAge: f.startedAt.Sub(f.chosenFrom.AsOf),
		SentAge: now.Sub(f.table.listInUse.AsOf), Listed: known != nil && known.runner.State == work.Ready,
		Overdue: f.table.overdue(now) && !f.chosenOverdue,
	}
}

// HeadReceived records the head of the runner's response and the load reported in it, if any.
func (f *Flight) HeadReceived(load *work.Load, now time.Time) {
	f.table.mutex.Lock()
	defer f.table.mutex.Unlock()
	f.stopWaiting()
	if f.isCrossZone() {
		f.table.zoneAnswered(f.Runner.Zone, f.startedAt)
	}
	if load != nil {
		f.entry.observe(*load, now)
		f.table.updatePaceFromRunner(f.entry, load.Pace, now)
	}
}

// EventReceived records that an event was received, the first one or a later one. The first one counts as a success of the
// runner.
func (f *Flight) EventReceived(now time.Time) {
	f.table.mutex.Lock()
	defer f.table.mutex.Unlock()
	f.stopWaiting()
	f.observeEvent(now)
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

// End removes the flight from the counts. Further calls do nothing.
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
	// A rationed slot stays idle until its owner is notified that it is free, so the notification is sent at once.
	f.table.notifyOnline(f.class, f.entry.share.Value().rationed)
}

// Failed records a failure of the runner or of the connection to it.
func (f *Flight) Failed(failure Failure, now time.Time) {
	f.table.mutex.Lock()
	defer f.table.mutex.Unlock()
	f.entry.health.failed(failure, now)
	f.table.use(f.entry)
	if f.isCrossZone() && (failure == Unreachable || failure == FirstByteTimeout) {
		f.table.zoneTimedOut(f.Runner.Zone, string(f.Runner.ID), f.startedAt, now)
	}
}

// isCrossZone says whether the runner is in another zone. Responses and failures of such runners also count towards
// the reachability of their zone; for the node's own zone only workers count.
func (f *Flight) isCrossZone() bool { return f.Runner.Zone != f.table.zone }

// observe stores a runner's own count of its work.
func (e *entry) observe(load work.Load, now time.Time) {
	others := load.Running + load.Waiting - e.own[Online] - e.own[Batch]
	e.load.Renew(loadReport{others: max(others, 0), waiting: load.Waiting}, now)
}

// Observe stores a count that the runner reported outside a flight.
func (t *Table) Observe(id ident.Incarnation, load work.Load, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.runners[id]; known != nil {
		known.observe(load, now)
	}
}

// FailureRate returns the share of failures among a runner's recent outcomes, which decays with time.
func (t *Table) FailureRate(id ident.Incarnation, now time.Time) float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.runners[id]; known != nil {
		return known.health.failureRate(now)
	}
	return 0
}

// Own returns the number of this node's requests of a class that are in flight at a runner.
func (t *Table) Own(id ident.Incarnation, class Class) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.runners[id]; known != nil {
		return known.own[class]
	}
	return 0
}
