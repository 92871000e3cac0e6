package online

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/fairshare"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/waitline"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// lookEvery is the time between two looks for a free place while requests wait. What other nodes have at the runners is
	// known anew each 50 ms; the ends of this node's own requests are looked at as they come.
	lookEvery = 20 * time.Millisecond
	// answeredWeight is the part that one request has in the mean time to the first event.
	answeredWeight = 0.05
)

// errHopeless means that a request would get no place in time.
const errHopeless = failure.Kind("online: no place comes free in time")

// room is where the requests of one service wait for a place, instead of in the queue of a runner that they can't leave: a runner is
// asked once for each request, and who waits is served in order of urgency. It wakes one request at a time, which looks for a place
// itself and wakes the next one when it found one.
type room struct {
	service string
	now     func() time.Time
	// free is how many places of the service's runners are thought to be free.
	free   func() int
	logger zerolog.Logger
	// rationed says whether owners grant the places of the runners one by one; asks has them told that requests wait. asks may be nil.
	rationed func() bool
	asks     func()

	mutex sync.Mutex
	line  waitline.Line
	// resumed are those that ran already and wait for the memory of a runner.
	resumed []chan struct{}
	// woken holds what each waiting request is woken by.
	woken map[*waitline.Waiter]chan struct{}
	// looking says that the timer runs.
	looking bool
	// answered is the mean time from the sending of a request to its first event.
	answered time.Duration
	// told is when the log was last told of the room.
	told time.Time
	// local is what tenants have of the places here, and their bounds; held is whom these held back since the log was last told.
	local fairshare.Local
	held  heldBack
	// unanswered holds when requests of tenants were sent to runners whose answers have not begun.
	unanswered map[*waitline.Waiter]time.Time
	// answers counts the answers that began on time and late, by tenant, since the log was last told.
	answers map[ident.Tenant][2]int
	// extra is how many requests that yield may still take places that others freed, until the next look.
	extra int
	// mostUrgent is the least rank of the kinds of request that came here.
	mostUrgent int
	laggards   laggards
}

// waiter is the place in the line of a request of a route, given until when its answer is on time, and of any use.
func (r *room) waiter(request *work.Request, route *work.Route, onTime, latest time.Time) *waitline.Waiter {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	kind := route.Priority
	r.mostUrgent = min(r.mostUrgent, kind)
	r.laggards.noteObjective(route.Objective)
	if latest.Before(onTime) {
		onTime = latest
	}
	return &waitline.Waiter{
		Tenant: request.Tenant, Rank: request.Rank, Kind: kind, OnTime: onTime.Add(-r.answered), Latest: latest.Add(-r.answered),
	}
}

// taken notes that a request that chose got a place at a runner after it waited or at once, and wakes the next one: there may be more. vacant says that
// it was one that was kept.
func (r *room) taken(waiter *waitline.Waiter, runner ident.Incarnation, vacant, waited bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.line.Taken()
	if !vacant {
		r.laggards.fill(runner)
	}
	r.tookPlace(waiter)
	if waited {
		r.line.Served(waiter, r.now())
		if r.yields(waiter) {
			if r.extra--; r.extra <= 0 {
				return
			}
		}
	}
	r.wake()
}

// freed notes that a request gave its place back after a time, and has the next one look for it.
func (r *room) freed(waiter *waitline.Waiter, after time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	r.line.Freed(after, now)
	r.gavePlace(waiter)
	r.wake()
	r.tell(now)
}

// tellEvery is the time between two lines of the log about a room.
const tellEvery = 10 * time.Second

// tell logs what became of the requests that found no place at once. The caller holds the mutex.
func (r *room) tell(now time.Time) {
	if now.Sub(r.told) < tellEvery {
		return
	}
	r.told = now
	r.tellHeldBack()
	r.tellLate()
	tally, longer := r.line.Tally()
	if tally == (waitline.Tally{}) {
		return
	}
	event.PlacesShort.Log(r.logger).Str("service", r.service).Int("waited", tally.Waited).Int("turned_away", tally.TurnedAway).
		Int("wrongly", tally.Wrongly).Float64("longer_than_expected", longer).Send()
}

// noteAnswered keeps the mean time from the sending of a request to its first event.
func (r *room) noteAnswered(took time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.answered == 0 {
		r.answered = took
	}
	r.answered += time.Duration(answeredWeight * float64(took-r.answered))
}

// crowded says whether requests wait that one which comes must not pass.
func (r *room) crowded(waiter *waitline.Waiter) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.line.MustWait(waiter)
}

// wait returns nil when a request is to look for a place. The error wraps errHopeless where it would get none in time. One
// that waited before and found no place is the first in the line again.
func (r *room) wait(ctx context.Context, waiter *waitline.Waiter, again bool) error {
	woken := r.enter(waiter, again)
	if woken == nil {
		return errHopeless
	}
	select {
	case <-woken:
	case <-ctx.Done():
	}
	// Both may have come: a caller that has left takes no place.
	if err := ctx.Err(); err != nil {
		r.leave(waiter)
		return err
	}
	return nil
}

func (r *room) enter(waiter *waitline.Waiter, again bool) <-chan struct{} {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	r.local.Waited(now)
	rationed := r.rationed()
	if again {
		r.line.Again(waiter)
	} else if !r.join(waiter, rationed, now) {
		return nil
	}
	woken := make(chan struct{})
	r.woken[waiter] = woken
	r.lookSoon()
	if rationed && r.asks != nil {
		r.asks()
	}
	return woken
}

// join has a request wait, unless it would get no place in time. The caller holds the mutex.
func (r *room) join(waiter *waitline.Waiter, rationed bool, now time.Time) bool {
	if rationed {
		return r.line.JoinRationed(waiter, now)
	}
	return r.line.Join(waiter, now)
}

func (r *room) leave(waiter *waitline.Waiter) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, waits := r.woken[waiter]; !waits {
		// It was woken as its caller left: the place that it was woken for is the next one's.
		r.wake()
		return
	}
	delete(r.woken, waiter)
	r.line.Leave(waiter)
}

// wake has the request look for a place that has the least time left, and all that ran already. The caller holds the mutex.
func (r *room) wake() {
	for _, woken := range r.resumed {
		close(woken)
	}
	r.resumed = nil
	if r.line.Len() > 1 && r.rationed() {
		r.line.LateLast(r.now())
	}
	if next := r.line.Next(); next != nil {
		close(r.woken[next])
		delete(r.woken, next)
	}
}

// lookSoon has a request look for a place after a moment, for as long as any waits, and the room at callers that hold their runners up. The
// caller holds the mutex.
func (r *room) lookSoon() {
	if r.looking {
		return
	}
	r.looking = true
	time.AfterFunc(lookEvery, r.look)
}

func (r *room) look() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.looking = false
	r.lookAtLaggards(r.now())
	if len(r.laggards.heldUp) > 0 {
		r.lookSoon()
	}
	if r.line.Len() == 0 {
		return
	}
	r.extra = r.line.Extra()
	if r.extra > 0 || !r.line.NextYields() {
		r.wake()
	}
	r.lookSoon()
}

// returnAfter is when a caller may come back that got no place: when all that wait now have one. Those who are sent away
// together come back spread over as much time again, so that they do not meet in another crowd.
func (r *room) returnAfter(waiter *waitline.Waiter) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.yields(waiter) {
		return r.returnOfYielding(waiter)
	}
	expected := min(max(r.line.Return(), retryAfter), retryAfterOutage)
	return expected + time.Duration(rand.Int64N(int64(expected)))
}

// pickAgain chooses a runner for a request that may have run.
func (e *exchange) pickAgain() (*runnertable.Flight, error) {
	seed := rand.Uint64()
	wish := e.forwarder.freshen(e.ctx, e.wish(false), seed)
	for {
		// It yields to nobody, and counts among those of its tenant.
		e.room.choose(e.waiter)
		flight, err := e.forwarder.Runners.Pick(wish, e.forwarder.Now(), random(seed))
		if err == nil {
			e.room.taken(e.waiter, flight.Runner.ID, false, false)
			return flight, nil
		}
		e.room.foundNone(e.waiter)
		if errors.Is(err, runnertable.ErrNoRunner) && e.takesPausedAgain() {
			continue
		}
		if !errors.Is(err, runnertable.ErrFull) {
			return nil, err
		}
		if err := e.room.waitForMemory(e.ctx); err != nil {
			return nil, err
		}
	}
}

// waitForMemory returns nil when a request that ran already is to look again for a runner with memory: a place was given back, or a moment
// is over. Those in the line are not held up by it, and look too.
func (r *room) waitForMemory(ctx context.Context) error {
	r.mutex.Lock()
	woken := make(chan struct{})
	r.resumed = append(r.resumed, woken)
	r.mutex.Unlock()
	moment := time.NewTimer(lookEvery)
	defer moment.Stop()
	select {
	case <-woken:
	case <-moment.C:
	case <-ctx.Done():
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.resumed = slices.DeleteFunc(r.resumed, func(other chan struct{}) bool { return other == woken })
	return ctx.Err()
}

// rooms holds the rooms of the services.
type rooms struct {
	mutex  sync.Mutex
	byName map[string]*room
}

// roomOf returns the room of a service.
func (f *Forwarder) roomOf(service string) *room {
	f.rooms.mutex.Lock()
	defer f.rooms.mutex.Unlock()
	if f.rooms.byName == nil {
		f.rooms.byName = map[string]*room{}
	}
	found := f.rooms.byName[service]
	if found == nil {
		found = &room{
			service: service, now: f.Now, logger: f.Logger, woken: map[*waitline.Waiter]chan struct{}{}, told: f.Now(), mostUrgent: math.MaxInt,
			free: func() int { return f.Runners.Free(service, f.Now()) }, laggards: newLaggards(),
			rationed: func() bool { return f.Runners.Rations(service, f.Now()) }, asks: f.Asks,
		}
		f.rooms.byName[service] = found
	}
	return found
}

// pick chooses a runner, once one has a place. A request that a runner may have run, and a stream that has begun, can't be sent away as
// not run: they wait for a place at the runner, and here only until one has memory for them.
func (e *exchange) pick() (*runnertable.Flight, error) {
	if err := e.ctx.Err(); err != nil {
		return nil, err
	}
	if e.runs > 0 || e.begun {
		return e.pickAgain()
	}
	waited := false
	if e.room.crowded(e.waiter) {
		if err := e.room.wait(e.ctx, e.waiter, false); err != nil {
			return nil, err
		}
		waited = true
	}
	seed := rand.Uint64()
	wish := e.forwarder.freshen(e.ctx, e.wish(true), seed)
	for {
		wish.Yields = e.room.choose(e.waiter)
		flight, vacant, err := e.pickOrVacant(wish, seed)
		if err == nil {
			e.room.taken(e.waiter, flight.Runner.ID, vacant, waited)
			return flight, nil
		}
		e.room.foundNone(e.waiter)
		if !errors.Is(err, runnertable.ErrFull) {
			return nil, err
		}
		if err := e.room.wait(e.ctx, e.waiter, waited); err != nil {
			return nil, err
		}
		waited = true
		clear(e.full)
		wish.Late = e.late()
	}
}

// pickOrVacant chooses a runner. Where all are full it is that of a caller that was cut off for the requests that wait, if there is one, and vacant
// is true: the runner has no more work with the request than it had with that caller.
func (e *exchange) pickOrVacant(wish runnertable.Wish, seed uint64) (flight *runnertable.Flight, vacant bool, err error) {
	flight, err = e.forwarder.Runners.Pick(wish, e.forwarder.Now(), random(seed))
	if !errors.Is(err, runnertable.ErrFull) {
		return flight, false, err
	}
	wish.Vacant, vacant = e.room.takeVacant()
	if !vacant {
		return nil, false, err
	}
	flight, err = e.forwarder.Runners.Pick(wish, e.forwarder.Now(), random(seed))
	return flight, true, err
}

// takesPausedAgain lets runners go on with a stream that paused in it, where no other one is left. It says whether there are any; each
// is asked again once for a pause, within the runs of the route.
func (e *exchange) takesPausedAgain() bool {
	for _, id := range e.paused {
		delete(e.tried, id)
	}
	found := len(e.paused) > 0
	e.paused = nil
	return found
}
