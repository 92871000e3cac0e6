package orphans

import (
	"cmp"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

const (
	// grantFor is how long a place is kept for a node that was granted it and tells nothing more: a node with requests that wait tells each
	// 50 ms.
	grantFor = 100 * time.Millisecond
	// urgentPart of the nodes that wait may have less time left than one that is granted a place. Fewer would leave places idle until
	// those ask again, more would let requests run out of time while younger ones are served. No single node holds up all others.
	urgentPart = 0.5
)

// Wait is what a node tells of its requests for one service that have no place.
type Wait struct {
	// OnTime are those that can still be answered within their objective, Late the others.
	OnTime, Late int
	// Until is the moment at which the first of OnTime runs out of time.
	Until time.Time
}

// Place is a runner of the owner. Free are its places without requests and orphans, Items the owner's items there, which step aside.
type Place struct {
	Runner               ident.Incarnation
	Service              string
	Free, Items, Orphans int
}

// Granted is what a node may begin at a runner: so many requests, also such that are late where Late is set.
type Granted struct {
	Places int
	Late   bool
}

// waiter is one node and what it last told.
type waiter struct {
	at    time.Time
	waits map[string]Wait
}

// grant are places of a runner that are kept for a node.
type grant struct {
	node   ident.Node
	runner ident.Incarnation
	places int
	until  time.Time
}

// Ration gives out the free places of an owner's runners where orphans leave fewer than there are nodes: each place is granted to one node, which
// asks for it with its report. Without it all nodes send to the same place as it comes free. The zero Ration has granted nothing.
type Ration struct {
	waiters map[ident.Node]waiter
	grants  []grant
}

// Take notes what a node tells. Its grants end: what it sent on them is part of the work that it tells, and what it did not is asked for anew.
func (r *Ration) Take(node ident.Node, waits map[string]Wait, now time.Time) {
	if r.waiters == nil {
		r.waiters = map[ident.Node]waiter{}
	}
	delete(r.waiters, node)
	if len(waits) > 0 {
		r.waiters[node] = waiter{at: now, waits: waits}
	}
	kept := r.grants[:0]
	for _, given := range r.grants {
		if given.node != node && given.until.After(now) {
			kept = append(kept, given)
		}
	}
	r.grants = kept
}

// Grant gives a node that has just told what waits there its part of some runners' places, given how many nodes tell of work. It returns how
// many requests the node may begin at each runner that is rationed; the others it chooses among as always.
func (r *Ration) Grant(node ident.Node, places []Place, nodes int, now time.Time) map[ident.Incarnation]Granted {
	scarce := scarceAt(places, nodes)
	if len(scarce) == 0 {
		return nil
	}
	kept, left, late := r.keptFor(now), map[string]int{}, map[string]bool{}
	for service, wait := range r.waiters[node].waits {
		left[service], late[service] = r.entitled(node, service, wait, now)
	}
	granted := map[ident.Incarnation]Granted{}
	for _, place := range emptiestFirst(places) {
		if !scarce[place.Service] {
			continue
		}
		given := max(min(place.Free-kept[place.Runner], left[place.Service]), 0)
		granted[place.Runner] = Granted{Places: given, Late: given > 0 && late[place.Service]}
		if given > 0 {
			left[place.Service] -= given
			r.grants = append(r.grants, grant{node: node, runner: place.Runner, places: given, until: now.Add(grantFor)})
		}
	}
	return granted
}

// scarceAt returns the services of which runners have orphans and all together fewer free places than there are nodes.
func scarceAt(places []Place, nodes int) map[string]bool {
	free, orphans := map[string]int{}, map[string]int{}
	for _, place := range places {
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

// emptiestFirst orders runners by the places that neither requests nor items have.
func emptiestFirst(places []Place) []Place {
	return slices.SortedStableFunc(slices.Values(places), func(first, second Place) int {
		return cmp.Compare(second.Free-second.Items, first.Free-first.Items)
	})
}

// Pressed says whether requests wait at any node that can be on time.
func (r *Ration) Pressed(now time.Time) bool {
	for _, told := range r.waiters {
		for service := range told.waits {
			if told.waitsOnTime(service, now) {
				return true
			}
		}
	}
	return false
}

// waitsOnTime says whether requests for a service that can be on time wait at the node, as far as it told lately.
func (w waiter) waitsOnTime(service string, now time.Time) bool {
	wait := w.waits[service]
	return wait.OnTime > 0 && now.Sub(w.at) <= grantFor && (wait.OnTime > 1 || !now.After(wait.Until))
}

// keptFor is how many places of each runner are granted.
func (r *Ration) keptFor(now time.Time) map[ident.Incarnation]int {
	kept := map[ident.Incarnation]int{}
	for _, given := range r.grants {
		if given.until.After(now) {
			kept[given.runner] += given.places
		}
	}
	return kept
}

// entitled is how many places a node may have: for all its requests that can be on time, unless too many nodes have less time
// left, and for those that are late where nobody waits for whom a place is of more use.
func (r *Ration) entitled(node ident.Node, service string, wait Wait, now time.Time) (places int, late bool) {
	waiting, earlier := 1, 0
	for other, told := range r.waiters {
		if other == node || !told.waitsOnTime(service, now) {
			continue
		}
		waiting++
		if told.waits[service].Until.Before(wait.Until) {
			earlier++
		}
	}
	switch {
	case wait.OnTime > 0 && float64(earlier) <= urgentPart*float64(waiting):
		return wait.OnTime, false
	case wait.OnTime == 0 && waiting == 1:
		return wait.Late, true
	}
	return 0, false
}
