package runnertable

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// smallestSharedTokens is the shared beginning from which on the place of a prompt matters: below it, reading it
	// anew takes less than the spread of everything else.
	smallestSharedTokens = 1000
	// prefixLifetime is how long a part sent to a runner is thought to be kept there.
	prefixLifetime = 20 * time.Second
	// maximumParts bounds the parts remembered for one runner.
	maximumParts = 64
)

// prefixHistory remembers the parts this node sent to one runner, and when.
type prefixHistory struct {
	sent map[string]time.Time
}

// add notes the shared parts of a prompt; the last part is the request's own.
func (h *prefixHistory) add(prefix []work.Part, now time.Time) {
	if sharedTokens(prefix) < smallestSharedTokens {
		return
	}
	if h.sent == nil {
		h.sent = map[string]time.Time{}
	}
	for _, part := range prefix[:len(prefix)-1] {
		h.sent[part.ID] = now
	}
	if len(h.sent) > maximumParts {
		h.dropOldest()
	}
}

func (h *prefixHistory) dropOldest() {
	oldest, at := "", time.Time{}
	for id, sent := range h.sent {
		if oldest == "" || sent.Before(at) {
			oldest, at = id, sent
		}
	}
	delete(h.sent, oldest)
}

// kept returns the tokens at the beginning of the prompt that the runner is thought to keep.
func (h *prefixHistory) kept(prefix []work.Part, now time.Time) int {
	tokens := 0
	for _, part := range prefix[:max(len(prefix)-1, 0)] {
		sent, known := h.sent[part.ID]
		if !known || now.Sub(sent) > prefixLifetime {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// sharedTokens returns the tokens of all parts but the request's own.
func sharedTokens(prefix []work.Part) int {
	tokens := 0
	for _, part := range prefix[:max(len(prefix)-1, 0)] {
		tokens += part.Tokens
	}
	return tokens
}

// homeRank orders runners for a shared beginning the same way at every node (rendezvous hashing), so that nodes which
// do not talk to each other send it to the same runner.
func homeRank(prefix []work.Part, runner ident.Incarnation) uint64 {
	shared := prefix[len(prefix)-2]
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(shared.ID)
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(string(runner))
	return digest.Sum64()
}
