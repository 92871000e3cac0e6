package experiment

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/lab/enginesim"
	"mallowlatch.example/mallowlatch/internal/lab/load"
)

func TestSpread(t *testing.T) {
	summary := summarise([]Measurement{{Fields: Fields{"a": 1}}, {Fields: Fields{"a": 3, "b": 5}}})
	assert.DeepEqual(t, summary["b"], Spread{Mean: 5, Min: 5, Max: 5})
	assert.Equal(t, summary["a"].Mean, 2.0)
	assert.Assert(t, summary["a"].Deviation > 1.41 && summary["a"].Deviation < 1.42)
}

// Online work that fills the decoding steps of half the engines' time leaves half of the batch rate.
func TestBound(t *testing.T) {
	environment := &environment{options: Options{Duration: 10 * time.Second, MaxSequences: 32}}
	perToken := cost().Base/32 + cost().PerSequence
	online := outcome{engines: 2, counters: enginesim.Counters{Tokens: [2]int64{int64(10 * time.Second / perToken), 0}}}
	fields := Fields{}
	fields.bound(environment, online, outcome{report: &load.Report{BatchItemsPerSec: 100}})
	assert.Assert(t, fields["bound_items_per_s"] > 49.9 && fields["bound_items_per_s"] < 50.1, "%v", fields)
}

func TestPlotAndText(t *testing.T) {
	fields := Fields{"a_ttft_p50_ms": 1, "a_ttft_p99_ms": 2}
	timeline := Chart{Title: "lines"}
	timeline.addTimeline("a", &load.Report{Timeline: make([]load.Second, 3)}, func(load.Second) float64 { return 1 })
	run := Measurement{Fields: fields, Charts: []Chart{latencyChart(fields, "a"), timeline}, Notes: []string{"lost"}}
	result := &Result{Runs: []Measurement{run}, Summary: summarise([]Measurement{run})}
	path := filepath.Join(t.TempDir(), "plot.png")
	assert.NilError(t, result.WritePlot(path))
	content, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Assert(t, bytes.HasPrefix(content, []byte("\x89PNG")))
	var text bytes.Buffer
	result.Write(&text)
	assert.Assert(t, bytes.Contains(text.Bytes(), []byte("note, run 1: lost")))
}

func TestProcessorTime(t *testing.T) {
	line := "7 (a (b) c) S 1 7 7 0 -1 4194560 100 0 0 0 250 50 0 0 20 0 8 0 100 1000 200"
	used, err := parseProcessorTime(line)
	assert.NilError(t, err)
	assert.Equal(t, used, 3*time.Second)
	_, err = parseProcessorTime("7 (a) S 1")
	assert.ErrorIs(t, err, ErrSetup)
}

func TestUnknownExperiment(t *testing.T) {
	_, err := Run(t.Context(), "nothing", Options{})
	assert.ErrorIs(t, err, ErrUnknown)
}
