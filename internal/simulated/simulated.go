// Package simulated runs tests in simulated time. Tests alone use it.
package simulated

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test is synctest.Test on one processor where the race detector is on: its runtime has one context for all timers of a bubble, and timers
// that fire on two processors at once spoil its record of the stack, which ends the process. The order of goroutines stays drawn; without
// the detector they run on all processors.
func Test(t *testing.T, run func(*testing.T)) {
	t.Helper()
	if raceDetector {
		before := runtime.GOMAXPROCS(1)
		defer runtime.GOMAXPROCS(before)
	}
	synctest.Test(t, run)
}
