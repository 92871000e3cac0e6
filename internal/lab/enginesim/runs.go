package enginesim

import (
	"maps"
	"sync"
	"time"
)

// Run records the executions of one request on this engine.
type Run struct {
	// Runs counts executions started; Attempts lists their attempt numbers.
	Runs     int   `json:"runs"`
	Attempts []int `json:"attempts"`
	// Idempotency is the caller's key, if it came with one.
	Idempotency string `json:"idempotency,omitempty"`
	Class       string `json:"class"`
	// Last is when the latest execution started.
	Last time.Time `json:"last"`
}

// runLedger counts executions by request. It is the engine's own account, apart from what callers are told.
type runLedger struct {
	mu   sync.Mutex
	runs map[string]Run
}

func newRunLedger() *runLedger { return &runLedger{runs: map[string]Run{}} }

func (l *runLedger) record(sequence *sequence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := string(sequence.request)
	run := l.runs[key]
	run.Runs++
	run.Attempts = append(run.Attempts, sequence.attempt)
	run.Idempotency = sequence.idempotency
	run.Class = sequence.class.String()
	run.Last = time.Now()
	l.runs[key] = run
}

// all returns the runs of requests executed at least minimum times.
func (l *runLedger) all(minimum int) map[string]Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	selected := maps.Clone(l.runs)
	maps.DeleteFunc(selected, func(_ string, run Run) bool { return run.Runs < minimum })
	return selected
}

func (l *runLedger) clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.runs)
}
