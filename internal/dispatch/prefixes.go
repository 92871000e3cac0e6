package dispatch

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/engine/cacheindex"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/schedule"
)

// Affinity selects the data from which a node estimates how much of a prompt a runner has in its prefix cache.
type Affinity string

// Values of Affinity.
const (
	// AffinityNone disables prefix affinity.
	AffinityNone Affinity = "none"
	// AffinityHistory uses the prompts that this node has sent to each runner.
	AffinityHistory Affinity = "history"
	// AffinityEvents uses the history, corrected by the cache contents that the engines report.
	AffinityEvents Affinity = "events"
)

const (
	// prefixHistoryBlocks limits the prompt blocks in the history of a node, which take about 6 MB.
	prefixHistoryBlocks = 20000
	// maxCacheViews limits the runners with a view of their cache. A view takes 5 KB on average and 38 KB when full.
	maxCacheViews = 128
	// sentGracePeriod is how long a sent prompt counts as cached although the view does not show it. It must cover the
	// prefill, the lag of the events, the owner's poll interval and the time to the next reply.
	sentGracePeriod = 5 * time.Second
)

// prefixes is a node's view of the prompts that runners have cached. It is guarded by the lock of the table.
//
// Invariant: it only affects the order of candidates. Wrong data can cost time, but never causes a wrong answer or a refusal.
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

// sent records that a prompt was sent to a runner.
func (p *prefixes) sent(runner ident.Runner, blocks []uint64, now time.Time) {
	if p.affinity != AffinityNone {
		p.history.Sent(runner, blocks, now)
	}
}

// apply updates the view of a runner's cache with a delta, and evicts the view updated longest ago if there are too many.
func (p *prefixes) apply(runner ident.Runner, delta cacheindex.Delta, now time.Time) {
	view, known := p.views[runner]
	if !known {
		view = &cacheindex.View{}
		p.views[runner] = view
	}
	view.Take(delta, now)
	if len(p.views) > maxCacheViews {
		p.forget(p.oldest())
	}
}

// oldest returns the runner whose view was updated longest ago.
func (p *prefixes) oldest() ident.Runner {
	var oldest ident.Runner
	var updated time.Time
	for runner, view := range p.views {
		at := view.TakenAt()
		if oldest == "" || at.Before(updated) || (at.Equal(updated) && runner < oldest) {
			oldest, updated = runner, at
		}
	}
	return oldest
}

func (p *prefixes) forget(runner ident.Runner) { delete(p.views, runner) }

// match returns the data from which depth estimates the cached blocks of the prompt on each runner.
func (p *prefixes) match(blocks []uint64, now time.Time) prefixMatch {
	matched := prefixMatch{blocks: blocks, now: now}
	if p.affinity == AffinityNone {
		return matched
	}
	matched.sent = p.history.Match(blocks, now.Add(-sentGracePeriod))
	if p.affinity == AffinityEvents {
		matched.views = p.views
	}
	return matched
}

// prefixMatch is the cache data for one prompt.
type prefixMatch struct {
	blocks []uint64
	now    time.Time
	sent   map[ident.Runner]schedule.PrefixMatch
	views  map[ident.Runner]*cacheindex.View
}

// depth estimates how many leading blocks the runner has cached: the depth by history limited to the bounds by the view, and
// at least the blocks sent within sentGracePeriod, which the view may not show yet.
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

// SetAffinity sets the affinity mode. It must be called before the table is used.
func (t *Table) SetAffinity(affinity Affinity) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.prefixes.affinity = affinity
}

// CacheMark returns the position up to which this node's view of a runner's cache is current, or false if the affinity mode
// uses no views.
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

// ObserveCache applies a delta of a runner's cache received from its owner.
func (t *Table) ObserveCache(runner ident.Runner, delta cacheindex.Delta, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if _, listed := t.runners[runner]; listed && t.prefixes.affinity == AffinityEvents {
		t.prefixes.apply(runner, delta, now)
	}
}
