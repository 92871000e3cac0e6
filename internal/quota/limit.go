// Package quota enforces the request limit of each tenant over all nodes together, as set in the configuration. For each tenant
// one worker is the ledger owner. It grants credit to nodes, never more than what is left of the limit after the reported requests
// and the outstanding credit. A node with many requests of a tenant receives credit in advance and states what it admitted in its
// periodic reports; a node without credit asks the owner. Each node retains its counts of the current window and reports a
// tenant's window in full, so that an owner that starts, or takes over from another, is up to date after one report from each
// node. A node that reaches no owner continues with its share of the limit, which the owner reserves for it.
//
// The package makes no calls; times are arguments.
package quota

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// Limit bounds the requests of a tenant over all nodes.
type Limit struct {
	// Rate is in requests per second, Burst is the number of requests allowed above that. A Rate of zero means no limit.
	Rate, Burst float64
}

// Bounded reports whether there is a limit.
func (l Limit) Bounded() bool { return l.Rate > 0 }

// allowance returns the number of requests that the limit allows in a period.
func (l Limit) allowance(span time.Duration) float64 { return l.Rate*span.Seconds() + l.Burst }

// scaled returns the limit for a fraction of the requests.
func (l Limit) scaled(share float64) Limit {
	return Limit{Rate: l.Rate * share, Burst: l.Burst * share}
}

// NodeReport reports what a node admitted of the tenants that one worker owns.
type NodeReport struct {
	Node ident.Node `json:"node"`
	// Incarnation increases with each start of the node's process.
	Incarnation int64 `json:"incarnation"`
	// AgeMs is the time since that start. The process does not know what an earlier one admitted.
	AgeMs int64 `json:"age_ms"`
	// Spent has one element per tenant.
	Spent []TenantReport `json:"spent,omitempty"`
	// Kept is the epoch of an owner that has counted everything the node admitted of the tenants not listed in Spent; zero makes
	// no statement about them.
	Kept uint32 `json:"kept,omitempty"`

	// owner is the name of the owner that receives the report.
	owner string
}

// TenantReport reports what a node admitted of one tenant's requests.
type TenantReport struct {
	Tenant ident.Tenant `json:"tenant"`
	// Recent holds the counts by slot, newest first; trailing empty slots are omitted.
	Recent []int `json:"recent"`
	// Want is the number of requests at the node that wait for credit.
	Want int `json:"want,omitempty"`
	// Share is the node's fraction of the tenant's requests, as last sent by another owner, or by this one before it lost its
	// state.
	Share float64 `json:"share,omitempty"`
	// Others is the fraction of the other nodes, as sent with Share. Of is the number of the node's requests that Share was
	// computed from.
	Others float64 `json:"others,omitempty"`
	Of     int     `json:"of,omitempty"`
	// Rate and Burst are the limit in the node's configuration, for an owner whose configuration may lack the tenant: one that has
	// just started, or to which this node has not reported the tenant before.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`

	// upTo is the node's sequence number of the last request counted in Recent.
	upTo uint64
}

// count returns the number of requests in Recent.
func (s TenantReport) count() int {
	total := 0
	for _, count := range s.Recent {
		total += max(count, 0)
	}
	return total
}

// Answer is an owner's reply to a NodeReport.
type Answer struct {
	Credits []Credit `json:"credits,omitempty"`
	// Nodes is the number of nodes that report to the owner.
	Nodes int `json:"nodes"`
	// Epoch identifies the owner's state about the node. It changes when the owner starts with an empty ledger, and is zero if the
	// owner needs a full report each time.
	Epoch uint32 `json:"epoch,omitempty"`
}

// Credit is the owner's grant for one tenant. It replaces all credit that the node had.
type Credit struct {
	Tenant ident.Tenant `json:"tenant"`
	// Amount is the number of further requests that the node may admit.
	Amount int `json:"amount"`
	// Share is the fraction of the limit that the node may use while it reaches no owner; zero if the owner does not have enough
	// reports yet.
	Share float64 `json:"share,omitempty"`
	// Others is the fraction that other nodes may use, for a next owner that may not receive their reports.
	Others float64 `json:"others,omitempty"`
	// Tight is set if a large part of the limit is used, so that the node must report the tenant's requests soon.
	Tight bool `json:"tight,omitempty"`
	// AfterMs is the time until credit is available again, if there is none now.
	AfterMs int64 `json:"after_ms,omitempty"`
}

const (
	// slotsPerWindow is the number of slots that a window is divided into; counts are off by at most one slot.
	slotsPerWindow = 20
	// creditLifetime is how long a node may use credit.
	creditLifetime = time.Second
	// tightReportInterval is the time between two reports to an owner of tenants that had requests in the window, even if no
	// requests arrived since: an owner treats a node without reports as partitioned. looseReportInterval applies where little of
	// the limits is used. Unused credit is returned after tightReportInterval, since other nodes may wait for it.
	tightReportInterval, looseReportInterval = 700 * time.Millisecond, 1400 * time.Millisecond
	// tightReportedAfter is the time after which an owner has received everything that was admitted before it became the owner, of
	// a tenant that uses a large part of its limit; looseReportedAfter is that time for any tenant.
	tightReportedAfter, looseReportedAfter = tightReportInterval + 200*time.Millisecond, looseReportInterval + 200*time.Millisecond
	// tightPartitionedAfter is the time without reports after which an owner treats a node as partitioned; one lost report is
	// tolerated. loosePartitionedAfter applies to a node that reports every looseReportInterval.
	tightPartitionedAfter, loosePartitionedAfter = 2*tightReportInterval + 100*time.Millisecond, 2*looseReportInterval + 100*time.Millisecond
	// creditUsableFor is how long after a grant the node may still be using the credit: its lifetime plus the transit time of the
	// answer.
	creditUsableFor = creditLifetime + 200*time.Millisecond
	// isolationPeriod is how long after the last answer a node that reaches no owner uses its share.
	isolationPeriod = time.Minute
	// releasedShareRetention is how long a node remembers a share that it released, so that it can report the release to the next
	// owner. That owner is known only after a lease, and other nodes may have been sent the share until one window before the
	// previous owner was lost.
	releasedShareRetention = 10 * time.Second
)

// slotClock converts times to slot indices.
type slotClock struct {
	base       time.Time
	slotLength time.Duration
}

func newSlotClock(base time.Time, window time.Duration) slotClock {
	return slotClock{base: base, slotLength: max(window/slotsPerWindow, time.Millisecond)}
}

func (c slotClock) index(now time.Time) int64 { return int64(now.Sub(c.base) / c.slotLength) }

// elapsed returns the time since the current slot began.
func (c slotClock) elapsed(now time.Time) time.Duration { return now.Sub(c.base) % c.slotLength }

// allows returns the number of requests that a limit allows in a period. The burst counts as at least one request plus those of
// one slot at the rate.
func (c slotClock) allows(limit Limit, span time.Duration) float64 {
	return limit.Rate*span.Seconds() + max(limit.Burst, 1+limit.Rate*c.slotLength.Seconds())
}

// tally counts requests by slot, for the slots of one window and the current one.
type tally struct {
	newest int64
	counts [slotsPerWindow + 1]int
}

func (t *tally) at(index int64) *int { return &t.counts[index%int64(len(t.counts))] }

// advance moves the newest slot to index and clears the slots that come into use.
func (t *tally) advance(index int64) {
	if index-t.newest > slotsPerWindow {
		t.counts = [slotsPerWindow + 1]int{}
	} else {
		for next := t.newest + 1; next <= index; next++ {
			*t.at(next) = 0
		}
	}
	t.newest = max(t.newest, index)
}

// add counts requests in the slot that is age slots old; requests older than the window are ignored.
func (t *tally) add(index int64, age, count int) {
	t.advance(index)
	if age <= slotsPerWindow && int64(age) <= t.newest {
		*t.at(t.newest - int64(age)) += count
	}
}

// byAge returns the counts of all slots, newest first.
func (t *tally) byAge(index int64) [slotsPerWindow + 1]int {
	t.advance(index)
	var counts [slotsPerWindow + 1]int
	for age := 0; age <= slotsPerWindow && int64(age) <= t.newest; age++ {
		counts[age] = *t.at(t.newest - int64(age))
	}
	return counts
}

// recent returns the counts of all slots, newest first, without trailing empty slots.
func (t *tally) recent(index int64) []int {
	counts := t.byAge(index)
	last := slotsPerWindow
	for last >= 0 && counts[last] == 0 {
		last--
	}
	return append([]int(nil), counts[:last+1]...)
}

// sum returns the sum of the newest slots.
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

// total returns the sum of all slots.
func (t *tally) total(index int64) int { return t.sum(index, slotsPerWindow+1) }

// left returns the number of further requests that a limit allows: the least over all periods from the start of a slot until now.
// It is negative if the limit is exceeded.
func (t *tally) left(limit Limit, clock slotClock, now time.Time) float64 {
	span, total := clock.elapsed(now), 0
	least := clock.allows(limit, span)
	for _, count := range t.byAge(clock.index(now)) {
		total += count
		least = min(least, clock.allows(limit, span)-float64(total))
		span += clock.slotLength
	}
	return least
}
