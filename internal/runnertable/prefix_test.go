package runnertable

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/work"
)

// promptOf returns a prompt of some shared parts of 1,000 tokens each, and a part of its own.
func promptOf(name string, shared int) []work.Part {
	var parts []work.Part
	for number := range shared {
		parts = append(parts, work.Part{ID: fmt.Sprint(name, "-", number), Tokens: 1000})
	}
	return append(parts, work.Part{ID: name, Tokens: 1})
}

// TestPartsOfPromptsAreForgotten guards against a history that grows with each prompt of several new parts. The parts sent last are remembered.
func TestPartsOfPromptsAreForgotten(t *testing.T) {
	var history prefixHistory
	now := time.Unix(0, 0)
	for _, shared := range []int{1, 2, 5, maximumParts, 10 * maximumParts} {
		for number := range 300 {
			now = now.Add(time.Millisecond)
			prompt := promptOf(fmt.Sprint(shared, "-", number), shared)
			history.add(prompt, now)
			assert.Assert(t, len(history.sent) <= maximumParts, "%d parts are kept", len(history.sent))
			assert.Equal(t, history.cached(prompt, now), 1000*min(shared, maximumParts))
		}
	}
}
