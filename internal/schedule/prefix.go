package schedule

import (
	"container/list"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// PrefixHistory records which prompt blocks were recently sent to which runners. It is an LRU cache: above its limit the
// least recently sent block is evicted. It is not safe for concurrent use.
type PrefixHistory struct {
	limit  int
	blocks map[uint64]*list.Element
	recent *list.List
}

// prefixEntry is a block and the runners it was sent to, the most recent last.
type prefixEntry struct {
	block   uint64
	holders []prefixHolder
}

// prefixHolder is a runner that probably caches a block, because the block was sent to it.
type prefixHolder struct {
	runner ident.Runner
	sentAt time.Time
}

// maxRunnersPerBlock limits the runners stored for one block; the one with the oldest send is evicted.
const maxRunnersPerBlock = 8

// NewPrefixHistory returns a history of at most limit blocks. A block takes about 300 bytes of memory.
func NewPrefixHistory(limit int) *PrefixHistory {
	return &PrefixHistory{limit: max(1, limit), blocks: map[uint64]*list.Element{}, recent: list.New()}
}

// Sent records that a prompt with these blocks was sent to the runner.
func (h *PrefixHistory) Sent(runner ident.Runner, blocks []uint64, now time.Time) {
	for _, block := range blocks {
		h.sent(prefixHolder{runner: runner, sentAt: now}, block)
	}
}

func (h *PrefixHistory) sent(holder prefixHolder, block uint64) {
	element, known := h.blocks[block]
	if !known {
		element = h.recent.PushFront(&prefixEntry{block: block})
		h.blocks[block] = element
		h.evict()
	}
	h.recent.MoveToFront(element)
	entry := element.Value.(*prefixEntry)
	others := slices.DeleteFunc(entry.holders, func(other prefixHolder) bool { return other.runner == holder.runner })
	entry.holders = append(others, holder)
	if len(entry.holders) > maxRunnersPerBlock {
		entry.holders = slices.Delete(entry.holders, 0, 1)
	}
}

// PrefixMatch is how much of a prompt was recently sent to one runner.
type PrefixMatch struct {
	// Depth counts the consecutive leading blocks that were sent to the runner.
	Depth int
	// Fresh counts the consecutive leading blocks that were sent after the freshAfter time of Match.
	Fresh int
}

// Match returns the match of each runner that was sent the first block. Blocks sent after freshAfter count as fresh.
func (h *PrefixHistory) Match(blocks []uint64, freshAfter time.Time) map[ident.Runner]PrefixMatch {
	var matched map[ident.Runner]PrefixMatch
	for depth, block := range blocks {
		element, known := h.blocks[block]
		if !known {
			break
		}
		if matched == nil {
			matched = map[ident.Runner]PrefixMatch{}
		}
		if !extendMatch(matched, element.Value.(*prefixEntry).holders, depth, freshAfter) {
			break
		}
	}
	return matched
}

// extendMatch extends the match of the runners that matched every earlier block, and reports whether there was any.
func extendMatch(matched map[ident.Runner]PrefixMatch, holders []prefixHolder, depth int, freshAfter time.Time) bool {
	extended := false
	for _, holder := range holders {
		match := matched[holder.runner]
		if match.Depth != depth {
			continue
		}
		if match.Fresh == depth && holder.sentAt.After(freshAfter) {
			match.Fresh = depth + 1
		}
		match.Depth = depth + 1
		matched[holder.runner] = match
		extended = true
	}
	return extended
}

// Len returns the number of blocks stored.
func (h *PrefixHistory) Len() int { return len(h.blocks) }

func (h *PrefixHistory) evict() {
	for len(h.blocks) > h.limit {
		oldest := h.recent.Back()
		delete(h.blocks, oldest.Value.(*prefixEntry).block)
		h.recent.Remove(oldest)
	}
}
