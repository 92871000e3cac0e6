package jobworker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/progress"
	"mallowlatch.example/mallowlatch/internal/resultlog"
	"mallowlatch.example/mallowlatch/internal/work"
)

// TestOutputThatBeginsAnewIsNotJoinedAtTheMirror guards against results whose text is joined from two runs: the item began anew while a piece of
// its former output was on the way to the second worker, and the answer was applied to the new output.
func TestOutputThatBeginsAnewIsNotJoinedAtTheMirror(t *testing.T) {
	job := newJobRun(resultlog.Holding{}, &jobrecord.Job{Header: jobrecord.Header{ID: "job", Items: []jobrecord.ItemHeader{{Item: work.Item{ID: "item"}}}}, Bodies: [][]byte{nil}}, nil)
	item, mirror := job.items[0], &progress.Mirror{}
	produce := func(run int64, text string, events int64) {
		item.text.WriteString(text)
		item.lastEvent, item.lastEventRun = events, progress.RunID{Claim: 1, Number: run}
	}
	send := func() []pendingPiece {
		update, pieces := job.pendingOutput()
		assert.Equal(t, len(mirror.Apply(&update, time.Unix(0, 0))), 0)
		return pieces
	}
	produce(1, "one\none", 2)
	pieces := send()
	item.beginAnew()
	produce(2, "another\nanother", 2)
	for index := range pieces {
		pieces[index].arrived(false)
	}
	send()
	assert.Equal(t, string(mirror.Outputs("job")[0].Text), "another\nanother")
}
