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
	// scarcityPeriod is how long the slots of a service count as scarce after a request was last reported as
	// waiting. It spans several reports of each node, so that bounds do not flap when a single report has no
	// waiting request.
	scarcityPeriod = time.Second
	// divisionInterval is the time between two divisions of a service's slots: a fraction of the time between two
	// reports of a node.
	divisionInterval = 50 * time.Millisecond
	// newNodeDivisionInterval is that time if a node reports for the first time. Many nodes start to report at the
	// same moment, and each takes as many slots as it can until it has a bound.
	newNodeDivisionInterval = 10 * time.Millisecond
	// releaseRatio and releaseDelay define when a bound ends: once the tenant has wanted no more than releaseRatio
	// of its share for releaseDelay.
	releaseRatio = 0.9
	releaseDelay = time.Second
	// peakWindow is how long the peak number of used slots counts: the next requests take a moment to use the
	// slots that became free.
	peakWindow = time.Second
	// rotationInterval is the time after which fractions of a slot are rounded in favour of other nodes.
	rotationInterval = 2 * time.Second
)

// Fleet is the state of the fleet that a division depends on, besides the nodes' reports.
type Fleet struct {
	// Slots is the number of slots of the service's ready runners.
	Slots int
	// Weight returns the weight of a tenant.
	Weight func(ident.Tenant) float64
	// Weights is the sum of the weights of all tenants of the configuration.
	Weights float64
}

// Account records the nodes' reported use of the slots of some services. It is safe for concurrent use. The zero
// Account is empty.
type Account struct {
	mutex    sync.Mutex
	services map[string]*service
}

// service is the account of one service.
type service struct {
	nodes map[ident.Node]*nodeReport
	// scarceUntil is the time until which the slots count as scarce.
	scarceUntil time.Time
	// noSlotsAt is when the reporting nodes last had no slot at all.
	noSlotsAt time.Time
	// peak is the highest number of slots in use within peakWindow, peakAt the time when it was reached.
	peak   int
	peakAt time.Time
	// dividedAt is when the slots were last divided.
	dividedAt time.Time
	over      map[ident.Tenant]*boundState
	slots     float64
	// parts holds the bounds for each node: those of the tenants over their share that have requests there.
	parts map[ident.Node][]demand.Bound
}

// nodeReport is the newest report of one node.
type nodeReport struct {
	incarnation, sequence int64
	at                    time.Time
	uses                  map[ident.Tenant]demand.Use
}

// boundState is the state of a tenant that wants more than its share, or did so recently.
type boundState struct {
	share float64
	wants int
	// overAt is when it last wanted more than releaseRatio of its share.
	overAt time.Time
}

// Record records the uses that a node reported. Reports older than the newest one are ignored.
func (a *Account) Record(report *demand.Report, now time.Time) {
	if len(report.Uses) == 0 {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.services == nil {
		a.services = map[string]*service{}
	}
	byService := map[string]*nodeReport{}
	for _, use := range report.Uses {
		entry := byService[use.Service]
		if entry == nil {
			entry = &nodeReport{incarnation: report.Incarnation, sequence: report.Sequence, at: now, uses: map[ident.Tenant]demand.Use{}}
			byService[use.Service] = entry
		}
		use.Taken, use.Waiting = max(use.Taken, 0), max(use.Waiting, 0)
		entry.uses[use.Tenant] = use
	}
	for name, next := range byService {
		a.service(name).record(report.Node, next, now)
	}
}

// service returns the account of a service, and creates it if necessary. The caller holds the mutex.
func (a *Account) service(name string) *service {
	entry := a.services[name]
	if entry == nil {
		entry = &service{nodes: map[ident.Node]*nodeReport{}, over: map[ident.Tenant]*boundState{}}
		a.services[name] = entry
	}
	return entry
}

func (s *service) record(node ident.Node, next *nodeReport, now time.Time) {
	before := s.nodes[node]
	if before != nil && !next.newer(before) {
		return
	}
	s.nodes[node] = next
	for _, use := range next.uses {
		if use.Waiting > 0 {
			s.scarceUntil = now.Add(scarcityPeriod)
		}
	}
}

func (r *nodeReport) newer(other *nodeReport) bool {
	return cmp.Or(cmp.Compare(r.incarnation, other.incarnation), cmp.Compare(r.sequence, other.sequence)) > 0
}

// Bounds returns the bounds to send to a node. For each service whose slots are scarce there is an entry without a
// tenant, and one for each tenant over its share for which the node reported requests.
func (a *Account) Bounds(report *demand.Report, fleet func(service string) Fleet, now time.Time) []demand.Bound {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var bounds []demand.Bound
	for name, entry := range a.services {
		if now.After(entry.scarceUntil) {
			entry.expire(now)
			if len(entry.nodes) == 0 {
				delete(a.services, name)
			}
			continue
		}
		if now.Sub(entry.dividedAt) >= entry.divideAfter(report.Node) {
			entry.divide(name, fleet(name), now)
		}
		bounds = append(bounds, demand.Bound{Service: name, Slots: entry.dividedSlots()})
		bounds = append(bounds, entry.parts[report.Node]...)
	}
	slices.SortFunc(bounds, func(first, second demand.Bound) int {
		return cmp.Or(cmp.Compare(first.Service, second.Service), cmp.Compare(first.Tenant, second.Tenant))
	})
	return bounds
}

// dividedSlots returns the value of the entry without a tenant: the number of slots that are divided, or zero
// while no tenant is bounded.
func (s *service) dividedSlots() int {
	if len(s.over) == 0 {
		return 0
	}
	return max(int(s.slots), 1)
}

// expire deletes the reports older than demand.Lifetime.
func (s *service) expire(now time.Time) {
	maps.DeleteFunc(s.nodes, func(_ ident.Node, entry *nodeReport) bool { return now.Sub(entry.at) > demand.Lifetime })
	if len(s.nodes) == 0 {
		clear(s.over)
		s.peak = 0
	}
}

// divideAfter returns the time that has to pass since the last division before a report of the given node causes
// another one.
func (s *service) divideAfter(reporting ident.Node) time.Duration {
	if own := s.nodes[reporting]; own != nil && s.parts[reporting] == nil && own.at.After(s.dividedAt) {
		return newNodeDivisionInterval
	}
	return divisionInterval
}

// divide finds the tenants that want more than their share, and divides each share among the nodes.
func (s *service) divide(name string, fleet Fleet, now time.Time) {
	s.dividedAt = now
	s.expire(now)
	claims, rest, taken := s.claims(fleet)
	s.slots = s.availableSlots(taken, fleet, now)
	s.parts = make(map[ident.Node][]demand.Bound, len(s.nodes))
	if len(claims) < 2 && rest == 0 {
		// A single tenant may use all slots.
		clear(s.over)
		return
	}
	// The tenants that nodes report together have few slots each, and get what they want.
	shares := Shares(s.slots-float64(rest), claims)
	maxPerWeight := slotsPerWeight(claims, shares, s.slots)
	for index, claim := range claims {
		// A tenant that has all it wants may use as many slots as the others. No tenant is bounded below the share
		// that it would have if all tenants of the configuration wanted more than theirs.
		share := max(shares[index], min(maxPerWeight*claim.Weight, s.slots), s.slots*claim.Weight/max(fleet.Weights, claim.Weight))
		s.bound(claim, share, now)
	}
	nodes := s.roundingOrder(now)
	for _, tenant := range slices.Sorted(maps.Keys(s.over)) {
		if entry := s.over[tenant]; now.Sub(entry.overAt) > releaseDelay {
			delete(s.over, tenant)
			continue
		}
		s.allocate(name, tenant, nodes)
	}
}

// slotsPerWeight returns the slots per unit of weight of the tenants that get less than they want, or a value that
// allows all slots if there are none.
func slotsPerWeight(claims []Claim, shares []float64, slots float64) float64 {
	for index, claim := range claims {
		if shares[index] < float64(claim.Wants)-roundingSlack {
			return shares[index] / claim.Weight
		}
	}
	return slots / Weight(maxRank)
}

// claims sums the nodes' reports: the claims by tenant, the slots that the unnamed tenants want, and the number of
// all slots in use.
func (s *service) claims(fleet Fleet) (claims []Claim, rest, taken int) {
	wants := map[ident.Tenant]int{}
	for _, entry := range s.nodes {
		for tenant, use := range entry.uses {
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

// availableSlots returns the number of slots to divide: the recent peak of the slots in use by the reporting
// nodes, at most the runners' slots. If the nodes had none within peakWindow, all slots of the runners count.
// Their requests then waited because no runner was known yet, and would otherwise be bounded to the few slots that
// the first of them got.
func (s *service) availableSlots(taken int, fleet Fleet, now time.Time) float64 {
	if taken >= s.peak || now.Sub(s.peakAt) > peakWindow {
		s.peak, s.peakAt = taken, now
	}
	if taken == 0 {
		s.noSlotsAt = now
	}
	if now.Sub(s.noSlotsAt) < peakWindow {
		return float64(fleet.Slots)
	}
	return float64(min(s.peak, fleet.Slots))
}

// bound sets the bound of a tenant that wants more than its share, and keeps an existing bound while the tenant
// wants nearly as much.
func (s *service) bound(claim Claim, share float64, now time.Time) {
	entry := s.over[claim.Tenant]
	wants := float64(claim.Wants)
	switch {
	case entry == nil && wants <= share:
		return
	case entry == nil:
		entry = &boundState{}
		s.over[claim.Tenant] = entry
		fallthrough
	case wants > releaseRatio*share:
		entry.overAt = now
	}
	entry.share, entry.wants = share, claim.Wants
}

// roundingOrder returns the nodes in the order in which fractions of a slot are rounded. It changes every
// rotationInterval.
func (s *service) roundingOrder(now time.Time) []ident.Node {
	turn := uint64(now.UnixNano() / int64(rotationInterval))
	rank := make(map[ident.Node]uint64, len(s.nodes))
	for node := range s.nodes {
		rank[node] = xxhash.Sum64String(string(node)) * (2*turn + 1)
	}
	return slices.SortedFunc(maps.Keys(s.nodes), func(first, second ident.Node) int {
		return cmp.Or(cmp.Compare(rank[first], rank[second]), cmp.Compare(first, second))
	})
}

// allocate divides a tenant's share among the nodes in proportion to the tenant's used slots and waiting requests
// there. The parts add up to the share, rounded up.
func (s *service) allocate(name string, tenant ident.Tenant, nodes []ident.Node) {
	wants := 0
	for _, node := range nodes {
		use := s.nodes[node].uses[tenant]
		wants += use.Taken + use.Waiting
	}
	each := s.over[tenant].share / float64(max(wants, 1))
	allocated, before := 0, 0
	for _, node := range nodes {
		use := s.nodes[node].uses[tenant]
		has := use.Taken + use.Waiting
		if has == 0 {
			continue
		}
		before += has
		upTo := int(math.Ceil(each*float64(before) - roundingSlack))
		s.parts[node] = append(s.parts[node], demand.Bound{Service: name, Tenant: tenant, Slots: upTo - allocated})
		allocated = upTo
	}
}

// roundingSlack prevents floating-point errors from rounding a sum of parts up beyond a whole number.
const roundingSlack = 1e-9

// Summary describes a service whose slots are scarce, for the operator.
type Summary struct {
	Service string
	// Nodes is the number of reporting nodes; Taken and Waiting are the slots in use and the waiting requests that
	// they reported.
	Nodes, Taken, Waiting int
	// Slots is the number of slots that are divided.
	Slots int
	// Over lists the tenants that want more than their share.
	Over []TenantOverShare
}

// TenantOverShare is a tenant that wants more than its share.
type TenantOverShare struct {
	Tenant       ident.Tenant
	Wants, Share int
}

// Summaries returns a summary of each service that has scarce slots and a tenant over its share.
func (a *Account) Summaries(now time.Time) []Summary {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var summaries []Summary
	for _, name := range slices.Sorted(maps.Keys(a.services)) {
		entry := a.services[name]
		if now.After(entry.scarceUntil) || len(entry.over) == 0 {
			continue
		}
		summary := Summary{Service: name, Nodes: len(entry.nodes), Slots: int(entry.slots)}
		for _, node := range entry.nodes {
			for _, use := range node.uses {
				summary.Taken += use.Taken
				summary.Waiting += use.Waiting
			}
		}
		for _, tenant := range slices.Sorted(maps.Keys(entry.over)) {
			over := entry.over[tenant]
			summary.Over = append(summary.Over, TenantOverShare{Tenant: tenant, Wants: over.wants, Share: int(math.Ceil(over.share))})
		}
		slices.SortStableFunc(summary.Over, func(first, second TenantOverShare) int { return cmp.Compare(second.Wants, first.Wants) })
		summaries = append(summaries, summary)
	}
	return summaries
}
