package batch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestItemOutlastsAShortFaultOfItsRunner keeps a failure of a fleet of processes: a runner that lost streams for 3 s made
// an item fail, although its deadline was a day away.
func TestItemOutlastsAShortFaultOfItsRunner(t *testing.T) {
	const fault = 10 * time.Second
	var waited time.Duration
	for attempts := 1; attempts < maxAttempts; attempts++ {
		assert.Assert(t, backoffAfter(attempts) <= lastBackoff)
		waited += backoffAfter(attempts)
	}
	assert.Assert(t, waited > fault, "given up after %s", waited)
}
