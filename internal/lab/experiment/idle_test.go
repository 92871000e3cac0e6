package experiment

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestIdleCostAgainstBudgets(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	before := processReading{at: start, processor: 5, wakeUps: 1000, resident: 1, written: 500}
	after := processReading{
		at: start.Add(10 * time.Second), processor: 5.12, wakeUps: 3000,
		resident: 32_000_000, anonymous: 8_000_000, written: 30_500,
	}
	within := costBetween(before, after)
	assert.Assert(t, within.processor > 1.19 && within.processor < 1.21, "%v", within)
	assert.Equal(t, within.wakeUps, 200.0)
	assert.Equal(t, within.resident, 32.0)
	assert.Equal(t, within.anonymous, 8.0)
	assert.Equal(t, within.written, 3000.0)
	within.processor = processorBudget
	assert.Equal(t, len(within.overBudget()), 0)
	for _, over := range []idleCost{{processor: 1.3}, {resident: 33}, {written: 3001}} {
		assert.Equal(t, len(over.overBudget()), 1, "%v", over)
		worst := worstCost([]idleCost{within, over, {}})
		assert.Equal(t, len(worst.overBudget()), 1, "%v", over)
	}
	assert.Equal(t, meanCost([]idleCost{{written: 1}, {written: 3}}).written, 2.0)
}

// A process that sleeps, writes and holds memory has all of it in its account.
func TestReadProcess(t *testing.T) {
	before, err := readProcess(os.Getpid())
	assert.NilError(t, err)
	content := make([]byte, 1<<20)
	file, err := os.Create(t.TempDir() + "/written")
	assert.NilError(t, err)
	defer file.Close()
	_, err = file.Write(content)
	assert.NilError(t, err)
	after, err := readProcess(os.Getpid())
	assert.NilError(t, err)
	assert.Assert(t, after.written-before.written >= uint64(len(content)), "%v %v", before, after)
	assert.Assert(t, after.resident >= after.anonymous && after.anonymous > 0, "%v", after)
	assert.Assert(t, after.wakeUps > 0 && after.processor >= before.processor, "%v", after)
}
