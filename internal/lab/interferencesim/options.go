// Package interferencesim measures in virtual time what batch work costs online requests. It runs the stand-in engine's
// scheduler and cost model with the real credit controller, for tens of thousands of seeded open-loop arrivals, so that a
// change of the controller can be judged without the noise of a machine. Not simulated: leases and commits, lost
// messages, the dispatcher's choice of a runner (requests go to the runner with the fewest under way), CPU time.
package interferencesim

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/lab/enginesim"
)

// Options describes the fleet, its traffic and its delays. All times are virtual.
type Options struct {
	// Seed fixes arrivals and lengths; every arm of a run gets the same.
	Seed uint64
	// Nodes and Runners count the fleet; runner r is owned by node r modulo Nodes.
	Nodes, Runners int
	// MaxSequences bounds the sequences of an engine.
	MaxSequences int
	// Requests is about how many online requests are measured.
	Requests int
	// RatePerRunner is the mean rate of online arrivals, in requests per second and runner.
	RatePerRunner float64
	// StepEvery alternates the rate between zero and twice the mean after each such time; zero keeps it steady.
	StepEvery time.Duration
	// HeapEvery is the time between heaps of batch items; zero keeps a backlog without end.
	HeapEvery time.Duration
	// HeapShare is the size of a heap as a share of what the fleet could do alone in HeapEvery.
	HeapShare float64
	// CallDelay is the time from a node to an engine and back, each way.
	CallDelay time.Duration
	// CountDelay is the time a count needs from a node to a runner's owner.
	CountDelay time.Duration
	// ShareBesideOnline is the batch share setting of the nodes.
	ShareBesideOnline float64
	// Jitter is the mean of an exponential time added to the delay of each call and count, or zero.
	Jitter time.Duration
	// ReportEvery is the time between looks at an engine's load, ReportLag the age of the report on arrival.
	ReportEvery, ReportLag time.Duration
}

const (
	// warmup is the time whose requests, tokens and items are not measured.
	warmup = 10 * time.Second
	// tick is the time between a worker's looks at its credits without a cause, as in package batch.
	tick = 20 * time.Millisecond
	// workersPerSlot is how many batch items are under way for each sequence of an engine where nothing limits them.
	workersPerSlot = 1.25
	// coalesceTime is that of the exchange of counts between nodes.
	coalesceTime = 20 * time.Millisecond
)

// Lengths in tokens, as those of the load generator: medians of log-normal lengths.
const (
	onlinePromptTokens = 256
	onlineAnswerTokens = 48
	batchPromptTokens  = 128
	batchAnswerTokens  = 32
	prefixTokens       = 128
	prefixes           = 16
	// frameTokens is what the chat format adds to a prompt.
	frameTokens  = 8
	lengthSpread = 0.5
	lengthLimit  = 4
)

// Default returns the small plan's fleet with its usual load.
func Default() Options {
	return Options{
		Seed: 1, Nodes: 4, Runners: 4, MaxSequences: 32,
		Requests: 30_000, RatePerRunner: 5, HeapShare: 1.5,
		ShareBesideOnline: 1,
		CallDelay:         500 * time.Microsecond, CountDelay: time.Millisecond,
		ReportEvery: time.Second, ReportLag: enginesim.DefaultLoadLag,
	}
}

// Pattern is a named shape of fleet and traffic.
type Pattern struct {
	Name  string
	Shape func(*Options)
}

// Patterns lists the deployments' traffic.
func Patterns() []Pattern {
	return []Pattern{
		{"steady", func(*Options) {}},
		{"steps", func(options *Options) { options.StepEvery = 3 * time.Second }},
		{"trinacria", func(options *Options) {
			options.Nodes, options.Runners, options.HeapEvery = 6, 12, 8*time.Second
		}},
		{"petrovi", func(options *Options) {
			options.Nodes, options.Runners, options.HeapEvery = 8, 18, 9*time.Second
		}},
	}
}

// duration returns how long arrivals go on.
func (o Options) duration() time.Duration {
	seconds := float64(o.Requests) / (o.RatePerRunner * float64(o.Runners))
	return warmup + time.Duration(seconds*float64(time.Second))
}

// itemsPerSecond returns about what the fleet does alone, to size heaps by.
func (o Options) itemsPerSecond() float64 {
	cost := costModel()
	// The mean of a log-normal length lies above its median by this factor.
	const meanOfMedian = 1.13
	perToken := cost.Base/time.Duration(o.MaxSequences) + cost.PerSequence
	item := meanOfMedian * (batchAnswerTokens*perToken.Seconds() + batchPromptTokens*cost.PerPrefillToken.Seconds())
	return float64(o.Runners) / item
}

// costModel returns the engine's default cost model.
func costModel() enginesim.CostModel {
	return enginesim.CostModel{
		Base:            enginesim.DefaultStepBase,
		PerSequence:     enginesim.DefaultStepPerSequence,
		PerPrefillToken: enginesim.DefaultStepPerPrefill,
	}
}
