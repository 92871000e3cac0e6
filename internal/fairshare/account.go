package fairshare

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
)

const (
	// scarceFor is how long the places of a service count as scarce after a request was last told to wait: some reports of each
	// node, so that moments without one don't have bounds come and go.
	scarceFor = time.Second
	// divideEvery is the time between two divisions of a service's places: a fraction of what nodes' reports are apart.
	divideEvery = 50 * time.Millisecond
	// divideForNewEvery is that time where a node tells for the first time: many begin to at the same moment, and each that has no bound
	// yet takes what it can.
	divideForNewEvery = 10 * time.Millisecond
	// mostOver is how much more than its share a tenant may want that is bounded no more; wantsLessFor is how long.
	mostOver     = 0.9
	wantsLessFor = time.Second
	// takenMemory is how long the most places that nodes had count: the next requests need a moment to take those that came free.
	takenMemory = time.Second
	// turnsEvery is the time after which parts of a place go to other nodes.
	turnsEvery = 2 * time.Second
)

// Fleet is what a division depends on beside what nodes tell.
type Fleet struct {
	// Slots are those of the ready runners of the service.
	Slots int
	// Weight returns the weight of a tenant.
	Weight func(ident.Tenant) float64
	// Weights is the sum over all tenants of the configuration.
	Weights float64
}

// Account is what nodes told of the places of some services. It is safe for concurrent use; the zero Account knows nothing.
type Account struct {
	mutex    sync.Mutex
	services map[string]*service
}

// service is the account of one service.
type service struct {
	nodes map[ident.Node]*told
	// scarceUntil is until when the places count as scarce.
	scarceUntil time.Time
	// none is when the nodes that tell last had no place at all.
	none time.Time
	// most is the most places that nodes had lately, of which mostAt is the moment.
	most   int
	mostAt time.Time
	// divided is when the places were last divided.
	divided time.Time
	over    map[ident.Tenant]*bounded
	places  float64
	// parts are the bounds of the tenants over their share at each node that has something of them.
	parts map[ident.Node][]demand.Bound
}

// told is the newest word of one node.
type told struct {
	incarnation, sequence int64
	at                    time.Time
	uses                  map[ident.Tenant]demand.Use
}

// bounded is a tenant that wants more than its share, or did so a moment ago.
type bounded struct {
	share float64
	wants int
	// since is when it last wanted nearly as much as its share.
	since time.Time
}

// Take takes over what a node told of the services that this account is of. An older report than the last one is passed over.
func (a *Account) Take(report *demand.Report, now time.Time) {
	if len(report.Uses) == 0 {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.services == nil {
		a.services = map[string]*service{}
	}
	news := map[string]*told{}
	for _, use := range report.Uses {
		known := news[use.Service]
		if known == nil {
			known = &told{incarnation: report.Incarnation, sequence: report.Sequence, at: now, uses: map[ident.Tenant]demand.Use{}}
			news[use.Service] = known
		}
		use.Taken, use.Waiting = max(use.Taken, 0), max(use.Waiting, 0)
		known.uses[use.Tenant] = use
	}
	for name, next := range news {
		a.service(name).take(report.Node, next, now)
	}
}

// service returns the account of one. The caller holds the mutex.
func (a *Account) service(name string) *service {
	known := a.services[name]
	if known == nil {
		known = &service{nodes: map[ident.Node]*told{}, over: map[ident.Tenant]*bounded{}}
		a.services[name] = known
	}
	return known
}

func (s *service) take(node ident.Node, next *told, now time.Time) {
	before := s.nodes[node]
	if before != nil && !next.newer(before) {
		return
	}
	s.nodes[node] = next
	for _, use := range next.uses {
		if use.Waiting > 0 {
			s.scarceUntil = now.Add(scarceFor)
		}
	}
}

func (t *told) newer(than *told) bool {
	return cmp.Or(cmp.Compare(t.incarnation, than.incarnation), cmp.Compare(t.sequence, than.sequence)) > 0
}

// Bounds returns what a node is told: for each service whose places are scarce an entry without a tenant, and one for each tenant over
// its share that the node told of.
func (a *Account) Bounds(report *demand.Report, fleet func(service string) Fleet, now time.Time) []demand.Bound {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var bounds []demand.Bound
	for name, known := range a.services {
		if now.After(known.scarceUntil) {
			known.forget(now)
			if len(known.nodes) == 0 {
				delete(a.services, name)
			}
			continue
		}
		if now.Sub(known.divided) >= known.divideAfter(report.Node) {
			known.divide(name, fleet(name), now)
		}
		bounds = append(bounds, demand.Bound{Service: name, Places: known.sharedOut()})
		bounds = append(bounds, known.parts[report.Node]...)
	}
	slices.SortFunc(bounds, func(first, second demand.Bound) int {
		return cmp.Or(cmp.Compare(first.Service, second.Service), cmp.Compare(first.Tenant, second.Tenant))
	})
	return bounds
}

// sharedOut is what the entry without a tenant tells: the places that are divided, or none while no tenant is bounded.
func (s *service) sharedOut() int {
	if len(s.over) == 0 {
		return 0
	}
	return max(int(s.places), 1)
}

// forget drops what is too old to count.
func (s *service) forget(now time.Time) {
	maps.DeleteFunc(s.nodes, func(_ ident.Node, known *told) bool { return now.Sub(known.at) > demand.Lifetime })
	if len(s.nodes) == 0 {
		clear(s.over)
		s.most = 0
	}
}

// divideAfter is the time since the last division after which there is another one for a node that asks.
func (s *service) divideAfter(asking ident.Node) time.Duration {
	if own := s.nodes[asking]; own != nil && s.parts[asking] == nil && own.at.After(s.divided) {
		return divideForNewEvery
	}
	return divideEvery
}

// divide finds the tenants that want more than their share, and each node's part of it.
func (s *service) divide(name string, fleet Fleet, now time.Time) {
	s.divided = now
	s.forget(now)
	claims, rest, taken := s.claims(fleet)
	s.places = s.placesOf(taken, fleet, now)
	s.parts = make(map[ident.Node][]demand.Bound, len(s.nodes))
	if len(claims) < 2 && rest == 0 {
		// A tenant alone has all places.
		clear(s.over)
		return
	}
	// The tenants that no node names have few places each, and what they want.
	shares := Shares(s.places-float64(rest), claims)
	most := mostForWeight(claims, shares, s.places)
	for index, claim := range claims {
		// One that has all it wants could have as much as the others. No tenant has less than it would have were all of the
		// configuration to want more than their share.
		share := max(shares[index], min(most*claim.Weight, s.places), s.places*claim.Weight/max(fleet.Weights, claim.Weight))
		s.bound(claim, share, now)
	}
	nodes := s.inTurn(now)
	for _, tenant := range slices.Sorted(maps.Keys(s.over)) {
		if known := s.over[tenant]; now.Sub(known.since) > wantsLessFor {
			delete(s.over, tenant)
			continue
		}
		s.part(name, tenant, nodes)
	}
}

// mostForWeight is what those have for their weight that have less than they want; all places where there are none.
func mostForWeight(claims []Claim, shares []float64, places float64) float64 {
	for index, claim := range claims {
		if shares[index] < float64(claim.Wants)-roundingSlack {
			return shares[index] / claim.Weight
		}
	}
	return places / Weight(mostRank)
}

// claims adds up what nodes told: by tenant, what the others want, and all places that are taken.
func (s *service) claims(fleet Fleet) (claims []Claim, rest, taken int) {
	wants := map[ident.Tenant]int{}
	for _, known := range s.nodes {
		for tenant, use := range known.uses {
			taken += use.Taken
			if tenant == "" {
				rest += use.Taken + use.Waiting
				continue
			}
			wants[tenant] += use.Taken + use.Waiting
		}
	}
	for _, tenant := range slices.Sorted(maps.Keys(wants)) {
		claims = append(claims, Claim{Tenant: tenant, Weight: fleet.Weight(tenant), Wants: wants[tenant]})
	}
	return claims, rest, taken
}

// placesOf is how many places there are to divide: those that the requests of the nodes that tell have at the slots of runners. Where
// they had none a moment ago all slots count: their requests waited because no runner was heard of, and would be held to the few places that
// the first of them have.
func (s *service) placesOf(taken int, fleet Fleet, now time.Time) float64 {
	if taken >= s.most || now.Sub(s.mostAt) > takenMemory {
		s.most, s.mostAt = taken, now
	}
	if taken == 0 {
		s.none = now
	}
	if now.Sub(s.none) < takenMemory {
		return float64(fleet.Slots)
	}
	return float64(min(s.most, fleet.Slots))
}

// bound bounds a tenant that wants more than its share, and keeps the bound of one that does so nearly.
func (s *service) bound(claim Claim, share float64, now time.Time) {
	known := s.over[claim.Tenant]
	wants := float64(claim.Wants)
	switch {
	case known == nil && wants <= share:
		return
	case known == nil:
		known = &bounded{}
		s.over[claim.Tenant] = known
		fallthrough
	case wants > mostOver*share:
		known.since = now
	}
	known.share, known.wants = share, claim.Wants
}

// inTurn returns the nodes in the order in which parts of a place are rounded, which changes with time.
func (s *service) inTurn(now time.Time) []ident.Node {
	turn := uint64(now.UnixNano() / int64(turnsEvery))
	rank := make(map[ident.Node]uint64, len(s.nodes))
	for node := range s.nodes {
		rank[node] = xxhash.Sum64String(string(node)) * (2*turn + 1)
	}
	return slices.SortedFunc(maps.Keys(s.nodes), func(first, second ident.Node) int {
		return cmp.Or(cmp.Compare(rank[first], rank[second]), cmp.Compare(first, second))
	})
}

// part divides a tenant's share over the nodes in proportion to what its requests take and wait for there. The parts add up to the share,
// rounded up.
func (s *service) part(name string, tenant ident.Tenant, nodes []ident.Node) {
	wants := 0
	for _, node := range nodes {
		use := s.nodes[node].uses[tenant]
		wants += use.Taken + use.Waiting
	}
	each := s.over[tenant].share / float64(max(wants, 1))
	given, before := 0, 0
	for _, node := range nodes {
		use := s.nodes[node].uses[tenant]
		has := use.Taken + use.Waiting
		if has == 0 {
			continue
		}
		before += has
		upTo := int(math.Ceil(each*float64(before) - roundingSlack))
		s.parts[node] = append(s.parts[node], demand.Bound{Service: name, Tenant: tenant, Places: upTo - given})
		given = upTo
	}
}

// roundingSlack keeps sums of parts that make a whole number from being rounded up beyond it.
const roundingSlack = 1e-9

// Summary is what an operator is told of a service whose places are scarce.
type Summary struct {
	Service string
	// Nodes tell of what their requests take; Taken and Waiting are the places and the requests without one that they told of.
	Nodes, Taken, Waiting int
	// Places are those that are divided.
	Places int
	// Over are the tenants that want more than their share.
	Over []Over
}

// Over is a tenant that wants more than its share.
type Over struct {
	Tenant       ident.Tenant
	Wants, Share int
}

// Summaries returns what there is to tell of the services whose places are scarce.
func (a *Account) Summaries(now time.Time) []Summary {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var summaries []Summary
	for _, name := range slices.Sorted(maps.Keys(a.services)) {
		known := a.services[name]
		if now.After(known.scarceUntil) || len(known.over) == 0 {
			continue
		}
		summary := Summary{Service: name, Nodes: len(known.nodes), Places: int(known.places)}
		for _, node := range known.nodes {
			for _, use := range node.uses {
				summary.Taken += use.Taken
				summary.Waiting += use.Waiting
			}
		}
		for _, tenant := range slices.Sorted(maps.Keys(known.over)) {
			over := known.over[tenant]
			summary.Over = append(summary.Over, Over{Tenant: tenant, Wants: over.wants, Share: int(math.Ceil(over.share))})
		}
		slices.SortStableFunc(summary.Over, func(first, second Over) int { return cmp.Compare(second.Wants, first.Wants) })
		summaries = append(summaries, summary)
	}
	return summaries
}
