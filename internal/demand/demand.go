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
)

// Lifetime is how long what a node told counts without news from it: a few times IdleRefreshEvery, so that one lost call
// forgets nothing, and no longer than the requests of a dead node may go on at their runners.
const Lifetime = 1500 * time.Millisecond

// Count is the online work that one node has at one runner.
type Count struct {
	Runner ident.Runner `json:"runner"`
	Online int          `json:"online"`
	// Suspect says that the node passes the runner over, because it could not be reached or did not answer.
	Suspect bool `json:"suspect,omitempty"`
}

// Report is what a node tells the owner of some runners: all its online work at them, and those that it suspects. Runners
// that it does not name have neither.
type Report struct {
	Node ident.Node `json:"node"`
	// Incarnation rises with each start of the node's process, Sequence with each of its reports to one worker.
	Incarnation int64   `json:"incarnation"`
	Sequence    int64   `json:"sequence"`
	Counts      []Count `json:"counts"`
}

// Share is what a worker knows of the work at one of its runners.
type Share struct {
	Runner ident.Runner `json:"runner"`
	// Others is the online work of all nodes but the one that asks, Batch the items of the worker.
	Others int `json:"others"`
	Batch  int `json:"batch"`
	// Silent says that the runner answers neither some node nor the worker.
	Silent bool `json:"silent,omitempty"`
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

// Answer is a worker's answer to a report: the shares of all runners that it owns, and its batch work.
type Answer struct {
	Shares []Share `json:"shares"`
	Batch  Batch   `json:"batch"`
}

// Ledger holds what nodes told. It is safe for concurrent use.
type Ledger struct {
	mutex sync.Mutex
	nodes map[ident.Node]*told
}

// told is the newest report of one node.
type told struct {
	incarnation, sequence int64
	at                    time.Time
	counts                map[ident.Runner]int
}

// Take takes over a report. It returns the runners at which the node's work changed; none where a newer report was taken
// already.
func (l *Ledger) Take(report *Report, now time.Time) []ident.Runner {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	before := l.nodes[report.Node]
	if before != nil && !report.newer(before) {
		return nil
	}
	next := &told{
		incarnation: report.Incarnation, sequence: report.Sequence, at: now,
		counts: make(map[ident.Runner]int, len(report.Counts)),
	}
	for _, count := range report.Counts {
		next.counts[count.Runner] = max(count.Online, 0)
	}
	if l.nodes == nil {
		l.nodes = map[ident.Node]*told{}
	}
	l.nodes[report.Node] = next
	l.forget(now)
	return next.changed(before)
}

// changed returns the runners at which the counts differ from those before, in the order of their names.
func (t *told) changed(before *told) []ident.Runner {
	var changed []ident.Runner
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

// forget drops the nodes of which nothing was heard for long. The caller holds the mutex.
func (l *Ledger) forget(now time.Time) {
	for node, kept := range l.nodes {
		if now.Sub(kept.at) > Lifetime {
			delete(l.nodes, node)
		}
	}
}

// Any says whether nodes tell of their work.
func (l *Ledger) Any(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, kept := range l.nodes {
		if now.Sub(kept.at) <= Lifetime {
			return true
		}
	}
	return false
}

// Online returns the online work at a runner by all nodes but the one named, which may be empty.
func (l *Ledger) Online(runner ident.Runner, except ident.Node, now time.Time) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	online := 0
	for node, kept := range l.nodes {
		if node != except && now.Sub(kept.at) <= Lifetime {
			online += kept.counts[runner]
		}
	}
	return online
}
