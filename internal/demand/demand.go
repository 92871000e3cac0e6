// Package demand exchanges counts of online work in progress between the nodes that forward it and the workers
// that own the runners. Nodes report their requests at each runner; workers answer with the total of the other
// nodes and their own batch items, and with their batch load, bounds for tenants and granted slots. A request
// is visible to the worker as soon as it is sent, so that the worker can free a slot before the request queues; a
// runner's own report would show only the queue, some hundred milliseconds later. Nodes that choose runners at the
// same time see each other's choices.
package demand

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/poison"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Lifetime is how long a node's report counts. It is a few times IdleRefreshInterval, so that one lost call does not
// discard the report, and no longer than the requests of a dead node may continue at their runners.
const Lifetime = 1500 * time.Millisecond

// MaxReportAge is the age from which an online request is included in the newest report that the owner has read from
// the request's runner. An owner polls a runner at least every 200 ms while it checks for orphaned runs, and a
// report is about 100 ms old by then.
const MaxReportAge = 300 * time.Millisecond

// Count is the online work of one node at one runner.
type Count struct {
	Runner ident.Incarnation `json:"runner"`
	Online int               `json:"online"`
	// Suspect means that the node avoids the runner, because it could not be reached or did not answer.
	Suspect bool `json:"suspect,omitempty"`
	// Old is the number of online requests sent more than MaxReportAge ago. It is reported until the owner has
	// answered once, so that the owner does not take these requests for orphaned runs.
	Old int `json:"old,omitempty"`
	// Tokens is the number of tokens of the node's online requests there: the prompts plus the most that may be
	// generated.
	Tokens int `json:"tokens,omitempty"`
	// Pace is the newest pace that the runner reported to this node. PaceAgeMs is its age in milliseconds when the
	// report was made. Both are zero if the node knows no pace, or if its build does not read it.
	Pace      work.Pace `json:"pace,omitempty"`
	PaceAgeMs int64     `json:"pace_age_ms,omitempty"`
	// PaceReceivedAt is when this node received the pace, by its own clock. It is not sent.
	PaceReceivedAt time.Time `json:"-"`
}

// HasWork reports whether the count carries more than a pace.
func (c Count) HasWork() bool { return c.Online > 0 || c.Suspect }

// withoutPace returns the count without its pace and without the number of old requests.
func (c Count) withoutPace() Count {
	c.Pace, c.PaceAgeMs, c.PaceReceivedAt, c.Old = 0, 0, time.Time{}, 0
	return c
}

// Use is the capacity of a service that the requests of one tenant use at one node.
type Use struct {
	Service string       `json:"service"`
	Tenant  ident.Tenant `json:"tenant"`
	// Taken is the number of slots that the tenant's requests have, Waiting the number of requests without a slot.
	Taken   int `json:"taken,omitempty"`
	Waiting int `json:"waiting,omitempty"`
}

// Bound is the number of slots of a service that a tenant's requests may use at the polling node while slots are
// scarce.
type Bound struct {
	Service string       `json:"service"`
	Tenant  ident.Tenant `json:"tenant"`
	Slots   int          `json:"places"`
}

// Waiting counts the requests for one service that wait for a slot at a node.
type Waiting struct {
	Service string `json:"service"`
	// OnTime is the number of requests that can still be answered within their objective; the first of them
	// reaches its deadline in LeftMs milliseconds.
	OnTime int   `json:"on_time,omitempty"`
	LeftMs int64 `json:"left_ms,omitempty"`
	// Late is the number of requests that can no longer meet their objective.
	Late int `json:"late,omitempty"`
}

// Report is what a node sends to the owner of some runners: all its online work at them, and the runners that it
// suspects. The node has no work at runners that are not listed, and does not suspect them.
type Report struct {
	Node ident.Node `json:"node"`
	// Incarnation rises with each start of the node's process, Sequence with each of its reports to one worker.
	Incarnation int64 `json:"incarnation"`
	Sequence    int64 `json:"sequence"`
	// AgeMs is the uptime of the node's process in milliseconds, at least 1. It is zero for a node that has run
	// for longer than ageReportedFor, or whose build does not report it.
	AgeMs  int64   `json:"age_ms,omitempty"`
	Counts []Count `json:"counts,omitzero"`
	// EndsRead is the node's read position in the worker's list of requests that terminate their runners.
	EndsRead poison.Cursor `json:"ends_read,omitzero"`
	// Uses are the node's uses of the services for which the worker is the account holder. It is empty from nodes
	// of a build that does not report it.
	Uses []Use `json:"uses,omitempty"`
	// Waiting counts the requests that wait for slots which the worker grants one by one. It is empty otherwise,
	// and from nodes of a build that requests no grants.
	Waiting []Waiting `json:"waiting,omitempty"`
	// Owned is the sum of the fingerprints of the runners that the node takes the worker to own. If the worker owns exactly
	// these, it may leave those without work out of its answer. Zero, as from nodes of a build that does not know it, requests
	// all.
	Owned uint32 `json:"owned,omitempty"`
}

// RunnerFingerprint returns a hash of a runner, to be added up for a set of runners.
func RunnerFingerprint(runner ident.Incarnation) uint32 {
	return uint32(xxhash.Sum64String(string(runner)))
}

// Age returns the uptime of the node's process when it made the report, or zero if unknown.
func (r *Report) Age() time.Duration { return time.Duration(r.AgeMs) * time.Millisecond }

// Share is a worker's view of the work at one of its runners.
type Share struct {
	Runner ident.Incarnation `json:"runner"`
	// Others is the online work of all nodes but the polling one, Batch the number of batch items of the worker.
	Others int `json:"others"`
	Batch  int `json:"batch"`
	// Unresponsive means that the runner is unresponsive both to some node and to the worker.
	Unresponsive bool `json:"silent,omitempty"`
	// Orphans is the number of orphaned runs at the runner: work that no living node accounts for.
	Orphans int `json:"orphans,omitempty"`
	// Rationed means that the worker grants the runner's slots one by one: the polling node may start Granted
	// requests there, counted from its report on, and no more until the next answer.
	Rationed bool `json:"rationed,omitempty"`
	Granted  int  `json:"granted,omitempty"`
	// GrantedLate means that the grants may be used for requests that are already late, because no request that
	// can be on time waits for them.
	GrantedLate bool `json:"granted_late,omitempty"`
	// Tokens is the number of tokens of the requests of all nodes but the polling one, and of the worker's items.
	// Memory is the number of tokens that the runner can hold. Both are sent only when all tokens together exceed
	// half of Memory.
	Tokens        int `json:"tokens,omitempty"`
	TokenCapacity int `json:"memory,omitempty"`
	// Pace is the newest pace that any node received from the runner. PaceAgeMs is its age in milliseconds when the
	// answer was made. Both are zero if no pace is known, or if the worker's build does not read it.
	Pace      work.Pace `json:"pace,omitempty"`
	PaceAgeMs int64     `json:"pace_age_ms,omitempty"`
}

// Batch is the batch load of a worker, used to choose the worker for a job.
type Batch struct {
	Node ident.Node `json:"node"`
	// Lease is the lease that the worker's claims depend on. Without a lease (zero) the worker takes no job.
	Lease int64 `json:"lease,omitempty"`
	// Waiting is the number of items that are not assigned to a runner, Places the number that its runners could
	// run now.
	Waiting int `json:"waiting,omitempty"`
	Slots   int `json:"places,omitempty"`
	// RunMs is the mean run time in milliseconds.
	RunMs int64 `json:"run_ms,omitempty"`
}

// Wait estimates how long new items wait behind those of the worker and some more.
func (b Batch) Wait(more int) time.Duration {
	run := time.Duration(b.RunMs) * time.Millisecond
	return run * time.Duration(b.Waiting+more) / time.Duration(max(b.Slots, 1))
}

// Answer is a worker's answer to a report: the shares of all runners that it owns, its batch load, and the entries
// that the node has not read yet of the list of requests that terminate their runners. Nodes report to the workers
// of their own zone that they work with at least once per quietRefreshInterval, to each at another moment, and each worker has
// all entries.
type Answer struct {
	Shares []Share        `json:"shares"`
	Batch  Batch          `json:"batch"`
	Ends   poison.Changes `json:"ends,omitzero"`
	// Bounds are the bounds of the tenants that exceed their share of scarce slots. Tenants that are not listed
	// are unbounded.
	Bounds []Bound `json:"bounds,omitempty"`
	// IdleOmitted means that the shares leave out runners at which there is no work: all others that the node named by
	// Report.Owned. Nodes is the number of nodes that report to the worker; zero from workers of a build that does not say it.
	IdleOmitted bool `json:"idle_out,omitempty"`
	Nodes       int  `json:"nodes,omitempty"`
}

// quietRunners is the number of runners for each request or item up to which an answer is quiet: where nodes choose among so many
// free slots, a choice by an older report is as good.
const quietRunners = 8

// Quiet reports whether there is hardly any work at the runners of the worker, of other nodes or of its own.
func (a *Answer) Quiet() bool {
	work := 0
	for _, share := range a.Shares {
		work += share.Others + share.Batch + share.Orphans
	}
	return quietRunners*work <= len(a.Shares)
}

// IsIdle reports whether a share says only that there is no work at its runner.
func (s Share) IsIdle() bool { return s == Share{Runner: s.Runner} }

// Ledger stores the newest report of each node. It is safe for concurrent use. It is queried some hundred times
// for each report, so sums are maintained when a report arrives and not computed for each query.
type Ledger struct {
	mutex sync.Mutex
	nodes map[ident.Node]*nodeReport
	// totals is the sum of the counts of all nodes that are included.
	totals map[ident.Incarnation]int
	// tokens is the sum of the tokens of the same nodes.
	tokens map[ident.Incarnation]int
	// counted is the number of those nodes.
	counted int
	// nextExpiry is not later than the time at which the first included report expires.
	nextExpiry time.Time
}

// nodeReport is the newest report of one node.
type nodeReport struct {
	incarnation, sequence int64
	at                    time.Time
	counts                map[ident.Incarnation]int
	// tokens holds the counts with a token number; nil if the node reports none.
	tokens map[ident.Incarnation]int
	// counted means that the report is included in the ledger's totals. Reports older than Lifetime are not.
	counted bool
}

// Record stores a report. It returns the runners at which the node's work changed, or none if a newer report was
// stored already.
func (l *Ledger) Record(report *Report, now time.Time) []ident.Incarnation {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.expire(now)
	before := l.nodes[report.Node]
	if before != nil && !report.newer(before) {
		return nil
	}
	next := &nodeReport{
		incarnation: report.Incarnation, sequence: report.Sequence, at: now,
		counts: make(map[ident.Incarnation]int, len(report.Counts)),
	}
	for _, count := range report.Counts {
		next.counts[count.Runner] = max(count.Online, 0)
		next.recordTokens(count)
	}
	if l.nodes == nil {
		l.nodes, l.totals, l.tokens = map[ident.Node]*nodeReport{}, map[ident.Incarnation]int{}, map[ident.Incarnation]int{}
	}
	if before != nil {
		l.uncount(before)
	}
	l.nodes[report.Node] = next
	l.count(next)
	return next.changed(before)
}

// count adds a report to the totals. The caller holds the mutex.
func (l *Ledger) count(entry *nodeReport) {
	entry.counted = true
	l.counted++
	for runner, online := range entry.counts {
		l.totals[runner] += online
	}
	l.addTokens(entry, 1)
	if until := entry.at.Add(Lifetime); l.counted == 1 || until.Before(l.nextExpiry) {
		l.nextExpiry = until
	}
}

// uncount removes a report from the totals, if it is included. The caller holds the mutex.
func (l *Ledger) uncount(entry *nodeReport) {
	if !entry.counted {
		return
	}
	entry.counted = false
	l.counted--
	for runner, online := range entry.counts {
		l.totals[runner] -= online
		if l.totals[runner] == 0 {
			delete(l.totals, runner)
		}
	}
	l.addTokens(entry, -1)
}

// expire removes the reports older than Lifetime from the totals, and deletes the entries that an earlier call
// removed. The caller holds the mutex.
func (l *Ledger) expire(now time.Time) {
	if len(l.nodes) == 0 || !now.After(l.nextExpiry) {
		return
	}
	l.nextExpiry = now.Add(Lifetime)
	for node, entry := range l.nodes {
		until := entry.at.Add(Lifetime)
		switch {
		case !entry.counted:
			delete(l.nodes, node)
		case now.After(until):
			l.uncount(entry)
		case until.Before(l.nextExpiry):
			l.nextExpiry = until
		}
	}
}

// changed returns the runners whose counts differ from the previous report, sorted.
func (r *nodeReport) changed(before *nodeReport) []ident.Incarnation {
	var changed []ident.Incarnation
	for runner, online := range r.counts {
		if before == nil || before.counts[runner] != online {
			changed = append(changed, runner)
		}
	}
	if before != nil {
		for runner := range before.counts {
			if _, present := r.counts[runner]; !present {
				changed = append(changed, runner)
			}
		}
	}
	slices.Sort(changed)
	return changed
}

func (r *Report) newer(other *nodeReport) bool {
	if r.Incarnation != other.incarnation {
		return r.Incarnation > other.incarnation
	}
	return r.Sequence > other.sequence
}

// LastReport returns when a node's newest report arrived, or zero if there is none or its entry was deleted, so that
// the node's view of earlier answers is out of date.
func (l *Ledger) LastReport(node ident.Node) time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if entry := l.nodes[node]; entry != nil {
		return entry.at
	}
	return time.Time{}
}

// Nodes returns the number of nodes with an unexpired report.
func (l *Ledger) Nodes(now time.Time) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.expire(now)
	return l.counted
}

// Any reports whether any node has an unexpired report.
func (l *Ledger) Any(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.expire(now)
	return l.counted > 0
}

// OnlineSince returns the online work at a runner of the nodes that have reported since a time.
func (l *Ledger) OnlineSince(runner ident.Incarnation, since time.Time) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	online := 0
	for _, entry := range l.nodes {
		if entry.counted && !entry.at.Before(since) {
			online += entry.counts[runner]
		}
	}
	return online
}

// Online returns the online work at a runner of all nodes except the one named, which may be empty.
func (l *Ledger) Online(runner ident.Incarnation, except ident.Node, now time.Time) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.expire(now)
	online := l.totals[runner]
	if entry := l.nodes[except]; entry != nil && entry.counted {
		online -= entry.counts[runner]
	}
	return online
}
