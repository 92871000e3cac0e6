package schedule

import (
	"container/list"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// PrefixHistory remembers which runners were lately sent which prompt blocks. It is bounded and forgets the least
// recently used block first. It is not safe for concurrent use.
type PrefixHistory struct {
	limit  int
	blocks map[uint64]*list.Element
	recent *list.List
}

// prefixEntry is one remembered block and the runners that probably cache it.
type prefixEntry struct {
	block   uint64
	runners []ident.Runner
}

// maxRunnersPerBlock bounds the runners remembered for one block; the oldest is forgotten first.
const maxRunnersPerBlock = 8

// NewPrefixHistory returns a history of at most limit blocks. A block takes about 200 bytes.
func NewPrefixHistory(limit int) *PrefixHistory {
	return &PrefixHistory{limit: max(1, limit), blocks: map[uint64]*list.Element{}, recent: list.New()}
}

// Sent records that a prompt with these blocks went to the runner.
func (h *PrefixHistory) Sent(runner ident.Runner, blocks []uint64) {
	for _, block := range blocks {
		h.Stored(runner, block)
	}
}

// Stored records that the runner has the block, for example by a cache event.
func (h *PrefixHistory) Stored(runner ident.Runner, block uint64) {
	element, known := h.blocks[block]
	if !known {
		element = h.recent.PushFront(&prefixEntry{block: block})
		h.blocks[block] = element
		h.evict()
	}
	h.recent.MoveToFront(element)
	entry := element.Value.(*prefixEntry)
	entry.runners = append(without(entry.runners, runner), runner)
	if len(entry.runners) > maxRunnersPerBlock {
		entry.runners = entry.runners[1:]
	}
}

// Removed records that the runner no longer has the block.
func (h *PrefixHistory) Removed(runner ident.Runner, block uint64) {
	element, known := h.blocks[block]
	if !known {
		return
	}
	entry := element.Value.(*prefixEntry)
	entry.runners = without(entry.runners, runner)
	if len(entry.runners) == 0 {
		h.recent.Remove(element)
		delete(h.blocks, block)
	}
}

// Match returns for each runner that has the first block how many leading blocks it has without a gap.
func (h *PrefixHistory) Match(blocks []uint64) map[ident.Runner]int {
	var matched map[ident.Runner]int
	for depth, block := range blocks {
		element, known := h.blocks[block]
		if !known {
			break
		}
		if matched == nil {
			matched = map[ident.Runner]int{}
		}
		if !extendMatch(matched, element.Value.(*prefixEntry).runners, depth) {
			break
		}
	}
	return matched
}

// extendMatch lengthens the match of runners that matched every earlier block, and reports whether there was any.
func extendMatch(matched map[ident.Runner]int, runners []ident.Runner, depth int) bool {
	extended := false
	for _, runner := range runners {
		if matched[runner] == depth {
			matched[runner] = depth + 1
			extended = true
		}
	}
	return extended
}

// Len returns the number of blocks remembered.
func (h *PrefixHistory) Len() int { return len(h.blocks) }

func (h *PrefixHistory) evict() {
	for len(h.blocks) > h.limit {
		oldest := h.recent.Back()
		delete(h.blocks, oldest.Value.(*prefixEntry).block)
		h.recent.Remove(oldest)
	}
}

func without(runners []ident.Runner, removed ident.Runner) []ident.Runner {
	kept := runners[:0]
	for _, runner := range runners {
		if runner != removed {
			kept = append(kept, runner)
		}
	}
	return kept
}
