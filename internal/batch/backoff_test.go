package batch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestItemSurvivesShortRunnerFault checks that the total backoff of an item exceeds a short runner fault. Without
// that, a runner that lost streams for 3 s made an item fail although its deadline was a day away.
func TestItemSurvivesShortRunnerFault(t *testing.T) {
	const fault = 10 * time.Second
	var waited time.Duration
	for attempts := 1; attempts < maxAttempts; attempts++ {
		assert.Assert(t, backoffAfter(attempts) <= maxBackoff)
		waited += backoffAfter(attempts)
	}
	assert.Assert(t, waited > fault, "given up after %s", waited)
}
