package follower

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

func entry(id string, registered int64) work.Runner {
	return work.Runner{ID: ident.Incarnation(id), Service: "s", Slots: 1, Registered: registered}
}

// TestListThatWasAskedForInAnOutageProvesNothingForTwoSeconds has a zone cut off from the registry for 5.2 s. The call that is open as the cut ends
// was made a second before, and is answered then. The registry lists all living runners two seconds after its return and not before, so
// that until then a runner which is missing stays in use.
func TestListThatWasAskedForInAnOutageProvesNothingForTwoSeconds(t *testing.T) {
	began := time.Unix(1000, 0)
	judge := OptionsFor(3*time.Second, heartbeat).absence()
	assert.Assert(t, judge.take([]work.Runner{entry("1", 1), entry("2", 2), entry("3", 3)}, began, began))
	back := began.Add(5200 * time.Millisecond)
	left := []work.Runner{entry("1", 11), entry("2", 12)}
	assert.Assert(t, !judge.take(left, back.Add(-time.Second), back))
	for after := 100 * time.Millisecond; after < entriesBack; after += 100 * time.Millisecond {
		assert.Assert(t, !judge.take(left, back.Add(after), back.Add(after+5*time.Millisecond)), "%v after its return a list proved who had left", after)
	}
	assert.Assert(t, judge.take(left, back.Add(entriesBack), back.Add(entriesBack+5*time.Millisecond)))
}
