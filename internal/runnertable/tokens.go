package runnertable

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// A runner keeps the prompts and the output of all requests that it holds, those that wait there too, and falls over when they grow beyond
// its memory. What a node knows of that is its own requests, and those of the others as far as the owner of the runner tells.

const (
	// memoryShare of its memory may be taken by the requests at a runner: nodes choose at the same moment, and hear of each other later.
	memoryShare = 0.9
	// resumedShare may be taken where a request is sent that ran already: it can't be sent away, and there are few of them.
	resumedShare = 0.95
)

// NoteMemory takes over how many tokens a runner can hold, as it told.
func (t *Table) NoteMemory(id ident.Incarnation, tokens int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.runners[id]; known != nil && tokens > 0 {
		known.memory = tokens
	}
}

// Tokens returns those of this node's work at a runner, prompts and the most that may be made, and how many the runner can hold; zero where
// it never told.
func (t *Table) Tokens(id ident.Incarnation) (own, memory int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.runners[id]; known != nil {
		return known.tokens[Online] + known.tokens[Batch], known.memory
	}
	return 0, 0
}

// fits says whether a runner's memory has room for a request beside all that it is thought to hold. One that is idle is always asked: it
// says itself what is too large for it.
func (e *entry) fits(wish Wish, now time.Time) bool {
	held := e.tokens[Online] + e.tokens[Batch]
	if e.share.Within(shareMemory, now) {
		held += e.share.Value().tokens
	}
	room := int(wish.memoryShare()*float64(e.memory)) - held
	return e.memory == 0 || held == 0 || wish.Tokens <= room || wish.weight(e.uncached(wish, false, now)) <= room
}

// memoryShare is the part of a runner's memory that may be taken with the request.
func (w Wish) memoryShare() float64 {
	if w.Class == Online && w.Full == nil {
		return resumedShare
	}
	return memoryShare
}

// weight is what a request takes of a runner's memory that would have to read so many tokens of its prompt: the parts that it keeps for
// others are there once.
func (w Wish) weight(uncached int) int { return max(w.Tokens-w.PromptTokens, 0) + uncached }
