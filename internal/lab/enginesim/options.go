// Package enginesim is a stand-in for a model engine: a continuous-batching simulation behind the engine dialect, with
// a stated cost model, deterministic answers that a caller can check, and faults that tests switch on.
package enginesim

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// Defaults of the cost model; docs/design/engine-standin.md says where they come from.
const (
	DefaultStepBase        = 18 * time.Millisecond
	DefaultStepPerSequence = 60 * time.Microsecond
	DefaultStepPerPrefill  = 40 * time.Microsecond
	DefaultStepTokens      = 512
	DefaultMaxSequences    = 64
	DefaultMaxWaiting      = 64
	DefaultMemoryTokens    = 400_000
	DefaultBlockTokens     = 64
	DefaultLoadLag         = 200 * time.Millisecond
	DefaultEventLag        = 500 * time.Millisecond
	DefaultResumeWindow    = 10 * time.Second
	DefaultModelLoadTime   = time.Second
)

// Options configures an engine. Zero fields take the defaults above.
type Options struct {
	// Listen and FaultListen are "IP:port"; an empty address means a free port of 127.0.0.1.
	Listen, FaultListen string
	Runner              ident.Runner
	Zone                ident.Zone
	// Models are loaded at the start, at version "1"; empty means one model named "base".
	Models []string
	// Adapters are loaded at the start.
	Adapters []string
	// Seed drives the faults' randomness. Answers depend on the request alone.
	Seed uint64
	// TimeScale divides every simulated duration; 2 runs twice as fast. Zero means 1.
	TimeScale float64
	// Cost is the step time model.
	Cost CostModel
	// StepTokens bounds the tokens of one step: one for each decoding sequence, the rest for prefill.
	StepTokens int
	// MaxSequences bounds the sequences that run at once.
	MaxSequences int
	// MaxWaiting bounds the waiting queue of each class, in sequences.
	MaxWaiting int
	// MemoryTokens is the size of the KV memory, in tokens.
	MemoryTokens int
	// BlockTokens is the size of a prefix-cache block, in tokens.
	BlockTokens int
	// IgnorePriority admits in order of arrival, whatever the class: the one-queue baseline.
	IgnorePriority bool
	// NoPreemption keeps batch sequences running when online ones wait.
	NoPreemption bool
	// LoadLag delays load reports; EventLag delays cache events.
	LoadLag, EventLag time.Duration
	// ResumeWindow is how long a stream without a reader, or a finished one, is held.
	ResumeWindow time.Duration
	// ModelLoadTime is how long loading a model or adapter takes.
	ModelLoadTime time.Duration
}

func (o Options) withDefaults() Options {
	setDefault(&o.Listen, "127.0.0.1:0")
	setDefault(&o.FaultListen, "127.0.0.1:0")
	setDefault(&o.Runner, "runner-1")
	setDefault(&o.TimeScale, 1)
	setDefault(&o.Cost.Base, DefaultStepBase)
	setDefault(&o.Cost.PerSequence, DefaultStepPerSequence)
	setDefault(&o.Cost.PerPrefillToken, DefaultStepPerPrefill)
	setDefault(&o.StepTokens, DefaultStepTokens)
	setDefault(&o.MaxSequences, DefaultMaxSequences)
	setDefault(&o.MaxWaiting, DefaultMaxWaiting)
	setDefault(&o.MemoryTokens, DefaultMemoryTokens)
	setDefault(&o.BlockTokens, DefaultBlockTokens)
	setDefault(&o.LoadLag, DefaultLoadLag)
	setDefault(&o.EventLag, DefaultEventLag)
	setDefault(&o.ResumeWindow, DefaultResumeWindow)
	setDefault(&o.ModelLoadTime, DefaultModelLoadTime)
	if len(o.Models) == 0 {
		o.Models = []string{"base"}
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// CostModel gives the duration of one step of the engine.
type CostModel struct {
	// Base is the time to read the weights once.
	Base time.Duration
	// PerSequence is added for every sequence that decodes in the step.
	PerSequence time.Duration
	// PerPrefillToken is added for every prompt token computed in the step.
	PerPrefillToken time.Duration
}

// StepTime returns the duration of a step.
func (c CostModel) StepTime(sequences, prefillTokens int) time.Duration {
	return c.Base + time.Duration(sequences)*c.PerSequence + time.Duration(prefillTokens)*c.PerPrefillToken
}
