package quota

import (
	"maps"
	"math"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

const (
	// paceSlots is how many slots back the pace of a node's requests is taken from, aheadSlots for how many it gets credit ahead: until
	// its next report, and some more.
	paceSlots, aheadSlots = 4, 2
	// aheadPart of what is left is the most that one node gets ahead, so that others find some.
	aheadPart = 0.5
	// tightShare of what a limit allows in a window must be used for its owner to be told soon.
	tightShare = 0.25
	// hotShare of what a limit allows in a window must have been used for an owner that takes over to count on an empty bucket.
	hotShare = 0.5
	// sharedPart of what a limit allows in a window is the least that nodes' shares are of.
	sharedPart = 0.25
	// shareSteps is how many different shares there are: few digits are told of one.
	shareSteps = 10_000
	// epochs is how many milliseconds lie between two moments with the same epoch.
	epochs = 10_000_000
)

// Ledger is the account of the tenants that a worker owns. It is safe for concurrent use.
type Ledger struct {
	on      ruler
	window  time.Duration
	started time.Time

	mutex   sync.Mutex
	forgot  time.Time
	tenants map[ident.Tenant]*book
	nodes   map[ident.Node]*teller
}

// teller is a node that reported.
type teller struct {
	// young says that its process began no earlier than a window before the ledger.
	young bool
	heard time.Time
	// epoch is what the process of that incarnation was told of the memory of it, kept when it last said that what it let through is known.
	incarnation int64
	epoch       uint32
	kept        time.Time
}

// book is the account of one tenant.
type book struct {
	// total is what all nodes let through, also processes that have ended.
	total tally
	nodes map[ident.Node]*holding
	// began is when the first node told of the tenant; hot says that much was let through before, of which another owner knew.
	began time.Time
	hot   bool
	// moved says that another owner knew of some of it, given is the part of the limit that nodes had from that one in all.
	moved bool
	given float64
	// told is the limit that a node told last; without a rate none did.
	told Limit
}

// holding is what the owner knows of a tenant's requests at one node.
type holding struct {
	incarnation int64
	spent       tally
	// heard is when the node last told of the tenant, idleAt when all it told of is out of the window.
	heard, idleAt time.Time
	// credit is what it was given last beyond the requests that waited, which count as let through, share the part of the limit that it
	// may use alone.
	credit int
	share  float64
	// carried is the share that another owner gave it.
	carried float64
	// tight says that it was told to report soon.
	tight bool
}

// NewLedger returns an account that knows nothing. window is the time in which a limit counts.
func NewLedger(window time.Duration, now time.Time) *Ledger {
	return &Ledger{
		on: newRuler(now.Add(-window), window), window: window, started: now,
		tenants: map[ident.Tenant]*book{}, nodes: map[ident.Node]*teller{},
	}
}

// Settle takes what a node let through and answers with its credit for each tenant. limit returns a tenant's bound as this worker knows
// it, and false for a tenant that it does not know.
func (l *Ledger) Settle(spending *Spending, limit func(ident.Tenant) (Limit, bool), now time.Time) *Answer {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	began := now.Add(-time.Duration(spending.AgeMs) * time.Millisecond)
	known := l.teller(spending, now)
	known.young, known.heard = began.After(l.started.Add(-l.window)), now
	if spending.Kept == known.epoch {
		known.kept = now
	}
	l.forget(now)
	answer := &Answer{Nodes: len(l.nodes), Epoch: known.epoch}
	for _, spent := range spending.Spent {
		book := l.book(spent.Tenant, now)
		bound, known := limit(spent.Tenant)
		if !known {
			// The configuration of one of the two is old, or this worker has none yet: the limit that a node told holds. Without one the
			// node, of an older build, goes by its own until it is told otherwise.
			bound = book.limitTold(spent)
		}
		book.estimate(spent, l, bound, now)
		held := book.take(spending, spent, l, now)
		held.carried = max(held.carried, usable(spent.Share, bound, l.window))
		book.given = max(book.given, min(usable(spent.Share, bound, l.window)+spent.Others, 1))
		answer.Credits = append(answer.Credits, l.credit(book, held, spent, bound, now))
	}
	return answer
}

// teller returns what is known of the node that tells. The caller holds the mutex.
func (l *Ledger) teller(spending *Spending, now time.Time) *teller {
	known := l.nodes[spending.Node]
	if known == nil || spending.Incarnation > known.incarnation {
		// The moment tells this memory from an earlier one, and from that of another owner.
		known = &teller{incarnation: spending.Incarnation, epoch: 1 + uint32(now.UnixMilli()%epochs)}
		l.nodes[spending.Node] = known
	}
	return known
}

// lastKept is when a node last said of a tenant that what it let through is known. The caller holds the mutex.
func (l *Ledger) lastKept(node ident.Node, held *holding) time.Time {
	known := l.nodes[node]
	if known == nil || known.incarnation != held.incarnation {
		return time.Time{}
	}
	return known.kept
}

// hasEnded says whether the process of which a holding is has been followed by another one, which tells of other tenants: it is not cut
// off, and lets nothing through any more. The caller holds the mutex.
func (l *Ledger) hasEnded(node ident.Node, held *holding) bool {
	known := l.nodes[node]
	return known != nil && known.incarnation > held.incarnation
}

// silenceOf is after how long a node is taken for cut off.
func silenceOf(tight bool) time.Duration {
	if tight {
		return silentAfter
	}
	return looseSilentAfter
}

// forgetEvery is the time between two looks for nodes and tenants of which nothing was heard for long.
const forgetEvery = 10 * time.Second

// forget drops the nodes and the tenants that nobody tells of any more. The caller holds the mutex.
func (l *Ledger) forget(now time.Time) {
	if now.Sub(l.forgot) < forgetEvery {
		return
	}
	l.forgot = now
	maps.DeleteFunc(l.nodes, func(_ ident.Node, known *teller) bool { return now.Sub(known.heard) > aloneFor })
	maps.DeleteFunc(l.tenants, func(_ ident.Tenant, known *book) bool {
		l.others(known, nil, Limit{}, now)
		return len(known.nodes) == 0 && known.total.all(l.on.index(now)) == 0
	})
}

// book returns the account of a tenant. The caller holds the mutex.
func (l *Ledger) book(tenant ident.Tenant, now time.Time) *book {
	known := l.tenants[tenant]
	if known == nil {
		known = &book{nodes: map[ident.Node]*holding{}, began: now}
		l.tenants[tenant] = known
	}
	return known
}

// estimate finds out from what one node tells, and from its share in the tenant's requests, whether much was let through before this
// worker became the owner.
func (b *book) estimate(spent Spent, l *Ledger, limit Limit, now time.Time) {
	if now.Sub(b.began) >= allToldAfter || spent.Share <= 0 {
		return
	}
	b.moved = true
	// Since it was told of its share, the node may have let many more through at once.
	own := spent.count()
	if spent.Of > 0 {
		own = min(own, spent.Of)
	}
	b.hot = b.hot || float64(own)/spent.Share > hotShare*limit.window(l.window)
}

// take replaces what is known of a node by what it tells. What an earlier process of it let through stays in the total.
func (b *book) take(spending *Spending, spent Spent, l *Ledger, now time.Time) *holding {
	index := l.on.index(now)
	held := b.nodes[spending.Node]
	if held == nil || spending.Incarnation > held.incarnation {
		var carried float64
		if held != nil {
			carried = held.carried
		}
		held = &holding{incarnation: spending.Incarnation, carried: carried}
		b.nodes[spending.Node] = held
	}
	for age, count := range held.spent.byAge(index) {
		b.total.add(index, age, -count)
	}
	held.spent = tally{}
	held.heard, held.idleAt = now, now
	for age, count := range spent.Recent {
		if count <= 0 || age > slots {
			continue
		}
		held.spent.add(index, age, count)
		b.total.add(index, age, count)
		held.idleAt = latest(held.idleAt, now.Add(l.window-time.Duration(age)*l.on.slot))
	}
	return held
}

func latest(first, second time.Time) time.Time {
	if first.After(second) {
		return first
	}
	return second
}

// limitTold is the limit that a node told last, for a worker that does not know the tenant.
func (b *book) limitTold(spent Spent) Limit {
	if told := (Limit{Rate: spent.Rate, Burst: spent.Burst}); told.Bounded() {
		b.told = told
	}
	return b.told
}

// credit is what a node is told. The caller holds the mutex.
func (l *Ledger) credit(book *book, held *holding, spent Spent, limit Limit, now time.Time) Credit {
	index := l.on.index(now)
	answer := Credit{Tenant: spent.Tenant}
	held.credit, held.share = 0, 0
	ahead := aheadSlots * held.spent.sum(index, paceSlots) / paceSlots
	held.tight = false
	if !limit.Bounded() {
		answer.Amount = spent.Want + ahead
		book.expect(held, spent.Want, l, now)
		return answer
	}
	others := l.others(book, held, limit, now)
	cut := others.cut + book.reserved(others, l.window, now)
	credits := others.credits
	held.tight = float64(book.total.all(index)+credits+spent.Want) > tightShare*limit.window(l.window)
	answer.Tight = held.tight
	left := min(book.total.left(limit.part(max(1-cut, 0)), l.on, now), l.filled(book, limit, now), l.untold(book, limit, now))
	left -= float64(credits) + l.unknown(book, limit, now)
	answer.Amount = amount(left, spent.Want, ahead)
	expected := min(answer.Amount, spent.Want)
	held.credit = answer.Amount - expected
	book.expect(held, expected, l, now)
	if answer.Amount == 0 {
		answer.AfterMs = int64(math.Ceil(max(1-left, 0) / limit.Rate * float64(time.Second/time.Millisecond)))
	}
	if now.Sub(book.began) >= allToldAfter {
		// Shares of few requests are told at moments that differ too much to add up.
		missing := book.missing(others, now)
		of := max(float64(book.total.all(index)), sharedPart*limit.window(l.window), 1)
		held.share = inSteps(float64(held.spent.all(index)) / of * (1 - missing))
		answer.Share, answer.Others = held.share, inSteps(others.shares+missing)
	}
	return answer
}

// usable is a share if a node can let a request through for it while it reaches no owner; else it is zero.
func usable(share float64, limit Limit, window time.Duration) float64 {
	if alonePart*share*limit.window(window) < 1 {
		return 0
	}
	return share
}

// inSteps rounds a share up.
func inSteps(share float64) float64 { return math.Ceil(share*shareSteps) / shareSteps }

// missing is the share of nodes that another owner gave one to and that this one has not heard: they may be cut off.
func (b *book) missing(others around, now time.Time) float64 {
	if now.Sub(b.began) > aloneFor {
		return 0
	}
	return max(b.given-others.carried, 0)
}

// reserved is the part of the limit that is left to nodes that were never heard: in the first window they may have let through all of
// their share.
func (b *book) reserved(others around, window time.Duration, now time.Time) float64 {
	switch age := now.Sub(b.began); {
	case age < allToldAfter:
		// The others have yet to tell.
		return 0
	case age < window:
		return b.missing(others, now)
	}
	return alonePart * b.missing(others, now)
}

// expect counts requests that wait at a node, and have got credit, as let through: so the node need not tell that they were.
func (b *book) expect(held *holding, count int, l *Ledger, now time.Time) {
	if count == 0 {
		return
	}
	index := l.on.index(now)
	held.spent.add(index, 0, count)
	b.total.add(index, 0, count)
	held.idleAt = now.Add(l.window)
}

// amount is the credit of a node for the requests that wait there and for some ahead.
func amount(left float64, want, ahead int) int {
	waiting := min(want, int(max(left, 0)))
	return waiting + min(ahead, int(max(left-float64(waiting), 0)*aheadPart))
}

// unknown is what nodes may have let through of which this worker does not know yet, where another one was the owner of a tenant that came
// near its limit: as much as leaves nothing of the burst, less what has come free since.
func (l *Ledger) unknown(book *book, limit Limit, now time.Time) float64 {
	if age := now.Sub(book.began); book.hot && age < allToldAfter {
		return max(l.on.allows(limit, 0)-limit.Rate*age.Seconds(), 0)
	}
	return 0
}

// untold is what is left of the window of a tenant of which another worker was the owner, while nodes may have as much to tell as does not
// make them tight.
func (l *Ledger) untold(book *book, limit Limit, now time.Time) float64 {
	if !book.moved || now.Sub(book.began) >= looseToldAfter {
		return math.Inf(1)
	}
	whole := limit.window(l.window)
	return whole - max(float64(book.total.all(l.on.index(now))), tightShare*whole)
}

// filled is what is left where the worker and nodes were started together, so that nobody knows any more what was let through before: an
// empty memory is no full bucket, but an empty one, which fills at the rate. Nodes that were started earlier remember their part.
func (l *Ledger) filled(book *book, limit Limit, now time.Time) float64 {
	age := now.Sub(l.started)
	if age >= l.window || len(l.nodes) == 0 {
		return math.Inf(1)
	}
	young := 0
	for _, known := range l.nodes {
		if known.young {
			young++
		}
	}
	known := 1 - float64(young)/float64(len(l.nodes))
	since := book.total.sum(l.on.index(now), int(age/l.on.slot)+1)
	return l.on.allows(limit, 0)*known + limit.Rate*age.Seconds() - float64(since)
}

// around is what is known of a tenant at the nodes but one.
type around struct {
	// credits are out there.
	credits int
	// shares are the parts of the limit that they may use alone, cut those of nodes that are cut off: these do. A node that stopped telling
	// when all it had told of was out of the window has none.
	shares, cut float64
	// carried are the shares that all nodes, that one too, had from another owner.
	carried float64
}

// others sums up what is known of a tenant at the nodes but one, and forgets those that are silent for long. The caller holds the mutex.
func (l *Ledger) others(b *book, asking *holding, bound Limit, now time.Time) around {
	var sum around
	for node, held := range b.nodes {
		kept := l.lastKept(node, held)
		heard := latest(held.heard, kept)
		silent := now.Sub(heard)
		if silent > aloneFor {
			delete(b.nodes, node)
			continue
		}
		sum.carried += held.carried
		if held == asking {
			continue
		}
		limit := silenceOf(held.tight)
		cut := silent > limit && held.idleAt.Sub(heard) > limit && !l.hasEnded(node, held)
		if cut {
			sum.cut += held.share
		}
		if cut || silent <= limit {
			sum.shares += usable(held.share, bound, l.window)
		}
		// Whatever became of credit, the node will tell, or it is out of the window. A node that says that all is known when it could use
		// the credit no more has used none of it.
		if unused := kept.Sub(held.heard) > usedFor; !unused && (cut || now.Sub(held.heard) <= creditFor+l.window) {
			sum.credits += held.credit
		}
	}
	return sum
}
