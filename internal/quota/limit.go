// Package quota keeps the requests of each tenant, over all nodes together, within what the configuration allows. A tenant has an owner
// among the workers, which gives out credit: no more than what is left of the limit beside the requests that it heard of and the credit
// that is out. A node with many requests of a tenant has credit ahead, and tells what it let through with the reports that it sends
// anyway; one that has none asks. Each node keeps what it let through lately and tells it whole, so that an owner which starts, or takes
// over from another, knows all after one report of each node. A node that reaches no owner goes on with its share of the limit, which
// the owner leaves it.
//
// The package makes no calls; times are arguments.
package quota

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// Limit bounds the requests of a tenant over all nodes.
type Limit struct {
	// Rate is in requests a second, Burst what may come above that; a Rate of zero bounds nothing.
	Rate, Burst float64
}

// Bounded says whether there is a bound.
func (l Limit) Bounded() bool { return l.Rate > 0 }

// window is how many requests the limit allows in a time.
func (l Limit) window(span time.Duration) float64 { return l.Rate*span.Seconds() + l.Burst }

// part is the same limit for a part of the requests.
func (l Limit) part(share float64) Limit { return Limit{Rate: l.Rate * share, Burst: l.Burst * share} }

// Spending is what a node let through of tenants that one worker owns.
type Spending struct {
	Node ident.Node `json:"node"`
	// Incarnation rises with each start of the node's process.
	Incarnation int64 `json:"incarnation"`
	// AgeMs is how long ago that was: what an earlier process let through is not known to this one.
	AgeMs int64 `json:"age_ms"`
	// Spent is by tenant.
	Spent []Spent `json:"spent,omitempty"`
	// Kept is the epoch of an owner that has answered for all that the node let through of its other tenants; zero says nothing of them.
	Kept uint32 `json:"kept,omitempty"`

	// owner is the name of the owner that is told, upTo numbers the last request that is counted of each of Spent, at the node.
	owner string
}

// Spent is what a node let through of one tenant's requests.
type Spent struct {
	Tenant ident.Tenant `json:"tenant"`
	// Recent counts by slots, the newest first; the slots after the last one are empty.
	Recent []int `json:"recent"`
	// Want is how many requests wait at the node for credit.
	Want int `json:"want,omitempty"`
	// Share is the part that the node has in the tenant's requests, as another owner told it last, or this one before it lost its memory.
	Share float64 `json:"share,omitempty"`
	// Others is the part that other nodes had, as told with Share, Of how many requests of the node Share was reckoned from.
	Others float64 `json:"others,omitempty"`
	Of     int     `json:"of,omitempty"`
	// Rate and Burst are the limit as the node knows it, told to an owner that may have no configuration with the tenant yet: one that
	// has just started, or has never heard of the tenant from this node.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`

	// upTo numbers the last request that is counted, at the node.
	upTo uint64
}

// count is how many requests Recent counts.
func (s Spent) count() int {
	total := 0
	for _, count := range s.Recent {
		total += max(count, 0)
	}
	return total
}

// Answer is what an owner says to a node.
type Answer struct {
	Credits []Credit `json:"credits,omitempty"`
	// Nodes is how many nodes tell the owner of what they let through.
	Nodes int `json:"nodes"`
	// Epoch numbers what the owner remembers of the node: it is another one when the owner has an empty memory, and zero where the owner
	// wants to be told all each time.
	Epoch uint32 `json:"epoch,omitempty"`
}

// Credit is the owner's word on one tenant. It replaces all credit that the node had.
type Credit struct {
	Tenant ident.Tenant `json:"tenant"`
	// Amount is how many requests more the node may let through.
	Amount int `json:"amount"`
	// Share is the part of the limit that the node may use while it reaches no owner; zero where the owner does not know enough yet.
	Share float64 `json:"share,omitempty"`
	// Others is the part that other nodes may use: the next owner may not hear of them.
	Others float64 `json:"others,omitempty"`
	// Tight says that a good part of the limit is used: the owner has to know soon what becomes of the tenant.
	Tight bool `json:"tight,omitempty"`
	// AfterMs is when credit can be had again, where there is none now.
	AfterMs int64 `json:"after_ms,omitempty"`
}

const (
	// slots divide a window: what is counted is wrong by one of them at most.
	slots = 20
	// creditFor is how long a node may use credit.
	creditFor = time.Second
	// keepEvery is the time between two reports to an owner of tenants that had requests in the window, though none came since: an owner
	// that does not hear them takes the node for cut off. It is looseEvery where little of the limits is used. Credit that is not used
	// is given back after keepEvery: others may wait for it.
	keepEvery, looseEvery = 700 * time.Millisecond, 1400 * time.Millisecond
	// allToldAfter is how long it takes until an owner has heard of all that was let through before it became the owner, of a tenant that
	// uses a good part of its limit; looseToldAfter of any.
	allToldAfter, looseToldAfter = keepEvery + 200*time.Millisecond, looseEvery + 200*time.Millisecond
	// silentAfter is how long an owner hears nothing of a node before it takes it for cut off: one report may be lost. looseSilentAfter is
	// for one that tells each looseEvery.
	silentAfter, looseSilentAfter = 2*keepEvery + 100*time.Millisecond, 2*looseEvery + 100*time.Millisecond
	// usedFor is how long after an owner gave credit the node may still be using it: as long as it lasts, and the answer was on its way.
	usedFor = creditFor + 200*time.Millisecond
	// aloneFor is how long after the last answer a node that reaches no owner uses its share.
	aloneFor = time.Minute
	// givenUpFor is how long a node remembers a share that it gave up: until it tells the next owner, though that is not known for a lease,
	// and others were told of the share up to a window before the last owner was lost.
	givenUpFor = 10 * time.Second
)

// ruler turns moments into slots.
type ruler struct {
	base time.Time
	slot time.Duration
}

func newRuler(base time.Time, window time.Duration) ruler {
	return ruler{base: base, slot: max(window/slots, time.Millisecond)}
}

func (r ruler) index(now time.Time) int64 { return int64(now.Sub(r.base) / r.slot) }

// passed is how much of the present slot is over.
func (r ruler) passed(now time.Time) time.Duration { return now.Sub(r.base) % r.slot }

// allows is how many requests a limit allows in a span. One request always fits, and what comes in a slot, whatever the burst.
func (r ruler) allows(limit Limit, span time.Duration) float64 {
	return limit.Rate*span.Seconds() + max(limit.Burst, 1+limit.Rate*r.slot.Seconds())
}

// tally counts requests by slots: those of a window, and the present one.
type tally struct {
	newest int64
	counts [slots + 1]int
}

func (t *tally) at(index int64) *int { return &t.counts[index%int64(len(t.counts))] }

// advance empties the slots that come into use.
func (t *tally) advance(index int64) {
	if index-t.newest > slots {
		t.counts = [slots + 1]int{}
	} else {
		for next := t.newest + 1; next <= index; next++ {
			*t.at(next) = 0
		}
	}
	t.newest = max(t.newest, index)
}

// add counts requests in the slot of an age, in slots; one that has gone by is passed over.
func (t *tally) add(index int64, age, count int) {
	t.advance(index)
	if age <= slots && int64(age) <= t.newest {
		*t.at(t.newest - int64(age)) += count
	}
}

// byAge returns the counts of all slots, the newest first.
func (t *tally) byAge(index int64) [slots + 1]int {
	t.advance(index)
	var counts [slots + 1]int
	for age := 0; age <= slots && int64(age) <= t.newest; age++ {
		counts[age] = *t.at(t.newest - int64(age))
	}
	return counts
}

// recent returns the same without the empty slots at the end.
func (t *tally) recent(index int64) []int {
	counts := t.byAge(index)
	last := slots
	for last >= 0 && counts[last] == 0 {
		last--
	}
	return append([]int(nil), counts[:last+1]...)
}

// sum adds up the newest slots.
func (t *tally) sum(index int64, newest int) int {
	total := 0
	for _, count := range t.byAge(index) {
		if newest <= 0 {
			break
		}
		newest--
		total += count
	}
	return total
}

// all adds up all slots.
func (t *tally) all(index int64) int { return t.sum(index, slots+1) }

// left is how many requests more a limit allows, looked at from the beginning of each slot on. It is below zero where there were too
// many.
func (t *tally) left(limit Limit, on ruler, now time.Time) float64 {
	span, total := on.passed(now), 0
	least := on.allows(limit, span)
	for _, count := range t.byAge(on.index(now)) {
		total += count
		least = min(least, on.allows(limit, span)-float64(total))
		span += on.slot
	}
	return least
}
