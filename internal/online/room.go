package online

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
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

// room is where the requests of one service wait for a place, instead of in the queue of a runner that they can't leave. With
// it a day of overload earns .593 of its worth in place of .536 (nine plays a side), and a runner is asked once for each
// request in place of three times. It wakes one request at a time, which looks for a place itself and wakes the next one when
// it found one.
type room struct {
	service string
	now     func() time.Time
	logger  zerolog.Logger
	// rationed says whether owners grant the places of the runners one by one; asks has them told that requests wait. asks may be nil.
	rationed func() bool
	asks     func()

	mutex sync.Mutex
	line  waitline.Line
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
}

// waiter is the place in the line of a request of a kind, given until when its answer is on time, and of any use.
func (r *room) waiter(request *work.Request, kind int, onTime, latest time.Time) *waitline.Waiter {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.mostUrgent = min(r.mostUrgent, kind)
	if latest.Before(onTime) {
		onTime = latest
	}
	return &waitline.Waiter{
		Tenant: request.Tenant, Rank: request.Rank, Kind: kind, OnTime: onTime.Add(-r.answered), Latest: latest.Add(-r.answered),
	}
}

// taken notes that a request got a place after it waited or at once, and wakes the next one: there may be more.
func (r *room) taken(waiter *waitline.Waiter, waited bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.line.Taken()
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

// wake has the request look for a place that has the least time left. The caller holds the mutex.
func (r *room) wake() {
	if r.line.Len() > 1 && r.rationed() {
		r.line.LateLast(r.now())
	}
	if next := r.line.Next(); next != nil {
		close(r.woken[next])
		delete(r.woken, next)
	}
}

// lookSoon has a request look for a place after a moment, for as long as any waits. The caller holds the mutex.
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

// rooms holds the rooms of the services.
type rooms struct {
	mutex  sync.Mutex
	byName map[string]*room
}

// room returns the room of a service.
func (f *Forwarder) room(service string) *room {
	f.rooms.mutex.Lock()
	defer f.rooms.mutex.Unlock()
	if f.rooms.byName == nil {
		f.rooms.byName = map[string]*room{}
	}
	found := f.rooms.byName[service]
	if found == nil {
		found = &room{
			service: service, now: f.Now, logger: f.Logger, woken: map[*waitline.Waiter]chan struct{}{}, told: f.Now(), mostUrgent: math.MaxInt,
			rationed: func() bool { return f.Runners.Rations(service, f.Now()) }, asks: f.Asks,
		}
		f.rooms.byName[service] = found
	}
	return found
}

// pick chooses a runner, once one has a place. A request that a runner may have run, and a stream that has begun, are sent at
// once and wait at the runner: they can't be sent away as not run.
func (e *exchange) pick() (*runnertable.Flight, error) {
	if err := e.ctx.Err(); err != nil {
		return nil, err
	}
	waits := e.runs == 0 && !e.begun
	waited := false
	if waits && e.room.crowded(e.waiter) {
		if err := e.room.wait(e.ctx, e.waiter, false); err != nil {
			return nil, err
		}
		waited = true
	}
	seed := rand.Uint64()
	wish := e.forwarder.freshen(e.ctx, e.wish(waits), seed)
	for {
		flight, err := e.forwarder.Runners.Pick(wish, e.forwarder.Now(), random(seed))
		if err == nil {
			e.room.taken(e.waiter, waited)
			return flight, nil
		}
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
