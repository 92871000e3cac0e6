package runnertable

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// A runner holds the prompts and the output of all its requests in memory, including those that wait in its queue, and
// crashes when they exceed it. A node knows the memory use of its own requests, and that of other nodes from the
// reports of the runner's owner.

const (
	// maxMemoryShare is the part of a runner's memory that requests may use. The rest is a margin for nodes that
	// choose the same runner at the same time, before each is informed of the choice of the other.
	maxMemoryShare = 0.9
	// maxResumedMemoryShare is the limit for requests that may have run already. They can't be refused, and there are
	// few of them.
	maxResumedMemoryShare = 0.95
)

// SetMemory stores how many tokens a runner can hold, as reported by the runner.
func (t *Table) SetMemory(id ident.Incarnation, tokens int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.runners[id]; known != nil && tokens > 0 {
		known.memory = tokens
	}
}

// MemoryUse returns the memory use of this node's work at a runner, prompts and maximum output, and the number of tokens
// the runner can hold, which is zero if it was never reported.
func (t *Table) MemoryUse(id ident.Incarnation) (own, memory int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.runners[id]; known != nil {
		return known.tokens[Online] + known.tokens[Batch], known.memory
	}
	return 0, 0
}

// fits says whether a runner's memory has enough free space for a request, given all work it is known to hold. An idle
// runner always fits: it refuses a request that is too large for it.
func (e *entry) fits(request PickRequest, now time.Time) bool {
	held := e.tokens[Online] + e.tokens[Batch]
	if e.share.Within(shareLifetime, now) {
		held += e.share.Value().tokens
	}
	free := int(request.maxMemoryShare()*float64(e.memory)) - held
	return e.memory == 0 || held == 0 || request.Tokens <= free || request.memoryTokens(e.uncached(request, false, now)) <= free
}

// maxMemoryShare returns the part of a runner's memory that may be in use with the request.
func (w PickRequest) maxMemoryShare() float64 {
	if w.Class == Online && w.RefusedBy == nil {
		return maxResumedMemoryShare
	}
	return maxMemoryShare
}

// memoryTokens returns the memory that a request needs at a runner that has to read uncached tokens of its prompt.
// Parts that are cached for other requests are stored once.
func (w PickRequest) memoryTokens(uncached int) int {
	return max(w.Tokens-w.PromptTokens, 0) + uncached
}
