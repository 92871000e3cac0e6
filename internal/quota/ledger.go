package quota

import (
	"maps"
	"math"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

const (
	// recentSlots is the number of past slots from which the rate of a node's requests is taken. advanceSlots is the number of
	// slots for which the node receives credit in advance: enough to last until its next report, with a margin.
	recentSlots, advanceSlots = 4, 2
	// maxAdvanceFraction of what is left is the most that one node receives in advance, so that some remains for other nodes.
	maxAdvanceFraction = 0.5
	// tightFraction of a limit's allowance for a window is the use above which nodes must report to the owner soon.
	tightFraction = 0.25
	// nearLimitFraction of a limit's allowance for a window is the use above which an owner that takes over assumes that the burst
	// is used up.
	nearLimitFraction = 0.5
	// minShareBaseFraction of a limit's allowance for a window is the least number of requests by which nodes' shares are divided.
	minShareBaseFraction = 0.25
	// shareSteps is the number of distinct values of a share, so that an encoded share has few digits.
	shareSteps = 10_000
	// epochModulus is the number of milliseconds after which epochs repeat.
	epochModulus = 10_000_000
)

// Ledger holds the request counts of the tenants that a worker owns. It is safe for concurrent use.
type Ledger struct {
	clock   slotClock
	window  time.Duration
	started time.Time

	mutex     sync.Mutex
	lastSweep time.Time
	tenants   map[ident.Tenant]*entry
	nodes     map[ident.Node]*reporter
}

// reporter is a node that has reported.
type reporter struct {
	// recentlyStarted is set if the node's process started later than one window before the ledger did.
	recentlyStarted bool
	lastReport      time.Time
	// epoch was sent to the process of that incarnation to identify this ledger's state. settledAt is when the process last
	// reported that the ledger has counted everything it admitted.
	incarnation int64
	epoch       uint32
	settledAt   time.Time
}

// entry is the account of one tenant.
type entry struct {
	// allSpent counts the requests admitted by all nodes, including processes that have ended.
	allSpent tally
	nodes    map[ident.Node]*nodeUsage
	// firstReport is when the first node reported the tenant. nearLimit is set if much of the limit was used before that, under
	// another owner.
	firstReport time.Time
	nearLimit   bool
	// inherited is set if nodes hold shares from another owner; inheritedShares is the sum of the shares that nodes had from it.
	inherited       bool
	inheritedShares float64
	// reportedLimit is the limit that a node reported last; its rate is zero if none did.
	reportedLimit Limit
}

// nodeUsage is the owner's record of a tenant's requests at one node.
type nodeUsage struct {
	incarnation int64
	spent       tally
	// lastReport is when the node last reported the tenant. emptyAt is when all requests it reported will have left the window.
	lastReport, emptyAt time.Time
	// credit is the last grant beyond the waiting requests, which count as admitted. share is the fraction of the limit that the
	// node may use while it reaches no owner.
	credit int
	share  float64
	// inheritedShare is the share that another owner granted.
	inheritedShare float64
	// tight is set if the node was asked to report soon.
	tight bool
}

// NewLedger returns an empty ledger. window is the period over which limits count.
func NewLedger(window time.Duration, now time.Time) *Ledger {
	return &Ledger{
		clock: newSlotClock(now.Add(-window), window), window: window, started: now,
		tenants: map[ident.Tenant]*entry{}, nodes: map[ident.Node]*reporter{},
	}
}

// ApplyReport records what a node admitted and returns its credit for each tenant. limit returns a tenant's limit by this worker's
// configuration, and false for a tenant that the configuration lacks.
func (l *Ledger) ApplyReport(spending *NodeReport, limit func(ident.Tenant) (Limit, bool), now time.Time) *Answer {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	began := now.Add(-time.Duration(spending.AgeMs) * time.Millisecond)
	known := l.reporter(spending, now)
	known.recentlyStarted, known.lastReport = began.After(l.started.Add(-l.window)), now
	if spending.Kept == known.epoch {
		known.settledAt = now
	}
	l.sweep(now)
	answer := &Answer{Nodes: len(l.nodes), Epoch: known.epoch}
	for _, spent := range spending.Spent {
		entry := l.entry(spent.Tenant, now)
		bound, known := limit(spent.Tenant)
		if !known {
			// The configuration of the node or of this worker is outdated, or this worker has none yet: the limit that a node
			// reported applies. If no limit was reported, the tenant counts as unbounded here and the node, of an older build,
			// applies its own.
			bound = entry.lastReportedLimit(spent)
		}
		entry.estimate(spent, l, bound, now)
		usage := entry.applyReport(spending, spent, l, now)
		usage.inheritedShare = max(usage.inheritedShare, usableShare(spent.Share, bound, l.window))
		entry.inheritedShares = max(entry.inheritedShares, min(usableShare(spent.Share, bound, l.window)+spent.Others, 1))
		answer.Credits = append(answer.Credits, l.credit(entry, usage, spent, bound, now))
	}
	return answer
}

// reporter returns the record of the reporting node. The caller holds the mutex.
func (l *Ledger) reporter(spending *NodeReport, now time.Time) *reporter {
	known := l.nodes[spending.Node]
	if known == nil || spending.Incarnation > known.incarnation {
		// The current time distinguishes this ledger from an earlier one of the same owner and from that of another owner.
		known = &reporter{incarnation: spending.Incarnation, epoch: 1 + uint32(now.UnixMilli()%epochModulus)}
		l.nodes[spending.Node] = known
	}
	return known
}

// lastSettled returns when the process that reported the usage last confirmed that this ledger has counted everything it admitted.
// The caller holds the mutex.
func (l *Ledger) lastSettled(node ident.Node, usage *nodeUsage) time.Time {
	known := l.nodes[node]
	if known == nil || known.incarnation != usage.incarnation {
		return time.Time{}
	}
	return known.settledAt
}

// hasEnded reports whether the process that reported the usage has been replaced by a later one of the same node, which reports
// other tenants. The old process is not partitioned; it admits nothing any more. The caller holds the mutex.
func (l *Ledger) hasEnded(node ident.Node, usage *nodeUsage) bool {
	known := l.nodes[node]
	return known != nil && known.incarnation > usage.incarnation
}

// partitionTimeout returns the time without reports after which a node counts as partitioned.
func partitionTimeout(tight bool) time.Duration {
	if tight {
		return tightPartitionedAfter
	}
	return loosePartitionedAfter
}

// sweepInterval is the time between two removals of nodes and tenants without recent reports.
const sweepInterval = 10 * time.Second

// sweep removes the nodes and tenants that no node reports any more. The caller holds the mutex.
func (l *Ledger) sweep(now time.Time) {
	if now.Sub(l.lastSweep) < sweepInterval {
		return
	}
	l.lastSweep = now
	maps.DeleteFunc(l.nodes, func(_ ident.Node, known *reporter) bool { return now.Sub(known.lastReport) > isolationPeriod })
	maps.DeleteFunc(l.tenants, func(_ ident.Tenant, known *entry) bool {
		l.others(known, nil, Limit{}, now)
		return len(known.nodes) == 0 && known.allSpent.total(l.clock.index(now)) == 0
	})
}

// entry returns the account of a tenant, creating it if necessary. The caller holds the mutex.
func (l *Ledger) entry(tenant ident.Tenant, now time.Time) *entry {
	known := l.tenants[tenant]
	if known == nil {
		known = &entry{nodes: map[ident.Node]*nodeUsage{}, firstReport: now}
		l.tenants[tenant] = known
	}
	return known
}

// estimate infers from one node's report and its share of the tenant's requests whether much of the limit was used before this
// worker became the owner.
func (e *entry) estimate(spent TenantReport, l *Ledger, limit Limit, now time.Time) {
	if now.Sub(e.firstReport) >= tightReportedAfter || spent.Share <= 0 {
		return
	}
	e.inherited = true
	// The node may have admitted many more requests at once after it received its share, so only the requests that the share was
	// computed from count.
	own := spent.count()
	if spent.Of > 0 {
		own = min(own, spent.Of)
	}
	e.nearLimit = e.nearLimit || float64(own)/spent.Share > nearLimitFraction*limit.allowance(l.window)
}

// applyReport replaces the counts of a node by those it reports. The requests that an earlier process of the node admitted remain in
// allSpent.
func (e *entry) applyReport(spending *NodeReport, spent TenantReport, l *Ledger, now time.Time) *nodeUsage {
	index := l.clock.index(now)
	usage := e.nodes[spending.Node]
	if usage == nil || spending.Incarnation > usage.incarnation {
		var inheritedShare float64
		if usage != nil {
			inheritedShare = usage.inheritedShare
		}
		usage = &nodeUsage{incarnation: spending.Incarnation, inheritedShare: inheritedShare}
		e.nodes[spending.Node] = usage
	}
	for age, count := range usage.spent.byAge(index) {
		e.allSpent.add(index, age, -count)
	}
	usage.spent = tally{}
	usage.lastReport, usage.emptyAt = now, now
	for age, count := range spent.Recent {
		if count <= 0 || age > slotsPerWindow {
			continue
		}
		usage.spent.add(index, age, count)
		e.allSpent.add(index, age, count)
		usage.emptyAt = latest(usage.emptyAt, now.Add(l.window-time.Duration(age)*l.clock.slotLength))
	}
	return usage
}

func latest(first, second time.Time) time.Time {
	if first.After(second) {
		return first
	}
	return second
}

// lastReportedLimit records the limit in a report, if there is one, and returns the one recorded last. It is used if this worker's
// configuration lacks the tenant.
func (e *entry) lastReportedLimit(spent TenantReport) Limit {
	if reportedLimit := (Limit{Rate: spent.Rate, Burst: spent.Burst}); reportedLimit.Bounded() {
		e.reportedLimit = reportedLimit
	}
	return e.reportedLimit
}

// credit computes the answer to a node for one tenant. The caller holds the mutex.
func (l *Ledger) credit(entry *entry, usage *nodeUsage, spent TenantReport, limit Limit, now time.Time) Credit {
	index := l.clock.index(now)
	answer := Credit{Tenant: spent.Tenant}
	usage.credit, usage.share = 0, 0
	advance := advanceSlots * usage.spent.sum(index, recentSlots) / recentSlots
	usage.tight = false
	if !limit.Bounded() {
		answer.Amount = spent.Want + advance
		entry.expect(usage, spent.Want, l, now)
		return answer
	}
	others := l.others(entry, usage, limit, now)
	partitioned := others.partitioned + entry.reserved(others, l.window, now)
	credits := others.credits
	usage.tight = float64(entry.allSpent.total(index)+credits+spent.Want) > tightFraction*limit.allowance(l.window)
	answer.Tight = usage.tight
	left := min(
		entry.allSpent.left(limit.scaled(max(1-partitioned, 0)), l.clock, now),
		l.refilled(entry, limit, now), l.unreported(entry, limit, now),
	)
	left -= float64(credits) + l.possiblyAdmitted(entry, limit, now)
	answer.Amount = creditAmount(left, spent.Want, advance)
	expected := min(answer.Amount, spent.Want)
	usage.credit = answer.Amount - expected
	entry.expect(usage, expected, l, now)
	if answer.Amount == 0 {
		answer.AfterMs = int64(math.Ceil(max(1-left, 0) / limit.Rate * float64(time.Second/time.Millisecond)))
	}
	if now.Sub(entry.firstReport) >= tightReportedAfter {
		// Before this, nodes report at times that differ too much for their shares to add up.
		missingShare := entry.missingShare(others, now)
		of := max(float64(entry.allSpent.total(index)), minShareBaseFraction*limit.allowance(l.window), 1)
		usage.share = roundUpShare(float64(usage.spent.total(index)) / of * (1 - missingShare))
		answer.Share, answer.Others = usage.share, roundUpShare(others.shares+missingShare)
	}
	return answer
}

// usableShare returns the share if it lets the node admit at least one request while it reaches no owner, else zero.
func usableShare(share float64, limit Limit, window time.Duration) float64 {
	if isolatedShareFraction*share*limit.allowance(window) < 1 {
		return 0
	}
	return share
}

// roundUpShare rounds a share up to the next of shareSteps values.
func roundUpShare(share float64) float64 { return math.Ceil(share*shareSteps) / shareSteps }

// missingShare returns the sum of the shares, granted by another owner, of nodes that have not reported to this one: they may be
// partitioned.
func (e *entry) missingShare(others otherUsage, now time.Time) float64 {
	if now.Sub(e.firstReport) > isolationPeriod {
		return 0
	}
	return max(e.inheritedShares-others.inheritedShare, 0)
}

// reserved returns the fraction of the limit that is reserved for nodes that have never reported. In the first window they may
// have admitted all of their share.
func (e *entry) reserved(others otherUsage, window time.Duration, now time.Time) float64 {
	switch age := now.Sub(e.firstReport); {
	case age < tightReportedAfter:
		// The other nodes have not had time to report.
		return 0
	case age < window:
		return e.missingShare(others, now)
	}
	return isolatedShareFraction * e.missingShare(others, now)
}

// expect counts waiting requests that received credit as admitted, so that the node need not report them.
func (e *entry) expect(usage *nodeUsage, count int, l *Ledger, now time.Time) {
	if count == 0 {
		return
	}
	index := l.clock.index(now)
	usage.spent.add(index, 0, count)
	e.allSpent.add(index, 0, count)
	usage.emptyAt = now.Add(l.window)
}

// creditAmount returns the credit of a node for its waiting requests and for some in advance.
func creditAmount(left float64, want, advance int) int {
	waiting := min(want, int(max(left, 0)))
	return waiting + min(advance, int(max(left-float64(waiting), 0)*maxAdvanceFraction))
}

// possiblyAdmitted returns how many requests nodes may have admitted without this worker's knowledge, if another worker owned the tenant
// and the tenant came near its limit: the whole burst, less what the rate has freed since.
func (l *Ledger) possiblyAdmitted(entry *entry, limit Limit, now time.Time) float64 {
	if age := now.Sub(entry.firstReport); entry.nearLimit && age < tightReportedAfter {
		return max(l.clock.allows(limit, 0)-limit.Rate*age.Seconds(), 0)
	}
	return 0
}

// unreported returns what is left of the window for a tenant that another worker owned, as long as nodes may have as many
// unreported requests as fit below the tight fraction.
func (l *Ledger) unreported(entry *entry, limit Limit, now time.Time) float64 {
	if !entry.inherited || now.Sub(entry.firstReport) >= looseReportedAfter {
		return math.Inf(1)
	}
	whole := limit.allowance(l.window)
	return whole - max(float64(entry.allSpent.total(l.clock.index(now))), tightFraction*whole)
}

// refilled returns what is left if the worker and nodes started together, so that earlier requests are not recorded anywhere: the
// bucket starts empty, not full, and fills at the rate. Nodes that started earlier have their counts, so the bucket starts full in
// proportion to their number.
func (l *Ledger) refilled(entry *entry, limit Limit, now time.Time) float64 {
	age := now.Sub(l.started)
	if age >= l.window || len(l.nodes) == 0 {
		return math.Inf(1)
	}
	recentlyStarted := 0
	for _, known := range l.nodes {
		if known.recentlyStarted {
			recentlyStarted++
		}
	}
	known := 1 - float64(recentlyStarted)/float64(len(l.nodes))
	since := entry.allSpent.sum(l.clock.index(now), int(age/l.clock.slotLength)+1)
	return l.clock.allows(limit, 0)*known + limit.Rate*age.Seconds() - float64(since)
}

// otherUsage sums up a tenant's usage at all nodes but the asking one.
type otherUsage struct {
	// credits is the outstanding credit.
	credits int
	// shares is the sum of the fractions of the limit that the nodes may use without an owner. partitioned is that of the partitioned
	// nodes, which do so now. A node that stopped reporting after all its reported requests had left the window counts in neither.
	shares, partitioned float64
	// inheritedShare is the sum of the shares that all nodes, including the asking one, had from another owner.
	inheritedShare float64
}

// others sums up a tenant's usage at all nodes but the asking one, and removes nodes without a report or confirmation for
// isolationPeriod. The caller holds the mutex.
func (l *Ledger) others(e *entry, asking *nodeUsage, bound Limit, now time.Time) otherUsage {
	var sum otherUsage
	for node, usage := range e.nodes {
		settledAt := l.lastSettled(node, usage)
		lastReport := latest(usage.lastReport, settledAt)
		silent := now.Sub(lastReport)
		if silent > isolationPeriod {
			delete(e.nodes, node)
			continue
		}
		sum.inheritedShare += usage.inheritedShare
		if usage == asking {
			continue
		}
		limit := partitionTimeout(usage.tight)
		partitioned := silent > limit && usage.emptyAt.Sub(lastReport) > limit && !l.hasEnded(node, usage)
		if partitioned {
			sum.partitioned += usage.share
		}
		if partitioned || silent <= limit {
			sum.shares += usableShare(usage.share, bound, l.window)
		}
		// Outstanding credit counts until the node reports how much of it was used, or until all its uses have left the window. If
		// a node confirms, after its credit can no longer be in use, that everything it admitted is counted, it has used none of
		// that credit.
		if unused := settledAt.Sub(usage.lastReport) > creditUsableFor; !unused &&
			(partitioned || now.Sub(usage.lastReport) <= creditLifetime+l.window) {
			sum.credits += usage.credit
		}
	}
	return sum
}
