package jobclient_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/job"
	"mallowlatch.example/mallowlatch/internal/jobstore"
)

// wideLines returns a file of lines of 8 KiB, 32 to a chunk; its first and last line have the same custom id.
func wideLines(chunks int) string {
	const lineWidth, linesOfChunk = 8 << 10, 32
	padding := fmt.Sprintf(`,"padding":"%0*d"`, lineWidth, 0)
	var content strings.Builder
	for number := range chunks*linesOfChunk - 1 {
		content.WriteString(line(fmt.Sprint("item-", number), padding))
	}
	content.WriteString(line("item-0", padding))
	return content.String()
}

// A small job behind a large one of its tenant is leased at the next tick, while the large one is still being indexed.
// Smaller jobs that keep coming do not hold the large one up for ever, and its duplicates are found across ticks.
func TestALargeJobIsIndexedInSlices(t *testing.T) {
	f := newFixture(t, false, nil)
	const chunks, smaller, rounds = 36, 17, 8
	large := f.submit(t, wideLines(chunks), "large")
	small := f.submit(t, lines(3), "small")
	assert.Equal(t, len(f.lease(t, small, 10).Items), 3)
	indexed := func() bool { return f.job(t, large.ID).Status == job.InProgress }
	assert.Assert(t, !indexed(), "one tick indexed a whole large job")
	for round := range rounds {
		f.submit(t, wideLines(smaller), fmt.Sprint("smaller-", round))
	}
	assert.Assert(t, indexed(), "smaller jobs held a large one up")
	assert.Equal(t, f.job(t, large.ID).Counts.Failed, 1)
	assert.Assert(t, len(f.lease(t, large, jobstore.DefaultSettings().MaxLeaseItems).Items) > 0)
}
