package quota

import (
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowlatch.example/mallowlatch/internal/ident"
)

const (
	// minRefusal and maxRefusal bound how long a node refuses without asking again after an owner answered that nothing is left. A
	// tenant's requests must not each cause a call to the owner, but other nodes may return credit meanwhile.
	minRefusal, maxRefusal = 50 * time.Millisecond, 250 * time.Millisecond
	// isolatedNodes is the largest number of nodes that may each admit one request per window, without a share of the tenant,
	// while they reach no owner. On a larger site a hash selects isolatedChosen of them on average: few enough that hardly any
	// selection exceeds the overage that a window may have.
	isolatedNodes  = 15
	isolatedChosen = 7
	// spareFraction of a limit is what all nodes together may admit in a window without shares, if that is more than isolatedNodes
	// allows. Like the requests of isolatedNodes, it fits into the overage that a window may have. With it, a node needs no share
	// for a tenant far below its limit.
	spareFraction = 0.02
	// assumedNodes is the number of nodes that share a limit as long as no owner has reported one.
	assumedNodes = 330
	// isolatedShareFraction is the fraction of its share that a node uses while it reaches no owner. Until the owner treats the
	// node as partitioned, it grants that share to others too.
	isolatedShareFraction = 0.4
	// isolatedRetryAfter is the retry delay sent to callers that a node refuses while it reaches no owner.
	isolatedRetryAfter = time.Second
)

// Decision is the outcome for a request.
type Decision uint8

const (
	// Admit means that the request is admitted and counted.
	Admit Decision = iota
	// Ask means that the node must ask the owner before it decides on the request again.
	Ask
	// Refuse means that the request exceeds the tenant's limit.
	Refuse
)

// Verdict is a decision and, for Refuse, the time after which the next request of the tenant may be admitted.
type Verdict struct {
	Decision Decision
	After    time.Duration
}

// Meter decides at one node which requests are within the limits of their tenants. It is safe for concurrent use.
type Meter struct {
	node        ident.Node
	incarnation int64
	started     time.Time
	clock       slotClock
	window      time.Duration

	mutex    sync.Mutex
	accounts map[ident.Tenant]*account
	owners   map[string]*ownerState
	// nodes is the number of nodes that share the limits: the largest number in the owners' last answers.
	nodes int
	// nodesKnown is set once an owner has sent such a number.
	nodesKnown bool
}

// ownerState is what the node knows of one owner.
type ownerState struct {
	// epoch is that of the last answer; zero if the owner needs a full report each time.
	epoch uint32
	// lastAnswer is when the report was sent that the owner answered last. nodes is the number of reporting nodes in that answer.
	lastAnswer time.Time
	nodes      int
	// reporting is set while a report without tenants is in transit.
	reporting bool
}

// account is the node's state of one tenant.
type account struct {
	limit Limit
	spent tally
	// count is the number of requests admitted. settled is its value at the last report that an owner answered; owner and epoch
	// are those of the answer. The owner has also counted expected requests: the waiting ones for which it granted credit.
	count, settled uint64
	expected       uint64
	owner          string
	epoch          uint32
	// credit is the number of requests that may be admitted until creditUntil.
	credit      int
	creditUntil time.Time
	// advance is set if the credit exceeded the waiting requests. tight is set if the owner requires frequent reports.
	advance, tight bool
	// refuseUntil is until when requests are refused without asking. retryAfter is the delay that callers are sent meanwhile.
	refuseUntil time.Time
	retryAfter  time.Duration
	// share is the fraction of the limit that the node may use until shareUntil while it reaches no owner. others is the fraction
	// that other nodes may use then, shareBase the number of requests that share was computed from. shareOwner and shareEpoch
	// identify the owner that has a record of the share.
	share, others float64
	shareBase     int
	shareUntil    time.Time
	shareOwner    string
	shareEpoch    uint32
	// releasedAt is when the node released its share because the window held no request of the tenant; zero while it has a share.
	releasedAt time.Time
	// waiting is the number of requests that wait for an answer. reporting is set while a report is in transit: two reports at a
	// time could arrive out of order, and the older one would undo the newer one.
	waiting   int
	reporting bool
	// failures is the number of reports that were not answered.
	failures int
	// lastSettled is when the last report was sent that an owner answered.
	lastSettled time.Time
}

// NewMeter returns a meter of a node that has admitted nothing. window is the period over which limits count; incarnation
// increases with each start of the node.
func NewMeter(node ident.Node, incarnation int64, window time.Duration, now time.Time) *Meter {
	return &Meter{
		node: node, incarnation: incarnation, started: now, clock: newSlotClock(now.Add(-window), window), window: window, nodes: assumedNodes,
		accounts: map[ident.Tenant]*account{}, owners: map[string]*ownerState{},
	}
}

// Take decides on a request of a tenant.
func (m *Meter) Take(tenant ident.Tenant, limit Limit, now time.Time) Verdict {
	if !limit.Bounded() {
		return Verdict{}
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	acct := m.account(tenant, limit)
	switch {
	case acct.credit > 0 && now.Before(acct.creditUntil):
		acct.credit--
	case now.Before(acct.refuseUntil):
		return Verdict{Decision: Refuse, After: acct.retryAfter}
	default:
		return Verdict{Decision: Ask}
	}
	m.spend(acct, now)
	return Verdict{}
}

// TakeIsolated decides on a request for which no owner answered: it is admitted while the node has not used up its share of the limit
// in the window.
func (m *Meter) TakeIsolated(tenant ident.Tenant, limit Limit, now time.Time) Verdict {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	acct := m.account(tenant, limit)
	nodes := float64(m.nodes)
	budget := 1.0
	if m.nodes > isolatedNodes {
		budget = isolatedChosen / nodes
	}
	budget = max(budget, spareFraction*limit.allowance(m.window)/nodes)
	if !m.nodesKnown {
		budget = max(budget, isolatedShareFraction*limit.allowance(m.window)/assumedNodes)
	}
	if now.Before(acct.shareUntil) && acct.releasedAt.IsZero() {
		budget = max(budget, isolatedShareFraction*acct.share*limit.allowance(m.window))
	}
	// A fraction of a request becomes one whole request at that fraction of the nodes.
	if acct.spent.total(m.clock.index(now)) >= int(budget+m.hashFraction(tenant)) {
		return Verdict{Decision: Refuse, After: isolatedRetryAfter}
	}
	m.spend(acct, now)
	return Verdict{}
}

// hashFraction returns a number in [0, 1) that depends on the node and the tenant.
func (m *Meter) hashFraction(tenant ident.Tenant) float64 {
	const digits = 53
	return float64(xxhash.Sum64String(string(m.node)+"/"+string(tenant))>>(64-digits)) / (1 << digits)
}

// AdmitUncounted admits a request that no owner counts; it is reported to a later owner.
func (m *Meter) AdmitUncounted(tenant ident.Tenant, limit Limit, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.spend(m.account(tenant, limit), now)
}

// account returns the account of a tenant, creating it if necessary. A change of the limit voids the credit. The caller holds the
// mutex.
func (m *Meter) account(tenant ident.Tenant, limit Limit) *account {
	acct := m.accounts[tenant]
	if acct == nil {
		acct = &account{limit: limit}
		m.accounts[tenant] = acct
	}
	if acct.limit != limit {
		acct.limit, acct.credit, acct.refuseUntil = limit, 0, time.Time{}
	}
	return acct
}

// spend counts an admitted request. The caller holds the mutex.
func (m *Meter) spend(acct *account, now time.Time) {
	acct.spent.add(m.clock.index(now), 0, 1)
	acct.count++
}

// BeginWait records that a request waits for credit, and returns the current value of Failures.
func (m *Meter) BeginWait(tenant ident.Tenant, limit Limit) (failures int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	acct := m.account(tenant, limit)
	acct.waiting++
	return acct.failures
}

// UnansweredReports returns the number of unanswered reports of a tenant that has a waiting request.
func (m *Meter) UnansweredReports(tenant ident.Tenant) int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.accounts[tenant].failures
}

// EndWait records that a request no longer waits.
func (m *Meter) EndWait(tenant ident.Tenant) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.accounts[tenant].waiting--
}

// pending groups the tenants of one owner by what has to be reported.
type pending struct {
	// due lists the tenants to report now. unsettled lists those that the owner has not fully counted; they are added to a report
	// that is due. settled is set if there are tenants with requests in the window that the owner has fully counted, tight if one
	// of these uses a large part of its limit.
	due, unsettled []ident.Tenant
	settled, tight bool
	// reporting is set while a report of a tenant is in transit, so that the node cannot say what the owner has counted.
	reporting bool
}

// DueReports returns the reports to send now, by the names of the owners. A report covers the tenants whose requests wait for credit and,
// at intervals, those that the owner has not fully counted; it also states that the owner has fully counted the others. owner
// returns an empty name if a tenant has no owner. For each report the caller must call Settle or Failed.
func (m *Meter) DueReports(owner func(ident.Tenant) string, now time.Time) map[string]*NodeReport {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var due map[string]*NodeReport
	all := m.pending(owner, now)
	maps.DeleteFunc(m.owners, func(name string, state *ownerState) bool {
		return all[name] == nil && !state.reporting && now.Sub(state.lastAnswer) > isolationPeriod
	})
	for name, group := range all {
		if len(group.due) == 0 && !m.needsHeartbeat(name, group, now) {
			continue
		}
		if due == nil {
			due = map[string]*NodeReport{}
		}
		due[name] = m.report(name, group, now)
	}
	return due
}

// pending groups the tenants by their owners, and removes those that are no longer needed. The caller holds the mutex.
func (m *Meter) pending(owner func(ident.Tenant) string, now time.Time) map[string]*pending {
	all := map[string]*pending{}
	for tenant, acct := range m.accounts {
		idle := m.isIdle(tenant, acct, now)
		if idle && !acct.retainsShare(m.window, now) {
			continue
		}
		name := owner(tenant)
		if name == "" || idle && !acct.isShareUnknownTo(name, m.owner(name).epoch) {
			continue
		}
		group := all[name]
		if group == nil {
			group = &pending{}
			all[name] = group
		}
		switch {
		case acct.reporting:
			group.reporting = true
		case m.isDue(acct, name, now):
			group.due = append(group.due, tenant)
		case !acct.isSettled():
			group.unsettled = append(group.unsettled, tenant)
		default:
			group.settled, group.tight = true, group.tight || acct.tight
		}
	}
	return all
}

// isIdle reports whether a tenant has no request in the window and none waiting. It also records that the share is released, and
// removes an account that is no longer needed. The caller holds the mutex.
func (m *Meter) isIdle(tenant ident.Tenant, acct *account, now time.Time) bool {
	if acct.reporting || acct.waiting > 0 || acct.spent.total(m.clock.index(now)) > 0 {
		return false
	}
	if acct.releasedAt.IsZero() {
		acct.releasedAt = now
	}
	if now.After(acct.creditUntil) && !acct.retainsShare(m.window, now) {
		delete(m.accounts, tenant)
	}
	return true
}

// retainsShare reports whether the next owner may still treat a released share as missing: other nodes were sent it, and the owner
// would reserve a part of the limit for it.
func (a *account) retainsShare(window time.Duration, now time.Time) bool {
	return usableShare(a.share, a.limit, window) > 0 && now.Sub(a.releasedAt) < releasedShareRetention && now.Before(a.shareUntil)
}

// isDue reports whether a tenant has to be reported to its owner now. The caller holds the mutex.
func (m *Meter) isDue(acct *account, name string, now time.Time) bool {
	state := m.owner(name)
	since := now.Sub(acct.lastSettled)
	switch {
	case acct.waiting > 0, acct.usedUpAdvance(now):
		return true
	case !acct.isKnownTo(name, state.epoch), acct.mustReportShare(name, state.epoch, now):
		return true
	case acct.credit > 0, state.epoch == 0:
		return since >= tightReportInterval
	case acct.isSettled():
		return false
	}
	return since >= reportInterval(acct.tight)
}

// reportInterval returns the time between two reports of a tenant.
func reportInterval(tight bool) time.Duration {
	if tight {
		return tightReportInterval
	}
	return looseReportInterval
}

// needsHeartbeat reports whether an owner would soon treat the node as partitioned. The caller holds the mutex.
func (m *Meter) needsHeartbeat(name string, group *pending, now time.Time) bool {
	state := m.owner(name)
	return group.settled && state.epoch != 0 && !state.reporting && !group.reporting &&
		now.Sub(state.lastAnswer) >= reportInterval(group.tight)
}

// owner returns the state of an owner, creating it if necessary. The caller holds the mutex.
func (m *Meter) owner(name string) *ownerState {
	state := m.owners[name]
	if state == nil {
		state = &ownerState{}
		m.owners[name] = state
	}
	return state
}

// report builds the report to an owner of the tenants that it has not fully counted. The caller holds the mutex.
func (m *Meter) report(name string, group *pending, now time.Time) *NodeReport {
	spending := &NodeReport{Node: m.node, Incarnation: m.incarnation, AgeMs: now.Sub(m.started).Milliseconds(), owner: name}
	state := m.owner(name)
	if !group.reporting {
		spending.Kept = state.epoch
	}
	for _, tenant := range append(group.due, group.unsettled...) {
		acct := m.accounts[tenant]
		acct.reporting = true
		spent := TenantReport{Tenant: tenant, Recent: acct.spent.recent(m.clock.index(now)), Want: acct.waiting, upTo: acct.count}
		if !acct.isKnownTo(name, state.epoch) {
			spent.Rate, spent.Burst = acct.limit.Rate, acct.limit.Burst
		}
		if now.Before(acct.shareUntil) && (state.epoch == 0 || acct.mustReportShare(name, state.epoch, now)) {
			spent.Share, spent.Of = acct.share, acct.shareBase
			// The fraction of the other nodes is outdated once this node has released its share.
			if acct.releasedAt.IsZero() {
				spent.Others = acct.others
			}
		}
		spending.Spent = append(spending.Spent, spent)
	}
	state.reporting = state.reporting || len(spending.Spent) == 0
	return spending
}

// isKnownTo reports whether an owner with that epoch gave the last answer for the tenant. Any other owner has no record of it, or
// has lost it.
func (a *account) isKnownTo(name string, epoch uint32) bool {
	return a.owner == name && a.epoch == epoch
}

// limitTold reports whether an owner that answered a report with that epoch was told the limit, by the report or by an earlier one in the
// same epoch. An owner that has lost its state, and whose configuration lacks the tenant, grants credit without a bound. Owners without
// epochs are of an earlier build and are not told.
func (a *account) limitTold(spent TenantReport, owner string, epoch uint32) bool {
	return epoch == 0 || spent.Rate > 0 || a.isKnownTo(owner, epoch)
}

// mustReportShare reports whether the node's share has still to be reported to an owner of that epoch.
func (a *account) mustReportShare(name string, epoch uint32, now time.Time) bool {
	return epoch != 0 && a.share > 0 && now.Before(a.shareUntil) && a.isShareUnknownTo(name, epoch)
}

// isShareUnknownTo reports whether an owner of that epoch, or of no known epoch, has no record of the node's share.
func (a *account) isShareUnknownTo(name string, epoch uint32) bool {
	return a.shareOwner != name || epoch != 0 && a.shareEpoch != epoch
}

// isSettled reports whether the owner has counted all admitted requests.
func (a *account) isSettled() bool { return a.count == a.settled+a.expected }

// usedUpAdvance reports whether the node had credit in advance and has used all of it.
func (a *account) usedUpAdvance(now time.Time) bool {
	return a.advance && a.settled != a.count && a.credit == 0 && now.Before(a.creditUntil)
}

// ApplyAnswer applies an owner's answer to a report that was sent at a given time. Credit from an owner that was not told the limit is
// not used, and the tenant is due to be reported again, with its limit. It returns false if the answer lacks a tenant: an owner of a build
// without ledgers answers for none.
func (m *Meter) ApplyAnswer(spending *NodeReport, answer *Answer, sent time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.recordAnswer(spending, answer, sent)
	m.nodes, m.nodesKnown = m.maxReportedNodes(), true
	answers := make(map[ident.Tenant]Credit, len(answer.Credits))
	for _, credit := range answer.Credits {
		answers[credit.Tenant] = credit
	}
	complete := true
	for _, spent := range spending.Spent {
		acct := m.accounts[spent.Tenant]
		if acct == nil {
			continue
		}
		acct.reporting = false
		credit, answered := answers[spent.Tenant]
		if answered && acct.limitTold(spent, spending.owner, answer.Epoch) {
			acct.settle(spent, credit, sent)
			acct.owner, acct.epoch, acct.expected = spending.owner, answer.Epoch, 0
			if credit.Share > 0 || spent.Share > 0 {
				acct.shareOwner, acct.shareEpoch = spending.owner, answer.Epoch
			}
			if answer.Epoch != 0 {
				acct.expected = uint64(min(credit.Amount, spent.Want))
			}
		}
		complete = complete && answered
	}
	return complete
}

// recordAnswer records that an owner answered. The caller holds the mutex.
func (m *Meter) recordAnswer(spending *NodeReport, answer *Answer, sent time.Time) {
	state := m.owner(spending.owner)
	state.reporting = state.reporting && len(spending.Spent) > 0
	if sent.After(state.lastAnswer) {
		state.lastAnswer, state.epoch, state.nodes = sent, answer.Epoch, answer.Nodes
	}
}

// maxReportedNodes returns the largest number of nodes in the last answers of the owners, since an owner that has just taken over
// has not yet received reports from all nodes. Due removes owners that have not answered for isolationPeriod and have no tenants
// left. The caller holds the mutex.
func (m *Meter) maxReportedNodes() int {
	most := 1
	for _, state := range m.owners {
		most = max(most, state.nodes)
	}
	return most
}

// ReportFailed records that an owner did not answer a report.
func (m *Meter) ReportFailed(spending *NodeReport) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	state := m.owner(spending.owner)
	state.reporting = state.reporting && len(spending.Spent) > 0
	for _, spent := range spending.Spent {
		if acct := m.accounts[spent.Tenant]; acct != nil {
			acct.reporting = false
			acct.failures++
		}
	}
}

// settle applies the owner's answer for one tenant. Requests admitted since the report are subtracted from the credit.
func (a *account) settle(spent TenantReport, answer Credit, sent time.Time) {
	a.settled, a.lastSettled = spent.upTo, sent
	a.credit = max(answer.Amount-int(a.count-spent.upTo), 0)
	a.creditUntil = sent.Add(creditLifetime)
	a.advance, a.tight = answer.Amount > spent.Want, answer.Tight
	if answer.Share > 0 {
		a.share, a.others, a.shareUntil, a.releasedAt = answer.Share, answer.Others, sent.Add(isolationPeriod), time.Time{}
		a.shareBase = spent.count() + min(answer.Amount, spent.Want)
	}
	a.refuseUntil = time.Time{}
	if answer.Amount < spent.Want {
		a.retryAfter = time.Duration(answer.AfterMs) * time.Millisecond
		a.refuseUntil = sent.Add(min(max(a.retryAfter, minRefusal), maxRefusal))
	}
}
