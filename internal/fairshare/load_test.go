package fairshare_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/fairshare"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/waitline"
)

// The load: some tenants of unequal size ask for the places of one service at several nodes. Their usual demand takes usualLoad of the
// slots; one tenant, the largest, sends many times its usual for some seconds.
const (
	tick      = 2 * time.Millisecond
	run       = 100 * time.Millisecond
	objective = 300 * time.Millisecond
	patience  = 1500 * time.Millisecond
	usualLoad = 0.6
	tenants   = 40
	hotShare  = 0.2
	hotFrom   = time.Second
	hotUntil  = 4 * time.Second
	lasts     = 5 * time.Second
	// newsEvery is how often a node hears what the others have at the runners, lookEvery how often it looks while requests wait.
	newsEvery = 50 * time.Millisecond
	lookEvery = 20 * time.Millisecond
	queued    = 0.25
)

var begin = time.Unix(1_700_000_000, 0)

// site is the fleet: what its runners work on, its nodes and the keepers of the account.
type site struct {
	random  *rand.Rand
	now     time.Time
	slots   int
	running []*call
	queue   []*call
	nodes   []*node
	keepers []*fairshare.Account
	// keeper is the one that nodes tell, tells says whether a node does.
	keeper func(*node, time.Time) *fairshare.Account
	tally  map[ident.Tenant]*tally
	// waited is slots times ticks while requests waited, empty the part of it in which slots had no work.
	waited, empty int
	// alsoHot is a further tenant that is hot, zero for none; without are nodes whose requests are not counted.
	alsoHot int
	without []*node
}

type tally struct{ asked, inTime int }

type call struct {
	node   *node
	waiter *waitline.Waiter
	// began is when it was sent, and then when a runner began it.
	began time.Time
}

type node struct {
	site     *site
	name     ident.Node
	line     waitline.Line
	local    fairshare.Local
	waiting  map[ident.Tenant]int
	own      int
	others   int
	sequence int64
	usesAt   time.Time
	phase    time.Duration
}

func newSite(nodes int, seed uint64) *site {
	fleet := &site{
		random: rand.New(rand.NewPCG(seed, 1)), now: begin, slots: 160 + 2*nodes, tally: map[ident.Tenant]*tally{},
		keepers: []*fairshare.Account{{}, {}},
	}
	fleet.keeper = func(*node, time.Time) *fairshare.Account { return fleet.keepers[0] }
	for index := range nodes {
		added := &node{
			site: fleet, name: ident.Node(fmt.Sprint("n-", index)), waiting: map[ident.Tenant]int{},
			phase: time.Duration(fleet.random.Int64N(int64(newsEvery/tick))) * tick,
		}
		added.line.Yields = func(waiter *waitline.Waiter) bool { return added.local.Yields(waiter.Tenant, false, fleet.now) }
		fleet.nodes = append(fleet.nodes, added)
	}
	return fleet
}

func (s *site) fleet(string) fairshare.Fleet {
	return fairshare.Fleet{Slots: s.slots, Weight: func(ident.Tenant) float64 { return 1 }, Weights: tenants}
}

// try gives a request a place if its node thinks that there is one.
func (n *node) try(waiter *waitline.Waiter) bool {
	limit := float64(n.site.slots)
	if !n.local.Yields(waiter.Tenant, false, n.site.now) {
		limit *= 1 + queued
	}
	if float64(n.own+n.others+1) > limit {
		return false
	}
	n.own++
	n.line.Taken()
	n.local.Took(waiter.Tenant)
	n.site.queue = append(n.site.queue, &call{node: n, waiter: waiter, began: n.site.now})
	return true
}

func (n *node) arrive(tenant ident.Tenant) {
	now := n.site.now
	waiter := &waitline.Waiter{Tenant: tenant, OnTime: now.Add(objective), Latest: now.Add(patience)}
	n.site.count(n, tenant).asked++
	if !n.line.MustWait(waiter) && n.try(waiter) {
		return
	}
	n.local.Waited(now)
	if !n.line.Join(waiter, now) {
		return
	}
	n.waiting[tenant]++
}

// look has the next request look for a place, and those after it while there are more.
func (n *node) look(extra int) {
	if extra == 0 && n.line.NextYields() {
		return
	}
	for waiter := n.line.Next(); waiter != nil; waiter = n.line.Next() {
		n.local.Waited(n.site.now)
		if !n.try(waiter) {
			n.line.Again(waiter)
			return
		}
		n.line.Served(waiter, n.site.now)
		n.waiting[waiter.Tenant]--
		if n.local.Yields(waiter.Tenant, false, n.site.now) {
			if extra--; extra <= 0 {
				return
			}
		}
	}
}

// count returns the tally of a tenant's requests at a node.
func (s *site) count(at *node, tenant ident.Tenant) *tally {
	if at.isOneOf(s.without) {
		return &tally{}
	}
	return s.of(tenant)
}

func (s *site) of(tenant ident.Tenant) *tally {
	if s.tally[tenant] == nil {
		s.tally[tenant] = &tally{}
	}
	return s.tally[tenant]
}

// step lets a tick pass: runs end, others begin, nodes hear of each other and tell the keeper.
func (s *site) step() {
	s.now = s.now.Add(tick)
	var freed []*node
	still := s.running[:0]
	for _, one := range s.running {
		if s.now.Sub(one.began) < run {
			still = append(still, one)
			continue
		}
		one.node.own--
		one.node.line.Freed(run, s.now)
		one.node.local.Gave(one.waiter.Tenant)
		freed = append(freed, one.node)
	}
	s.running = still
	s.begin()
	for _, one := range freed {
		one.look(1)
	}
	since := s.now.Sub(begin)
	total := len(s.running) + len(s.queue)
	for _, one := range s.nodes {
		if (since+one.phase)%newsEvery == 0 {
			one.others = total - one.own
			one.tell()
		}
		if (since+one.phase)%lookEvery == 0 {
			one.look(one.line.Extra())
		}
	}
	s.begin()
	waiting := 0
	for _, one := range s.nodes {
		waiting += one.line.Len()
	}
	if waiting > 0 {
		s.waited += s.slots
		s.empty += min(s.slots-len(s.running), waiting)
	}
}

// begin has runners begin what waits there.
func (s *site) begin() {
	for len(s.queue) > 0 && len(s.running) < s.slots {
		next := s.queue[0]
		s.queue = s.queue[1:]
		next.began = s.now
		s.running = append(s.running, next)
		if !s.now.After(next.waiter.OnTime) {
			s.count(next.node, next.waiter.Tenant).inTime++
		}
	}
}

// tell tells the keeper what is due.
func (n *node) tell() {
	keeper := n.site.keeper(n, n.site.now)
	if keeper == nil {
		return
	}
	n.sequence++
	report := &demand.Report{Node: n.name, Incarnation: 1, Sequence: n.sequence}
	if n.site.now.Sub(n.usesAt) >= demand.UsesEvery {
		report.Uses = n.local.Uses("s", n.waiting, n.queuedLong(), n.site.now)
		if len(report.Uses) > 0 {
			n.usesAt = n.site.now
		}
	}
	keeper.Take(report, n.site.now)
	n.local.Learn(keeper.Bounds(report, n.site.fleet, n.site.now), n.site.now)
}

// queuedLong counts the requests of the node that have waited at runners for longer than a first event takes.
func (n *node) queuedLong() map[ident.Tenant]int {
	queued := map[ident.Tenant]int{}
	for _, one := range n.site.queue {
		if one.node == n && n.site.now.Sub(one.began) > objective/4 {
			queued[one.waiter.Tenant]++
			n.local.Waited(n.site.now)
		}
	}
	return queued
}

func tenantName(index int) ident.Tenant { return ident.Tenant(fmt.Sprint("t-", index)) }

// play lets the day pass: the largest tenant sends times its usual for a while, at one node or at all.
func (s *site) play(times float64, atOne bool) {
	perTick := usualLoad * float64(s.slots) / float64(run/tick)
	owed := make([]float64, tenants)
	for since := time.Duration(0); since < lasts; since += tick {
		for index := range tenants {
			part := (1 - hotShare) / (tenants - 1)
			hot := (index == 0 || index == s.alsoHot) && since >= hotFrom && since < hotUntil
			if index == 0 {
				part = hotShare
			}
			if hot {
				part *= times
			}
			owed[index] += part * perTick * (0.5 + s.random.Float64())
			for ; owed[index] >= 1; owed[index]-- {
				at := s.nodes[s.random.IntN(len(s.nodes))]
				if hot && atOne {
					at = s.nodes[0]
				}
				at.arrive(tenantName(index))
			}
		}
		s.step()
	}
}

// others is the part of the requests of all tenants but the hot one that were in time.
func (s *site) others() float64 {
	asked, inTime := 0, 0
	for tenant, counted := range s.tally {
		if tenant != tenantName(0) && tenant != tenantName(s.alsoHot) {
			asked += counted.asked
			inTime += counted.inTime
		}
	}
	return float64(inTime) / float64(asked)
}

func (s *site) emptyPart() float64 { return float64(s.empty) / float64(max(s.waited, 1)) }

func (s *site) String() string {
	hot := s.of(tenantName(0))
	return fmt.Sprintf("others in time %.4f, empty %.4f, hot in time %d of %d", s.others(), s.emptyPart(), hot.inTime, hot.asked)
}

// enoughInTime is the part of what the other tenants have in time without a hot one that they keep beside it: three requests in two hundred
// are lost to what nodes could not know yet when it began. mostEmpty is how much of the slots' time may pass without work while requests
// wait: nodes hear of each other each 50 ms, which is half a run, so that a slot which comes free at a node where nobody waits stands idle
// for a moment; a fiftieth of the slots is noticed by nobody.
const (
	enoughInTime = 0.985
	mostEmpty    = 0.02
)

// usual is the others' part in time without a hot tenant.
func usual(nodes int, seed uint64) float64 {
	site := newSite(nodes, seed)
	site.play(1, false)
	return site.others()
}

// TestOneHotTenantLeavesTheOthersInTime has one tenant send up to twenty times its usual, at one node or at all.
func TestOneHotTenantLeavesTheOthersInTime(t *testing.T) {
	for _, nodes := range []int{1, 9, 58, 330} {
		without := usual(nodes, 1)
		for _, times := range []float64{1, 3, 7.5, 20} {
			for _, atOne := range []bool{true, false} {
				if nodes == 1 && !atOne {
					continue
				}
				site := newSite(nodes, 1)
				site.play(times, atOne)
				assert.Check(t, site.others() >= enoughInTime*without, "%d nodes, %v times, at one %v: %v", nodes, times, atOne, site)
				assert.Check(t, site.emptyPart() <= mostEmpty, "%d nodes, %v times, at one %v: %v", nodes, times, atOne, site)
			}
		}
	}
}

// TestTwoHotTenantsLeaveTheOthersInTime has another tenant be hot beside the largest.
func TestTwoHotTenantsLeaveTheOthersInTime(t *testing.T) {
	site := newSite(58, 3)
	site.alsoHot = 1
	site.play(7.5, false)
	assert.Check(t, site.others() >= enoughInTime*usual(58, 3), "%v", site)
	assert.Check(t, site.emptyPart() <= mostEmpty, "%v", site)
}

// TestNodeCutOffFromTheKeeper has two of nine nodes hear nothing from the middle of the heat on. Their bounds end, they go on with their own
// line's turns, and the others' requests at the nodes that hear are in time as before.
func TestNodeCutOffFromTheKeeper(t *testing.T) {
	site := newSite(9, 1)
	from := begin.Add(3 * time.Second)
	site.keeper = func(asking *node, now time.Time) *fairshare.Account {
		if now.After(from) && asking.isOneOf(site.nodes[:2]) {
			return nil
		}
		return site.keepers[0]
	}
	site.without = site.nodes[:2]
	site.play(7.5, false)
	assert.Check(t, site.others() >= enoughInTime*usual(9, 1), "%v", site)
	for _, cut := range site.nodes[:2] {
		assert.Assert(t, !cut.local.Bounded(tenantName(0), from.Add(demand.Lifetime+newsEvery+tick)))
	}
}

// TestKeeperIsLost has the keeper be lost in the heat: nobody answers for as long as it takes to notice, then another one does that knows
// nothing.
func TestKeeperIsLost(t *testing.T) {
	const noticed = 300 * time.Millisecond
	site := newSite(58, 1)
	site.keeper = func(_ *node, now time.Time) *fairshare.Account {
		switch lost := begin.Add(3 * time.Second); {
		case now.Before(lost):
			return site.keepers[0]
		case now.Before(lost.Add(noticed)):
			return nil
		}
		return site.keepers[1]
	}
	site.play(7.5, false)
	assert.Check(t, site.others() >= enoughInTime*usual(58, 1), "%v", site)
	assert.Check(t, site.emptyPart() <= mostEmpty, "%v", site)
}

// TestNodesOfAnOlderBuildTellNothing has a third of the nodes tell nothing and hear nothing. The others are no worse off than were all of the
// older build, nor are the other tenants there.
func TestNodesOfAnOlderBuildTellNothing(t *testing.T) {
	mixed, older := newSite(9, 1), newSite(9, 1)
	mixed.keeper = func(asking *node, _ time.Time) *fairshare.Account {
		if asking.isOneOf(mixed.nodes[:3]) {
			return nil
		}
		return mixed.keepers[0]
	}
	older.keeper = func(*node, time.Time) *fairshare.Account { return nil }
	mixed.play(7.5, false)
	older.play(7.5, false)
	assert.Check(t, mixed.others() >= older.others(), "%v, all of the older build: %v", mixed, older)
	assert.Check(t, older.others() < enoughInTime, "the heat harms nobody: %v", older)
}

func (n *node) isOneOf(nodes []*node) bool { return slices.Contains(nodes, n) }
