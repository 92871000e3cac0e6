package runnertable

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// smallestSharedTokens is the shared prefix length from which prefix affinity is used. Recomputing a shorter
	// prefix costs less than the variation of the other delays.
	smallestSharedTokens = 1000
	// prefixLifetime is how long a part is assumed to stay in a runner's prefix cache after it was sent.
	prefixLifetime = 20 * time.Second
	// maximumParts bounds the number of parts recorded for one runner.
	maximumParts = 64
)

// prefixHistory records the prompt parts this node sent to one runner, and when.
type prefixHistory struct {
	// sent has at most maximumParts entries. Parts are named by a hash, since clients choose how long their ids are.
	sent map[uint64]time.Time
}

// add records the shared parts of a prompt. The last part is the request's own and is not recorded.
func (h *prefixHistory) add(prefix []work.Part, now time.Time) {
	if sharedTokens(prefix) < smallestSharedTokens {
		return
	}
	if h.sent == nil {
		h.sent = map[uint64]time.Time{}
	}
	for _, part := range prefix[:min(len(prefix)-1, maximumParts)] {
		h.sent[xxhash.Sum64String(part.ID)] = now
	}
	for len(h.sent) > maximumParts {
		h.dropOldest()
	}
}

func (h *prefixHistory) dropOldest() {
	var oldest uint64
	var at time.Time
	found := false
	for part, sent := range h.sent {
		if !found || sent.Before(at) {
			oldest, at, found = part, sent, true
		}
	}
	delete(h.sent, oldest)
}

// cached returns the number of tokens at the start of the prompt that are assumed to be in the runner's prefix cache.
func (h *prefixHistory) cached(prefix []work.Part, now time.Time) int {
	tokens := 0
	for _, part := range prefix[:max(len(prefix)-1, 0)] {
		sent, known := h.sent[xxhash.Sum64String(part.ID)]
		if !known || now.Sub(sent) > prefixLifetime {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// sharedTokens returns the number of tokens of all parts except the last, which is the request's own.
func sharedTokens(prefix []work.Part) int {
	tokens := 0
	for _, part := range prefix[:max(len(prefix)-1, 0)] {
		tokens += part.Tokens
	}
	return tokens
}

// prefixRank ranks runners for a shared prefix by rendezvous hashing, so that all nodes send the prefix to the same
// runner without communicating.
func prefixRank(prefix []work.Part, runner ident.Incarnation) uint64 {
	shared := prefix[len(prefix)-2]
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(shared.ID)
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(string(runner))
	return digest.Sum64()
}
