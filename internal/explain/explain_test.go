package explain_test

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/explain"
)

// TestStoryAcrossProcesses reads lines of two processes out of order, with the stamp of a collector and other lines.
func TestStoryAcrossProcesses(t *testing.T) {
	front := `  1.2 front-1 {"level":"info","node":"front-1","event":3600,"name":"job_taken","job":"j1","items":2,"time":1000}
not a line of ours with j1
{"level":"info","node":"front-1","event":3600,"name":"job_taken","job":"j11","time":1500}
`
	worker := `{"level":"warn","node":"worker-1","event":3606,"name":"item_run_broken","job":"j1","item":"a","runner":"i-2","last_event":7,"time":3250}
{"level":"info","node":"worker-1","event":3602,"name":"job_claimed","job":"j1","time":1250}
`
	lines, err := explain.Collect("j1", strings.NewReader(worker), strings.NewReader(front))
	assert.NilError(t, err)
	assert.Equal(t, len(lines), 3)
	var story bytes.Buffer
	assert.NilError(t, explain.Write(&story, lines))
	text := story.String()
	taken, claimed, broken := strings.Index(text, "job_taken"), strings.Index(text, "job_claimed"), strings.Index(text, "item_run_broken")
	assert.Assert(t, taken < claimed && claimed < broken, text)
	assert.Assert(t, strings.Contains(text, "+2.250s"), text)
	assert.Assert(t, strings.Contains(text, "last_event=7") && strings.Contains(text, "runner=i-2"), text)
	assert.Assert(t, strings.Contains(text, "another run goes on after the event named"), text)
	_, err = explain.Collect("j2", strings.NewReader(front))
	assert.ErrorIs(t, err, explain.ErrNothing)
}
