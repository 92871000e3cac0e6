package online

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/waitline"
)

const (
	// heldBackTold is how many tenants a line about those held back names.
	heldBackTold = 8
	// honouredPart of the time that a caller has left is the longest for which it is thought to stay away.
	honouredPart = 1.0 / 3
	// queuedAfter is how long after its sending a request without a first event counts as waiting at the runner: longer than prompts are
	// read, and short beside the objectives of online work, so that places are seen to be scarce before answers are late.
	queuedAfter = 75 * time.Millisecond
)

// Uses returns what the keepers of the services' accounts are to be told: what tenants take and wait for of places that are scarce.
func (f *Forwarder) Uses() []demand.Use {
	var uses []demand.Use
	for _, room := range f.rooms.all() {
		uses = append(uses, room.uses()...)
	}
	return uses
}

// Learn takes over what a keeper said of the tenants that have more than their share, as of a moment.
func (f *Forwarder) Learn(bounds []demand.Bound, asOf time.Time) {
	for first := 0; first < len(bounds); {
		service := bounds[first].Service
		end := first
		for end < len(bounds) && bounds[end].Service == service {
			end++
		}
		if room := f.rooms.known(service); room != nil {
			room.learn(bounds[first:end], asOf)
		}
		first = end
	}
}

// all returns the rooms there are.
func (r *rooms) all() []*room {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	all := make([]*room, 0, len(r.byName))
	for _, room := range r.byName {
		all = append(all, room)
	}
	return all
}

// known returns the room of a service, or nil where no request came for it.
func (r *rooms) known(service string) *room {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.byName[service]
}

func (r *room) uses() []demand.Use {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	queued := r.queued(now)
	if !r.local.Scarce(now) {
		return nil
	}
	waiting := map[ident.Tenant]int{}
	for waiter := range r.woken {
		waiting[waiter.Tenant]++
	}
	return r.local.Uses(r.service, waiting, queued, now)
}

// choose counts a request that chooses a runner among those that have a place, and says whether it yields: of several that choose at the same
// moment each counts those before it, so that no more of them pass for within their tenant's bound than are. It is followed by taken or
// foundNone.
func (r *room) choose(waiter *waitline.Waiter) (yields bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	yields = r.yields(waiter)
	r.local.Took(waiter.Tenant)
	return yields
}

// foundNone takes back that a request chose: it got no place.
func (r *room) foundNone(waiter *waitline.Waiter) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.local.Gave(waiter.Tenant)
}

// tookPlace notes that a request that chose got a place. The caller holds the mutex.
func (r *room) tookPlace(waiter *waitline.Waiter) {
	if waiter.Tenant == "" {
		return
	}
	if r.unanswered == nil {
		r.unanswered = map[*waitline.Waiter]time.Time{}
	}
	r.unanswered[waiter] = r.now()
}

// gavePlace notes that a request gave its place back. The caller holds the mutex.
func (r *room) gavePlace(waiter *waitline.Waiter) {
	r.local.Gave(waiter.Tenant)
	delete(r.unanswered, waiter)
}

// queued counts the requests by tenant whose answers should have begun: they wait at runners, whose places are scarce. The caller holds the
// mutex.
func (r *room) queued(now time.Time) map[ident.Tenant]int {
	queued := map[ident.Tenant]int{}
	for waiter, sent := range r.unanswered {
		if now.Sub(sent) > queuedAfter {
			queued[waiter.Tenant]++
			r.local.Waited(now)
		}
	}
	return queued
}

func (r *room) learn(bounds []demand.Bound, asOf time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.local.Learn(bounds, asOf)
	r.line.Yields = r.yields
}

// yields says whether a request takes only places that nobody else wants. The caller holds the mutex.
func (r *room) yields(waiter *waitline.Waiter) bool {
	return r.local.Yields(waiter.Tenant, waiter.Kind > r.mostUrgent, r.now())
}

func (r *room) yieldsNow(waiter *waitline.Waiter) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.yields(waiter)
}

// scarce says whether places are known to be scarce.
func (r *room) scarce() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.local.Scarce(r.now())
}

// unused notes that a request gave back a place that it had no use for.
func (r *room) unused(waiter *waitline.Waiter) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.line.Unused()
	r.gavePlace(waiter)
	r.wake()
}

// heldBack counts the requests that were turned away because their tenants have more than their share.
type heldBack struct {
	byTenant map[ident.Tenant]int
	// most and sum are of the places that were thought to be free as they were turned away.
	most, sum int
	// away holds when those that were told to come back do so, the latest last.
	away []time.Time
}

// turnedAway counts a request that was turned away, if it yielded.
func (r *room) turnedAway(waiter *waitline.Waiter) {
	if !r.yieldsNow(waiter) {
		return
	}
	places := r.free()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.held.byTenant == nil {
		r.held.byTenant = map[ident.Tenant]int{}
	}
	r.held.byTenant[waiter.Tenant]++
	r.held.sum += places
	r.held.most = max(r.held.most, places)
}

// returnOfYielding is when a caller may come back whose request yielded: when the places that come free have served those that were sent
// away before it, as far as it stays away. The caller holds the mutex.
func (r *room) returnOfYielding(waiter *waitline.Waiter) time.Duration {
	now := r.now()
	r.held.away = slices.DeleteFunc(r.held.away, now.After)
	honoured := time.Duration(honouredPart * float64(waiter.Latest.Sub(now)))
	longest := max(min(retryAfterOutage+retryAfterOutage, honoured), retryAfter)
	after := max(r.line.ReturnYielding(len(r.held.away)), retryAfter)
	if after >= longest {
		// There is no room for it then either: those that come anyway come spread.
		after = longest - time.Duration(rand.Int64N(int64(longest-retryAfter)/2+1))
	}
	r.held.away = append(r.held.away, now.Add(after))
	return after
}

// noteAnswered notes that the runner's answer begins, and whether that is on time.
func (e *exchange) noteAnswered() {
	now := e.forwarder.Now()
	e.room.noteAnswered(now.Sub(e.sent))
	if e.request.Tenant != "" {
		e.room.noteOnTime(e.waiter, e.route.Objective <= 0 || now.Sub(e.request.Arrived) <= e.route.Objective)
	}
}

func (r *room) noteOnTime(waiter *waitline.Waiter, onTime bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.unanswered, waiter)
	if r.answers == nil {
		r.answers = map[ident.Tenant][2]int{}
	}
	counts := r.answers[waiter.Tenant]
	if onTime {
		counts[0]++
	} else {
		counts[1]++
	}
	r.answers[waiter.Tenant] = counts
}

// tellLate logs whose answers began late, if any did, the largest by name. The caller holds the mutex.
func (r *room) tellLate() {
	answers := r.answers
	r.answers = nil
	onTime, late := 0, 0
	for _, counts := range answers {
		onTime += counts[0]
		late += counts[1]
	}
	if late == 0 {
		return
	}
	named := zerolog.Dict()
	for position, tenant := range largest(answers, func(counts [2]int) int { return counts[1] }) {
		if position < heldBackTold && answers[tenant][1] > 0 {
			named.Ints(string(tenant), []int{answers[tenant][0], answers[tenant][1]})
		}
	}
	event.TenantsAnsweredLate.Log(r.logger).Str("service", r.service).Dict("on_time_late", named).
		Int("on_time", onTime).Int("late", late).Send()
}

// largest returns the tenants in the order of what they have, the one with the most first.
func largest[C any](counts map[ident.Tenant]C, size func(C) int) []ident.Tenant {
	return slices.SortedFunc(maps.Keys(counts), func(first, second ident.Tenant) int {
		return cmp.Or(cmp.Compare(size(counts[second]), size(counts[first])), cmp.Compare(first, second))
	})
}

// tellHeldBack logs which tenants were held back, the largest by name. The caller holds the mutex.
func (r *room) tellHeldBack() {
	counts := r.held.byTenant
	if len(counts) == 0 {
		return
	}
	tenants := largest(counts, func(count int) int { return count })
	named, others, all := zerolog.Dict(), 0, 0
	for position, tenant := range tenants {
		all += counts[tenant]
		if position < heldBackTold {
			named.Int(string(tenant), counts[tenant])
			continue
		}
		others += counts[tenant]
	}
	event.TenantsHeldBack.Log(r.logger).Str("service", r.service).Dict("turned_away", named).
		Int("others", max(len(tenants)-heldBackTold, 0)).Int("others_turned_away", others).
		Int("free_places_mean", r.held.sum/all).Int("free_places_most", r.held.most).Send()
	r.held = heldBack{away: r.held.away}
}
