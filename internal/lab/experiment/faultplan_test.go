package experiment

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestFaultScheduleIsSeededAndHasEveryKind(t *testing.T) {
	planned := planFaults(faultKinds, 7, 2*len(faultKinds))
	assert.DeepEqual(t, planned, planFaults(faultKinds, 7, 2*len(faultKinds)))
	seen := map[faultKind]int{}
	for _, fault := range planned {
		seen[fault.Kind]++
		first, second := fault.two(3)
		assert.Assert(t, first != second)
	}
	for _, kind := range faultKinds {
		assert.Equal(t, seen[kind], 2, string(kind))
	}
}
