package rendezvous_test

import (
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/rendezvous"
)

// Nodes of two versions run side by side, so the hashed bytes are part of what nodes agree on.
func TestWeightHashesDutyZeroCandidate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duty, candidate := rapid.String().Draw(t, "duty"), rapid.String().Draw(t, "candidate")
		assert.Equal(t, rendezvous.Weight(duty, candidate), xxhash.Sum64String(duty+"\x00"+candidate))
	})
}

func TestWeightDoesNotAllocate(t *testing.T) {
	duty, candidate := "limit", "north-1"
	assert.Equal(t, testing.AllocsPerRun(100, func() { rendezvous.Weight(duty, candidate) }), 0.0)
}

func TestOnlyTheDutiesOfTheOneThatLeavesMove(t *testing.T) {
	names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,6}`), 1, 20, rapid.ID[string])
	rapid.Check(t, func(t *rapid.T) {
		duty, candidates := rapid.String().Draw(t, "duty"), names.Draw(t, "candidates")
		first, found := rendezvous.First(duty, slices.Values(candidates))
		assert.Assert(t, found)

		ranked := slices.SortedFunc(slices.Values(candidates), func(a, b string) int {
			return rendezvous.Compare(duty, a, b)
		})
		assert.Equal(t, ranked[0], first)

		gone := rapid.SampledFrom(candidates).Draw(t, "gone")
		left := slices.DeleteFunc(ranked, func(name string) bool { return name == gone })
		next, found := rendezvous.First(duty, slices.Values(left))
		assert.Equal(t, found, len(left) > 0)
		if gone != first {
			assert.Equal(t, next, first)
		}
	})
}
