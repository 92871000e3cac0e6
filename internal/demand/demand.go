// Package demand carries the online work in progress from the nodes that forward it to the workers that give out batch
// items, and the work of all back. A worker so sees a request as soon as it is sent and clears a place for it before it
// waits, where a runner's report would show only the queue, some hundred milliseconds later; and nodes that choose
// runners at the same moment see each other's choices.
package demand

import (
	"slices"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/poison"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Lifetime is how long what a node told counts without news from it: a few times IdleRefreshEvery, so that one lost call
// forgets nothing, and no longer than the requests of a dead node may go on at their runners.
const Lifetime = 1500 * time.Millisecond

// OldAfter is how long ago a request was sent that every report of its runner shows which its owner has read: it reads a runner each 200 ms at
// least where it looks for runs of dead nodes, and a report is some 100 ms old by then.
const OldAfter = 300 * time.Millisecond

// Count is the online work that one node has at one runner.
type Count struct {
	Runner ident.Incarnation `json:"runner"`
	Online int               `json:"online"`
	// Suspect says that the node passes the runner over, because it could not be reached or did not answer.
	Suspect bool `json:"suspect,omitempty"`
	// Old are those of the online requests that were sent more than OldAfter ago. It is told until the owner has answered once, so that it
	// does not take them for runs of dead nodes.
	Old int `json:"old,omitempty"`
	// Tokens are those of the node's online requests there, prompts and the most that may be made.
	Tokens int `json:"tokens,omitempty"`
	// Pace is the last that the runner told this node, PaceAgeMs how long before the report that was, in milliseconds. Zero where
	// the node knows none, or its build does not read it.
	Pace      work.Pace `json:"pace,omitempty"`
	PaceAgeMs int64     `json:"pace_age_ms,omitempty"`
	// Heard is when that was by this node's clock, which is told to nobody.
	Heard time.Time `json:"-"`
}

// HasWork says whether the count tells of more than a pace.
func (c Count) HasWork() bool { return c.Online > 0 || c.Suspect }

// withoutPace is the count of the work alone, however old it is.
func (c Count) withoutPace() Count {
	c.Pace, c.PaceAgeMs, c.Heard, c.Old = 0, 0, time.Time{}, 0
	return c
}

// Use is what the requests of one tenant take of a service at one node.
type Use struct {
	Service string       `json:"service"`
	Tenant  ident.Tenant `json:"tenant"`
	// Taken are the places that its requests have, Waiting the requests that have none.
	Taken   int `json:"taken,omitempty"`
	Waiting int `json:"waiting,omitempty"`
}

// Bound is how many places of a service the requests of a tenant may take at the node that asks, while places are scarce.
type Bound struct {
	Service string       `json:"service"`
	Tenant  ident.Tenant `json:"tenant"`
	Places  int          `json:"places"`
}

// Waiting are the requests for one service that wait for a place at a node.
type Waiting struct {
	Service string `json:"service"`
	// OnTime are those that can still be answered within their objective; the first of them runs out of time in LeftMs milliseconds.
	OnTime int   `json:"on_time,omitempty"`
	LeftMs int64 `json:"left_ms,omitempty"`
	// Late are the others.
	Late int `json:"late,omitempty"`
}

// Report is what a node tells the owner of some runners: all its online work at them, and those that it suspects. Runners
// that it does not name have neither.
type Report struct {
	Node ident.Node `json:"node"`
	// Incarnation rises with each start of the node's process, Sequence with each of its reports to one worker.
	Incarnation int64 `json:"incarnation"`
	Sequence    int64 `json:"sequence"`
	// AgeMs is how long the node's process has lived, in milliseconds, at least one. Zero from nodes that have
	// lived for long, or whose build tells none.
	AgeMs  int64   `json:"age_ms,omitempty"`
	Counts []Count `json:"counts"`
	// EndsRead is how far the node has read what the worker knows of requests that end their runners.
	EndsRead poison.Cursor `json:"ends_read,omitzero"`
	// Uses are those of the services of which the worker keeps account; empty from nodes of a build that tells none.
	Uses []Use `json:"uses,omitempty"`
	// Waiting are the requests that wait for a place of services whose places the worker rations; empty otherwise, and from nodes of a
	// build that asks for none.
	Waiting []Waiting `json:"waiting,omitempty"`
}

// Age is how long the node's process had lived when it made the report, or zero where it does not say.
func (r *Report) Age() time.Duration { return time.Duration(r.AgeMs) * time.Millisecond }

// Share is what a worker knows of the work at one of its runners.
type Share struct {
	Runner ident.Incarnation `json:"runner"`
	// Others is the online work of all nodes but the one that asks, Batch the items of the worker.
	Others int `json:"others"`
	Batch  int `json:"batch"`
	// Silent says that the runner answers neither some node nor the worker.
	Silent bool `json:"silent,omitempty"`
	// Orphans are the runs at the runner that no node tells of: work of nodes that are gone.
	Orphans int `json:"orphans,omitempty"`
	// Rationed says that the worker gives out the runner's places one by one: the asking node may begin as many requests there as are
	// Granted, from its question on, and none more until the next answer.
	Rationed bool `json:"rationed,omitempty"`
	Granted  int  `json:"granted,omitempty"`
	// GrantedLate says that they may be requests that are late already: none that can be on time waits for them.
	GrantedLate bool `json:"granted_late,omitempty"`
	// Tokens are those of the requests of all nodes but the one that asks, and of the worker's items. Memory is how many the runner can
	// hold. Both are told only where all together are above half of it.
	Tokens int `json:"tokens,omitempty"`
	Memory int `json:"memory,omitempty"`
	// Pace is the newest that any node heard of the runner, PaceAgeMs how long before the answer that was, in milliseconds. Zero
	// where nobody knows it, or the worker's build does not read it.
	Pace      work.Pace `json:"pace,omitempty"`
	PaceAgeMs int64     `json:"pace_age_ms,omitempty"`
}

// Batch is the batch work of a worker, for those that choose who runs a job.
type Batch struct {
	Node ident.Node `json:"node"`
	// Lease is what the worker's claims hang on; zero has none, and takes no job.
	Lease int64 `json:"lease"`
	// Waiting are the items that no runner has, Places those that its runners could run now.
	Waiting int `json:"waiting"`
	Places  int `json:"places"`
	// RunMs is the mean time of a run, in milliseconds.
	RunMs int64 `json:"run_ms"`
}

// Wait estimates how long items wait that come behind those of the worker and some more.
func (b Batch) Wait(more int) time.Duration {
	run := time.Duration(b.RunMs) * time.Millisecond
	return run * time.Duration(b.Waiting+more) / time.Duration(max(b.Places, 1))
}

// Answer is a worker's answer to a report: the shares of all runners that it owns, its batch work, and what the node lacks of
// the requests that end their runners. Nodes report twice a second at least, so that they hear of such a request within that.
type Answer struct {
	Shares []Share     `json:"shares"`
	Batch  Batch       `json:"batch"`
	Ends   poison.News `json:"ends,omitzero"`
	// Bounds are those of the tenants that have more than their share of places that are scarce. A tenant that is not named is
	// bounded by nothing.
	Bounds []Bound `json:"bounds,omitempty"`
}

// Ledger holds what nodes told. It is safe for concurrent use. It is asked some hundred times for each report, so that the
// work at a runner is added up as reports come and not as it is asked for.
type Ledger struct {
	mutex sync.Mutex
	nodes map[ident.Node]*told
	// totals is the sum of the counts of all nodes that are counted.
	totals map[ident.Incarnation]int
	// tokens is the sum of the tokens of the same nodes.
	tokens map[ident.Incarnation]int
	// counted is the number of those nodes.
	counted int
	// nextExpiry is no later than the first moment at which a counted node has been silent for too long.
	nextExpiry time.Time
}

// told is the newest report of one node.
type told struct {
	incarnation, sequence int64
	at                    time.Time
	counts                map[ident.Incarnation]int
	// tokens are those of the counts that tell any; nil from a node that tells none.
	tokens map[ident.Incarnation]int
	// counted says that the counts are part of the ledger's totals: nothing older than Lifetime is.
	counted bool
}

// Take takes over a report. It returns the runners at which the node's work changed; none where a newer report was taken
// already.
func (l *Ledger) Take(report *Report, now time.Time) []ident.Incarnation {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.expire(now)
	before := l.nodes[report.Node]
	if before != nil && !report.newer(before) {
		return nil
	}
	next := &told{
		incarnation: report.Incarnation, sequence: report.Sequence, at: now,
		counts: make(map[ident.Incarnation]int, len(report.Counts)),
	}
	for _, count := range report.Counts {
		next.counts[count.Runner] = max(count.Online, 0)
		next.noteTokens(count)
	}
	if l.nodes == nil {
		l.nodes, l.totals, l.tokens = map[ident.Node]*told{}, map[ident.Incarnation]int{}, map[ident.Incarnation]int{}
	}
	if before != nil {
		l.uncount(before)
	}
	l.nodes[report.Node] = next
	l.count(next)
	return next.changed(before)
}

// count adds a report to the totals. The caller holds the mutex.
func (l *Ledger) count(kept *told) {
	kept.counted = true
	l.counted++
	for runner, online := range kept.counts {
		l.totals[runner] += online
	}
	l.countTokens(kept, 1)
	if until := kept.at.Add(Lifetime); l.counted == 1 || until.Before(l.nextExpiry) {
		l.nextExpiry = until
	}
}

// uncount takes a report out of the totals, if it is part of them. The caller holds the mutex.
func (l *Ledger) uncount(kept *told) {
	if !kept.counted {
		return
	}
	kept.counted = false
	l.counted--
	for runner, online := range kept.counts {
		l.totals[runner] -= online
		if l.totals[runner] == 0 {
			delete(l.totals, runner)
		}
	}
	l.countTokens(kept, -1)
}

// expire takes out what silent nodes told, and forgets the nodes that it took out the last time. The caller holds the mutex.
func (l *Ledger) expire(now time.Time) {
	if len(l.nodes) == 0 || !now.After(l.nextExpiry) {
		return
	}
	l.nextExpiry = now.Add(Lifetime)
	for node, kept := range l.nodes {
		until := kept.at.Add(Lifetime)
		switch {
		case !kept.counted:
			delete(l.nodes, node)
		case now.After(until):
			l.uncount(kept)
		case until.Before(l.nextExpiry):
			l.nextExpiry = until
		}
	}
}

// changed returns the runners at which the counts differ from those before, in the order of their names.
func (t *told) changed(before *told) []ident.Incarnation {
	var changed []ident.Incarnation
	for runner, online := range t.counts {
		if before == nil || before.counts[runner] != online {
			changed = append(changed, runner)
		}
	}
	if before != nil {
		for runner := range before.counts {
			if _, stays := t.counts[runner]; !stays {
				changed = append(changed, runner)
			}
		}
	}
	slices.Sort(changed)
	return changed
}

func (r *Report) newer(than *told) bool {
	if r.Incarnation != than.incarnation {
		return r.Incarnation > than.incarnation
	}
	return r.Sequence > than.sequence
}

// Heard returns when a node last told of its work, or zero where it did not, or too long ago for it to know what it was answered.
func (l *Ledger) Heard(node ident.Node) time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if kept := l.nodes[node]; kept != nil {
		return kept.at
	}
	return time.Time{}
}

// Nodes returns how many nodes tell of their work.
func (l *Ledger) Nodes(now time.Time) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.expire(now)
	return l.counted
}

// Any says whether nodes tell of their work.
func (l *Ledger) Any(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.expire(now)
	return l.counted > 0
}

// Online returns the online work at a runner by all nodes but the one named, which may be empty.
func (l *Ledger) Online(runner ident.Incarnation, except ident.Node, now time.Time) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.expire(now)
	online := l.totals[runner]
	if kept := l.nodes[except]; kept != nil && kept.counted {
		online -= kept.counts[runner]
	}
	return online
}
