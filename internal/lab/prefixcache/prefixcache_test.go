package prefixcache

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestCacheKeepsBeginningsWithinItsLimit draws prompts that share beginnings and checks after each that the cache is
// within its limit, that the events told add up to its content, and that of every prompt the beginning is what is left.
func TestCacheKeepsBeginningsWithinItsLimit(t *testing.T) {
	const blockTokens = 4
	rapid.Check(t, func(t *rapid.T) {
		told := map[uint64]bool{}
		tested := New(blockTokens, func(block uint64, stored bool) {
			assert.Assert(t, told[block] != stored, "block %d told twice", block)
			told[block] = stored
		})
		var prompts [][]uint64
		for range rapid.IntRange(1, 30).Draw(t, "prompts") {
			prompt := drawPrompt(t)
			prompts = append(prompts, prompt)
			limit := rapid.IntRange(0, 60).Draw(t, "limit")
			tested.Hit(prompt)
			tested.Store(prompt, limit)
			tested.Shrink(limit)
			assert.Assert(t, tested.Tokens() <= limit)
			for _, block := range tested.Blocks() {
				assert.Assert(t, told[block])
				delete(told, block)
			}
			for block, stored := range told {
				assert.Assert(t, !stored, "block %d is told of but not cached", block)
			}
			for _, block := range tested.Blocks() {
				told[block] = true
			}
			for _, earlier := range prompts {
				assertBeginning(t, tested, earlier)
			}
		}
	})
}

// drawPrompt returns the blocks of a prompt: block number d of chain c is 100c+d, and chains share their first blocks.
func drawPrompt(t *rapid.T) []uint64 {
	chain := rapid.Uint64Range(1, 4).Draw(t, "chain")
	shared := rapid.Uint64Range(0, 3).Draw(t, "shared")
	var prompt []uint64
	for depth := range rapid.Uint64Range(1, 12).Draw(t, "length") {
		if depth < shared {
			prompt = append(prompt, depth)
			continue
		}
		prompt = append(prompt, 1000*shared+100*chain+depth)
	}
	return prompt
}

func assertBeginning(t *rapid.T, tested *Cache, prompt []uint64) {
	ended := false
	for _, block := range prompt {
		_, cached := tested.entries[block]
		assert.Assert(t, !(cached && ended), "a later block of %v is cached without an earlier one", prompt)
		ended = ended || !cached
	}
}
