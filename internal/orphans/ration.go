package orphans

import (
	"cmp"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

const (
	// grantTTL is how long slots are reserved for a node that was granted them and does not report again: a node with
	// waiting requests reports every 50 ms.
	grantTTL = 100 * time.Millisecond
	// urgentShare is the share of the waiting nodes that may have less time left than a node that is granted a slot. With
	// a smaller share slots would be idle until those nodes ask again; with a larger one requests would miss their
	// deadline while newer ones are served. No single node can block all others.
	urgentShare = 0.5
)

// Wait is a node's report of its requests for one service that have no slot.
type Wait struct {
	// OnTime is the number of requests that can still be answered within their objective, Late that of the others.
	OnTime, Late int
	// Until is the earliest deadline of the OnTime requests.
	Until time.Time
}

// RunnerSlots is a runner of the owner. Free is its number of slots without requests and orphaned runs, Items the number of the
// owner's items there, which can be preempted.
type RunnerSlots struct {
	Runner               ident.Incarnation
	Service              string
	Free, Items, Orphans int
}

// Granted is what a node may start at a runner: the number of requests, including late ones if Late is set.
type Granted struct {
	Slots int
	Late  bool
}

// waiter is the last report of one node.
type waiter struct {
	at    time.Time
	waits map[string]Wait
}

// grant is a number of slots of a runner that are reserved for a node.
type grant struct {
	node   ident.Node
	runner ident.Incarnation
	slots  int
	until  time.Time
}

// Ration distributes the free slots of an owner's runners while orphaned runs leave fewer slots than there are nodes:
// each slot is granted to one node, which asks for it with its report. Without it all nodes would send a request to the
// same slot as soon as it is free. The zero Ration has no grants.
type Ration struct {
	waiters map[ident.Node]waiter
	grants  []grant
}

// RecordReport records a node's report. Its earlier grants end: requests that it sent on them are part of the work that it
// reports, and unused ones are requested again.
func (r *Ration) RecordReport(node ident.Node, waits map[string]Wait, now time.Time) {
	if r.waiters == nil {
		r.waiters = map[ident.Node]waiter{}
	}
	delete(r.waiters, node)
	if len(waits) > 0 {
		r.waiters[node] = waiter{at: now, waits: waits}
	}
	remaining := r.grants[:0]
	for _, given := range r.grants {
		if given.node != node && given.until.After(now) {
			remaining = append(remaining, given)
		}
	}
	r.grants = remaining
}

// Grant grants a node that has just reported its waiting requests its share of the slots of some runners, given the
// number of nodes that report work. It returns how many requests the node may start at each rationed runner; it chooses
// among the other runners as usual.
func (r *Ration) Grant(node ident.Node, slots []RunnerSlots, nodes int, now time.Time) map[ident.Incarnation]Granted {
	scarce := scarceServices(slots, nodes)
	if len(scarce) == 0 {
		return nil
	}
	reserved, left, late := r.reservedSlots(now), map[string]int{}, map[string]bool{}
	for service, wait := range r.waiters[node].waits {
		left[service], late[service] = r.entitlement(node, service, wait, now)
	}
	granted := map[ident.Incarnation]Granted{}
	for _, place := range byIdleSlots(slots) {
		if !scarce[place.Service] {
			continue
		}
		given := max(min(place.Free-reserved[place.Runner], left[place.Service]), 0)
		granted[place.Runner] = Granted{Slots: given, Late: given > 0 && late[place.Service]}
		if given > 0 {
			left[place.Service] -= given
			r.grants = append(r.grants, grant{node: node, runner: place.Runner, slots: given, until: now.Add(grantTTL)})
		}
	}
	return granted
}

// scarceServices returns the services whose runners have orphaned runs and together fewer free slots than there are
// nodes.
func scarceServices(slots []RunnerSlots, nodes int) map[string]bool {
	free, orphans := map[string]int{}, map[string]int{}
	for _, place := range slots {
		free[place.Service] += max(place.Free, 0)
		orphans[place.Service] += place.Orphans
	}
	scarce := map[string]bool{}
	for service, runs := range orphans {
		if runs > 0 && free[service] < nodes {
			scarce[service] = true
		}
	}
	return scarce
}

// byIdleSlots orders runners by the number of slots used by neither requests nor items, largest first.
func byIdleSlots(slots []RunnerSlots) []RunnerSlots {
	return slices.SortedStableFunc(slices.Values(slots), func(first, second RunnerSlots) int {
		return cmp.Compare(second.Free-second.Items, first.Free-first.Items)
	})
}

// Pressed reports whether requests that can still be on time wait at any node.
func (r *Ration) Pressed(now time.Time) bool {
	for _, waiter := range r.waiters {
		for service := range waiter.waits {
			if waiter.hasOnTimeRequests(service, now) {
				return true
			}
		}
	}
	return false
}

// hasOnTimeRequests reports whether requests for a service that can still be on time wait at the node, by a recent
// report.
func (w waiter) hasOnTimeRequests(service string, now time.Time) bool {
	wait := w.waits[service]
	return wait.OnTime > 0 && now.Sub(w.at) <= grantTTL && (wait.OnTime > 1 || !now.After(wait.Until))
}

// reservedSlots returns how many slots of each runner are granted.
func (r *Ration) reservedSlots(now time.Time) map[ident.Incarnation]int {
	reserved := map[ident.Incarnation]int{}
	for _, given := range r.grants {
		if given.until.After(now) {
			reserved[given.runner] += given.slots
		}
	}
	return reserved
}

// entitlement returns how many slots a node may have: one for each request that can still be on time, unless too many
// nodes have less time left, and for its late requests only if no other node has requests that can still be on time.
func (r *Ration) entitlement(node ident.Node, service string, wait Wait, now time.Time) (slots int, late bool) {
	waiting, moreUrgent := 1, 0
	for other, waiter := range r.waiters {
		if other == node || !waiter.hasOnTimeRequests(service, now) {
			continue
		}
		waiting++
		if waiter.waits[service].Until.Before(wait.Until) {
			moreUrgent++
		}
	}
	switch {
	case wait.OnTime > 0 && float64(moreUrgent) <= urgentShare*float64(waiting):
		return wait.OnTime, false
	case wait.OnTime == 0 && waiting == 1:
		return wait.Late, true
	}
	return 0, false
}
