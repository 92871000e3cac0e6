package enginesim

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/inference"
)

// Counters counts what an engine has done since its start. Times are simulated ones.
type Counters struct {
	// Steps and BusyTime count the steps run and their simulated durations.
	Steps    int64         `json:"steps"`
	BusyTime time.Duration `json:"busy_time_ns"`
	// Tokens counts generated tokens, Prefilled computed prompt tokens, Cached prompt tokens found in the prefix cache;
	// each is indexed by inference.Class.
	Tokens    [2]int64 `json:"tokens"`
	Prefilled [2]int64 `json:"prefilled"`
	Cached    [2]int64 `json:"cached"`
	// Preempted counts sequences sent back to the queue.
	Preempted int64 `json:"preempted"`
	// Calls counts generation calls, taken or refused; LastCall and LastTaken are the times of the latest.
	Calls     int64     `json:"calls"`
	LastCall  time.Time `json:"last_call"`
	LastTaken time.Time `json:"last_taken"`
}

// Minus returns what was done since an earlier reading.
func (c Counters) Minus(earlier Counters) Counters {
	c.Steps -= earlier.Steps
	c.BusyTime -= earlier.BusyTime
	c.Preempted -= earlier.Preempted
	c.Calls -= earlier.Calls
	for class := range c.Tokens {
		c.Tokens[class] -= earlier.Tokens[class]
		c.Prefilled[class] -= earlier.Prefilled[class]
		c.Cached[class] -= earlier.Cached[class]
	}
	return c
}

// NeededTime returns the engine time that a class's work takes when every step runs full: its share of the time of full
// steps for each token, and the time of each computed prompt token.
func (c Counters) NeededTime(class inference.Class, cost CostModel, maxSequences int) time.Duration {
	perToken := cost.Base/time.Duration(maxSequences) + cost.PerSequence
	return time.Duration(c.Tokens[class])*perToken + time.Duration(c.Prefilled[class])*cost.PerPrefillToken
}

// Counters returns a reading of the engine's counters.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.scheduler.counters
}
