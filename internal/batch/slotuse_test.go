package batch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestSlotTimeCountsEverySequence checks that the uses of a runner add up to its number of sequences while all its
// batch items are in prefill.
func TestSlotTimeCountsEverySequence(t *testing.T) {
	at := newClock()
	tested, fake := gatedFixture(20, 1, at)
	tested.worker.Start()
	until(t, "all slots in use", func() bool { return fake.begun() == testSequences-1 })
	var use slotUse
	assert.Equal(t, inLoop(tested.worker, func() string {
		use = tested.worker.runners["a"].use
		return fmt.Sprint(use.running)
	}), "0")
	assert.Equal(t, use.prefilling, testSequences-1)
	assert.Equal(t, use.prefilling+use.online+use.reserve+use.idle, testSequences)
	assert.NilError(t, tested.worker.Stop())
}
