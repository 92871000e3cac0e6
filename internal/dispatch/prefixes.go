package dispatch

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/engine/cacheindex"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/schedule"
)

// Affinity says what a node goes by when it looks for a runner that has a prompt's beginning cached.
type Affinity string

// The ways of affinity.
const (
	// AffinityNone looks at no cache.
	AffinityNone Affinity = "none"
	// AffinityHistory goes by what this node has sent to which runner.
	AffinityHistory Affinity = "history"
	// AffinityEvents goes by the node's history, corrected by what the engines say they hold.
	AffinityEvents Affinity = "events"
)

const (
	// prefixHistoryBlocks bounds the remembered prompt blocks of a node: about 6 MB.
	prefixHistoryBlocks = 20000
	// maxViews bounds the runners whose caches a node keeps a view of: 5 KB each as a rule, 38 KB full.
	maxViews = 128
	// sentTrust is how long what was sent counts against a view that does not show it: the prefill, the lag of the events,
	// the owner's poll and the next reply must fit.
	sentTrust = 5 * time.Second
)

// prefixes is what a node knows of the prompts that runners have cached. The table's lock guards it.
//
// Invariant: it only says where a prompt may cost less; that it is wrong can cost time, never an answer.
type prefixes struct {
	affinity Affinity
	history  *schedule.PrefixHistory
	views    map[ident.Runner]*cacheindex.View
}

func newPrefixes() *prefixes {
	return &prefixes{
		affinity: AffinityEvents,
		history:  schedule.NewPrefixHistory(prefixHistoryBlocks),
		views:    map[ident.Runner]*cacheindex.View{},
	}
}

// sent records that a prompt went to a runner.
func (p *prefixes) sent(runner ident.Runner, blocks []uint64, now time.Time) {
	if p.affinity != AffinityNone {
		p.history.Sent(runner, blocks, now)
	}
}

// take takes a delta of a runner's cache.
func (p *prefixes) take(runner ident.Runner, delta cacheindex.Delta, now time.Time) {
	view, known := p.views[runner]
	if !known {
		view = &cacheindex.View{}
		p.views[runner] = view
	}
	view.Take(delta, now)
	if len(p.views) > maxViews {
		p.forget(p.oldest())
	}
}

// oldest returns the runner of which was heard longest ago.
func (p *prefixes) oldest() ident.Runner {
	var oldest ident.Runner
	var heard time.Time
	for runner, view := range p.views {
		at := view.TakenAt()
		if oldest == "" || at.Before(heard) || (at.Equal(heard) && runner < oldest) {
			oldest, heard = runner, at
		}
	}
	return oldest
}

func (p *prefixes) forget(runner ident.Runner) { delete(p.views, runner) }

// match returns what is known of the prompt's blocks at the runners.
func (p *prefixes) match(blocks []uint64, now time.Time) prefixMatch {
	matched := prefixMatch{blocks: blocks, now: now}
	if p.affinity == AffinityNone {
		return matched
	}
	matched.sent = p.history.Match(blocks, now.Add(-sentTrust))
	if p.affinity == AffinityEvents {
		matched.views = p.views
	}
	return matched
}

// prefixMatch is what is known of one prompt.
type prefixMatch struct {
	blocks []uint64
	now    time.Time
	sent   map[ident.Runner]schedule.PrefixMatch
	views  map[ident.Runner]*cacheindex.View
}

// depth returns how many leading blocks the runner probably has cached: the history within the bounds of the view, and
// what was sent so lately that the view cannot show it.
func (m *prefixMatch) depth(runner ident.Runner) int {
	sent := m.sent[runner]
	view, known := m.views[runner]
	if !known {
		return sent.Depth
	}
	least, greatest, known := view.Bounds(m.blocks, m.now)
	if !known {
		return sent.Depth
	}
	return max(sent.Fresh, least, min(sent.Depth, greatest))
}

// SetAffinity says what the node goes by to find cached prompts. It must be called before the table is used.
func (t *Table) SetAffinity(affinity Affinity) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.prefixes.affinity = affinity
}

// CacheMark returns how far this node's view of a runner's cache has come, or false if it needs none.
func (t *Table) CacheMark(runner ident.Runner) (cacheindex.Mark, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.prefixes.affinity != AffinityEvents {
		return cacheindex.Mark{}, false
	}
	view, known := t.prefixes.views[runner]
	if !known {
		return cacheindex.Mark{}, true
	}
	return view.Mark(), true
}

// ObserveCache takes a delta of a runner's cache from its owner.
func (t *Table) ObserveCache(runner ident.Runner, delta cacheindex.Delta, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if _, listed := t.runners[runner]; listed && t.prefixes.affinity == AffinityEvents {
		t.prefixes.take(runner, delta, now)
	}
}
