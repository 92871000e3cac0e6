package quota

import (
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowlatch.example/mallowlatch/internal/ident"
)

const (
	// leastDenied and mostDenied bound for how long a node that was told that nothing is left refuses without asking again: what the
	// tenant sends must not become as many questions, and others may give back what they had.
	leastDenied, mostDenied = 50 * time.Millisecond, 250 * time.Millisecond
	// aloneNodes is how many nodes that reach no owner may let through one request in a window each of a tenant in which they have no
	// share. Of a larger site a hash chooses chosenNodes of them, in the mean: few enough that hardly any draw has more than a window may
	// have above its limit.
	aloneNodes  = 15
	chosenNodes = 7
	// sparePart of a limit is what all nodes together may let through in a window without a share, where that is more: it fits into what a
	// window may have above its limit, as the requests of aloneNodes do. A node of a tenant far below its limit needs no share by it.
	sparePart = 0.02
	// assumedNodes is how many nodes share a limit as long as no owner has said.
	assumedNodes = 330
	// alonePart of its share is what a node uses that reaches no owner: until the owner takes it for cut off, others get its part too.
	alonePart = 0.4
	// aloneAfter is when a caller may come back to a node that reaches no owner.
	aloneAfter = time.Second
)

// Decision is what becomes of a request.
type Decision uint8

const (
	// Admit lets the request through; it is counted.
	Admit Decision = iota
	// Ask means that the owner has to be asked before the request is decided on again.
	Ask
	// Refuse means that the request is beyond the tenant's limit.
	Refuse
)

// Verdict is a decision, and for Refuse when the next request of the tenant may fit.
type Verdict struct {
	Decision Decision
	After    time.Duration
}

// Meter decides at one node which requests are within the limits of their tenants. It is safe for concurrent use.
type Meter struct {
	node        ident.Node
	incarnation int64
	started     time.Time
	on          ruler
	window      time.Duration

	mutex    sync.Mutex
	accounts map[ident.Tenant]*account
	owners   map[string]*informed
	// nodes is how many share the limits, by the owner that has heard of the most in the last minute.
	nodes int
	// told says that one did.
	told bool
}

// informed is what the node knows of one owner.
type informed struct {
	// epoch is that of its last answer; zero is one that wants to be told all each time.
	epoch uint32
	// heard is when what it answered last was sent, nodes how many told it then of what they let through.
	heard time.Time
	nodes int
	// telling says that a message without tenants is on its way.
	telling bool
}

// account is what the node knows of one tenant.
type account struct {
	limit Limit
	spent tally
	// count numbers the requests let through, settled is the last of them that an owner has answered for: the one of that name and epoch.
	// It has also counted the expected: the credit that it gave for requests that waited.
	count, settled uint64
	expected       uint64
	owner          string
	epoch          uint32
	// credit is what may be let through until creditUntil.
	credit      int
	creditUntil time.Time
	// ahead says that the credit was for more than the requests that waited, tight that the owner is to be told soon.
	ahead, tight bool
	// deniedUntil is until when nothing is left, after is what callers are told then.
	deniedUntil time.Time
	after       time.Duration
	// share is the part of the limit that the node may use while it reaches no owner, until shareUntil.
	// others is what other nodes may use then, shareOf the requests that share was reckoned from. shareOwner and shareEpoch are the owner that knows of the share.
	share, others float64
	shareOf       int
	shareUntil    time.Time
	shareOwner    string
	shareEpoch    uint32
	// givenUp is when the node gave its share up, because nothing of the tenant was in the window; zero while it has one.
	givenUp time.Time
	// waiting are the requests that wait for an answer; telling says that an owner is being told. Two messages at a time could overtake
	// each other, and the older one would take back what the newer one told.
	waiting int
	telling bool
	// failures counts the messages that were not answered.
	failures int
	// lastTold is when an owner was told last that answered.
	lastTold time.Time
}

// NewMeter returns a meter of a node that has let nothing through. window is the time in which a limit counts, incarnation rises with
// each start of the node.
func NewMeter(node ident.Node, incarnation int64, window time.Duration, now time.Time) *Meter {
	return &Meter{
		node: node, incarnation: incarnation, started: now, on: newRuler(now.Add(-window), window), window: window, nodes: assumedNodes,
		accounts: map[ident.Tenant]*account{}, owners: map[string]*informed{},
	}
}

// Take decides on a request of a tenant.
func (m *Meter) Take(tenant ident.Tenant, limit Limit, now time.Time) Verdict {
	if !limit.Bounded() {
		return Verdict{}
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known := m.account(tenant, limit)
	switch {
	case known.credit > 0 && now.Before(known.creditUntil):
		known.credit--
	case now.Before(known.deniedUntil):
		return Verdict{Decision: Refuse, After: known.after}
	default:
		return Verdict{Decision: Ask}
	}
	m.spend(known, now)
	return Verdict{}
}

// TakeAlone decides on a request for which no owner answered: it fits where the node has not used its share of the limit in the window.
func (m *Meter) TakeAlone(tenant ident.Tenant, limit Limit, now time.Time) Verdict {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known := m.account(tenant, limit)
	nodes := float64(m.nodes)
	budget := 1.0
	if m.nodes > aloneNodes {
		budget = chosenNodes / nodes
	}
	budget = max(budget, sparePart*limit.window(m.window)/nodes)
	if !m.told {
		budget = max(budget, alonePart*limit.window(m.window)/assumedNodes)
	}
	if now.Before(known.shareUntil) && known.givenUp.IsZero() {
		budget = max(budget, alonePart*known.share*limit.window(m.window))
	}
	// A part of a request is a whole one at that part of the nodes.
	if known.spent.all(m.on.index(now)) >= int(budget+m.draw(tenant)) {
		return Verdict{Decision: Refuse, After: aloneAfter}
	}
	m.spend(known, now)
	return Verdict{}
}

// draw is a number from 0 to below 1 that is the node's for a tenant.
func (m *Meter) draw(tenant ident.Tenant) float64 {
	const digits = 53
	return float64(xxhash.Sum64String(string(m.node)+"/"+string(tenant))>>(64-digits)) / (1 << digits)
}

// Pass lets a request through of which nobody keeps account; it is counted for an owner that may come.
func (m *Meter) Pass(tenant ident.Tenant, limit Limit, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.spend(m.account(tenant, limit), now)
}

// account returns that of a tenant. Credit is given by a limit, and goes with it. The caller holds the mutex.
func (m *Meter) account(tenant ident.Tenant, limit Limit) *account {
	known := m.accounts[tenant]
	if known == nil {
		known = &account{limit: limit}
		m.accounts[tenant] = known
	}
	if known.limit != limit {
		known.limit, known.credit, known.deniedUntil = limit, 0, time.Time{}
	}
	return known
}

// spend counts a request. The caller holds the mutex.
func (m *Meter) spend(known *account, now time.Time) {
	known.spent.add(m.on.index(now), 0, 1)
	known.count++
}

// Wait notes that a request waits for credit, and returns the Failures so far.
func (m *Meter) Wait(tenant ident.Tenant, limit Limit) (failures int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known := m.account(tenant, limit)
	known.waiting++
	return known.failures
}

// Failures counts how often no owner answered to what it was told of a tenant of which a request waits.
func (m *Meter) Failures(tenant ident.Tenant) int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.accounts[tenant].failures
}

// Leave notes that a request waits no more.
func (m *Meter) Leave(tenant ident.Tenant) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.accounts[tenant].waiting--
}

// pending is what one owner may be told.
type pending struct {
	// due are the tenants that it is to be told of now, open those of which it does not know all: they are told beside others. settled says
	// that there are tenants with requests in the window of which it knows all, tight that a good part of the limit of one of them is used.
	due, open      []ident.Tenant
	settled, tight bool
	// telling says that it is being told of a tenant, so that nobody can say what it knows.
	telling bool
}

// Due returns what owners are to be told now, by their names: the tenants whose requests wait for credit, now and then those of which they
// do not know all, and that the others are as they know them. owner returns an empty name where there is none. Each message that is
// returned must be settled, or be told to have failed.
func (m *Meter) Due(owner func(ident.Tenant) string, now time.Time) map[string]*Spending {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var due map[string]*Spending
	all := m.pending(owner, now)
	maps.DeleteFunc(m.owners, func(name string, state *informed) bool {
		return all[name] == nil && !state.telling && now.Sub(state.heard) > aloneFor
	})
	for name, told := range all {
		if len(told.due) == 0 && !m.isSilent(name, told, now) {
			continue
		}
		if due == nil {
			due = map[string]*Spending{}
		}
		due[name] = m.message(name, told, now)
	}
	return due
}

// pending sorts the tenants by their owners, and forgets those that nobody needs any more. The caller holds the mutex.
func (m *Meter) pending(owner func(ident.Tenant) string, now time.Time) map[string]*pending {
	all := map[string]*pending{}
	for tenant, known := range m.accounts {
		over := m.isOver(tenant, known, now)
		if over && !known.remembersShare(m.window, now) {
			continue
		}
		name := owner(tenant)
		if name == "" || over && !known.isNewTo(name, m.owner(name).epoch) {
			continue
		}
		told := all[name]
		if told == nil {
			told = &pending{}
			all[name] = told
		}
		switch {
		case known.telling:
			told.telling = true
		case m.isDue(known, name, now):
			told.due = append(told.due, tenant)
		case !known.told():
			told.open = append(told.open, tenant)
		default:
			told.settled, told.tight = true, told.tight || known.tight
		}
	}
	return all
}

// isOver says whether nothing of a tenant is in the window and none of its requests waits. The caller holds the mutex.
func (m *Meter) isOver(tenant ident.Tenant, known *account, now time.Time) bool {
	if known.telling || known.waiting > 0 || known.spent.all(m.on.index(now)) > 0 {
		return false
	}
	if known.givenUp.IsZero() {
		known.givenUp = now
	}
	if now.After(known.creditUntil) && !known.remembersShare(m.window, now) {
		delete(m.accounts, tenant)
	}
	return true
}

// remembersShare says whether a share that the node gave up is one that the next owner may still miss: others were told of it before,
// and would be left less for it.
func (a *account) remembersShare(window time.Duration, now time.Time) bool {
	return usable(a.share, a.limit, window) > 0 && now.Sub(a.givenUp) < givenUpFor && now.Before(a.shareUntil)
}

// isDue says whether a tenant's owner is to be told of it. The caller holds the mutex.
func (m *Meter) isDue(known *account, name string, now time.Time) bool {
	state := m.owner(name)
	since := now.Sub(known.lastTold)
	switch {
	case known.waiting > 0, known.low(now):
		return true
	case !known.knownTo(name, state.epoch), known.tellsShare(name, state.epoch, now):
		return true
	case known.credit > 0, state.epoch == 0:
		return since >= keepEvery
	case known.told():
		return false
	}
	return since >= every(known.tight)
}

// every is the time between two reports of a tenant.
func every(tight bool) time.Duration {
	if tight {
		return keepEvery
	}
	return looseEvery
}

// isSilent says whether an owner would soon take the node for cut off. The caller holds the mutex.
func (m *Meter) isSilent(name string, told *pending, now time.Time) bool {
	state := m.owner(name)
	return told.settled && state.epoch != 0 && !state.telling && !told.telling && now.Sub(state.heard) >= every(told.tight)
}

// owner returns what is known of an owner. The caller holds the mutex.
func (m *Meter) owner(name string) *informed {
	state := m.owners[name]
	if state == nil {
		state = &informed{}
		m.owners[name] = state
	}
	return state
}

// message tells an owner of the tenants of which it does not know all. The caller holds the mutex.
func (m *Meter) message(name string, told *pending, now time.Time) *Spending {
	spending := &Spending{Node: m.node, Incarnation: m.incarnation, AgeMs: now.Sub(m.started).Milliseconds(), owner: name}
	state := m.owner(name)
	if !told.telling {
		spending.Kept = state.epoch
	}
	for _, tenant := range append(told.due, told.open...) {
		known := m.accounts[tenant]
		known.telling = true
		spent := Spent{Tenant: tenant, Recent: known.spent.recent(m.on.index(now)), Want: known.waiting, upTo: known.count}
		if !known.knownTo(name, state.epoch) {
			spent.Rate, spent.Burst = known.limit.Rate, known.limit.Burst
		}
		if now.Before(known.shareUntil) && (state.epoch == 0 || known.tellsShare(name, state.epoch, now)) {
			spent.Share, spent.Of = known.share, known.shareOf
			// What others had when this node still had a share is long over.
			if known.givenUp.IsZero() {
				spent.Others = known.others
			}
		}
		spending.Spent = append(spending.Spent, spent)
	}
	state.telling = state.telling || len(spending.Spent) == 0
	return spending
}

// knownTo says whether an owner of that epoch has answered for the tenant last: another one has never heard of it, or lost its memory.
func (a *account) knownTo(name string, epoch uint32) bool { return a.owner == name && a.epoch == epoch }

// tellsShare says whether an owner of that epoch has yet to hear of the node's share.
func (a *account) tellsShare(name string, epoch uint32, now time.Time) bool {
	return epoch != 0 && a.share > 0 && now.Before(a.shareUntil) && a.isNewTo(name, epoch)
}

// isNewTo says whether an owner of that epoch, or one of which no epoch is known, has yet to hear of the node's share.
func (a *account) isNewTo(name string, epoch uint32) bool {
	return a.shareOwner != name || epoch != 0 && a.shareEpoch != epoch
}

// told says whether the owner has counted all that was let through.
func (a *account) told() bool { return a.count == a.settled+a.expected }

// low says whether the node had credit ahead and used all of it.
func (a *account) low(now time.Time) bool {
	return a.ahead && a.settled != a.count && a.credit == 0 && now.Before(a.creditUntil)
}

// Settle takes an owner's answer to what it was told at a moment. It returns false where the answer lacks a tenant: an owner of a build
// that keeps no account answers for none.
func (m *Meter) Settle(told *Spending, answer *Answer, sent time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.hear(told, answer, sent)
	m.nodes, m.told = m.heardOf(), true
	answers := make(map[ident.Tenant]Credit, len(answer.Credits))
	for _, credit := range answer.Credits {
		answers[credit.Tenant] = credit
	}
	whole := true
	for _, spent := range told.Spent {
		known := m.accounts[spent.Tenant]
		if known == nil {
			continue
		}
		known.telling = false
		credit, answered := answers[spent.Tenant]
		if answered {
			known.settle(spent, credit, sent)
			known.owner, known.epoch, known.expected = told.owner, answer.Epoch, 0
			if credit.Share > 0 || spent.Share > 0 {
				known.shareOwner, known.shareEpoch = told.owner, answer.Epoch
			}
			if answer.Epoch != 0 {
				known.expected = uint64(min(credit.Amount, spent.Want))
			}
		}
		whole = whole && answered
	}
	return whole
}

// hear notes that an owner answered. The caller holds the mutex.
func (m *Meter) hear(told *Spending, answer *Answer, sent time.Time) {
	state := m.owner(told.owner)
	state.telling = state.telling && len(told.Spent) > 0
	if sent.After(state.heard) {
		state.heard, state.epoch, state.nodes = sent, answer.Epoch, answer.Nodes
	}
}

// heardOf is the most nodes that an owner told of in the last minute: one that has just taken over has not heard of all yet. The caller
// holds the mutex.
func (m *Meter) heardOf() int {
	most := 1
	for _, state := range m.owners {
		most = max(most, state.nodes)
	}
	return most
}

// Failed notes that an owner did not answer to what it was told.
func (m *Meter) Failed(told *Spending) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	state := m.owner(told.owner)
	state.telling = state.telling && len(told.Spent) > 0
	for _, spent := range told.Spent {
		if known := m.accounts[spent.Tenant]; known != nil {
			known.telling = false
			known.failures++
		}
	}
}

// settle takes over what the owner said of one tenant. Requests let through meanwhile are taken from the credit.
func (a *account) settle(spent Spent, answer Credit, sent time.Time) {
	a.settled, a.lastTold = spent.upTo, sent
	a.credit = max(answer.Amount-int(a.count-spent.upTo), 0)
	a.creditUntil = sent.Add(creditFor)
	a.ahead, a.tight = answer.Amount > spent.Want, answer.Tight
	if answer.Share > 0 {
		a.share, a.others, a.shareUntil, a.givenUp = answer.Share, answer.Others, sent.Add(aloneFor), time.Time{}
		a.shareOf = spent.count() + min(answer.Amount, spent.Want)
	}
	a.deniedUntil = time.Time{}
	if answer.Amount < spent.Want {
		a.after = time.Duration(answer.AfterMs) * time.Millisecond
		a.deniedUntil = sent.Add(min(max(a.after, leastDenied), mostDenied))
	}
}
