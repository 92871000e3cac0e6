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

// TestListRequestedDuringOutageProvesNothingForTwoSeconds partitions a zone from the registry for 5.2 s. The call in progress at the end
// was made one second earlier and is answered then. Only two seconds after its return does the registry list all living runners, so that
// until then a missing runner must stay in use.
func TestListRequestedDuringOutageProvesNothingForTwoSeconds(t *testing.T) {
	began := time.Unix(1000, 0)
	state := OptionsFor(3*time.Second, heartbeat).absence()
	assert.Assert(t, state.apply([]work.Runner{entry("1", 1), entry("2", 2), entry("3", 3)}, began, began))
	back := began.Add(5200 * time.Millisecond)
	left := []work.Runner{entry("1", 11), entry("2", 12)}
	assert.Assert(t, !state.apply(left, back.Add(-time.Second), back))
	for after := 100 * time.Millisecond; after < relistTime; after += 100 * time.Millisecond {
		assert.Assert(t, !state.apply(left, back.Add(after), back.Add(after+5*time.Millisecond)),
			"a list proved who left %v after the return", after)
	}
	assert.Assert(t, state.apply(left, back.Add(relistTime), back.Add(relistTime+5*time.Millisecond)))
}
