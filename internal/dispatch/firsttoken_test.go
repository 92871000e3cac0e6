package dispatch_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/dispatch"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// TestFirstTokenIsReportedOnce checks that for a request of several chunks the time to the first one is reported once.
func TestFirstTokenIsReportedOnce(t *testing.T) {
	const delay = 70 * time.Millisecond
	at := newClock()
	runners := runnerNames(1)
	fakes := newFleet(4, runners, func(string, int) int { return 0 })
	first := true
	fakes.onChunk = func() {
		if first {
			at.Advance(delay)
		}
		first = false
	}
	var reported []time.Duration
	dispatcher := dispatch.New(dispatch.Config{
		Node: "n1", Zone: "a", Table: newTable(runners, at), Engines: fakes, Catalog: staticCatalog{catalog.Empty()}, Now: at.Now, Seed: 1,
		FirstToken: func(_ *inference.Request, took time.Duration) { reported = append(reported, took) },
	})
	request := &inference.Request{ID: "r", Model: "m", Endpoint: inference.Completions, Repeatable: true}
	assert.NilError(t, dispatcher.Dispatch(context.Background(), request, dispatch.NewAggregate(inference.Completions)))
	assert.NilError(t, dispatcher.Close())
	assert.DeepEqual(t, reported, []time.Duration{delay})
}
