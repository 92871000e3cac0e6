// Package load is an open-loop load generator for the caller API, or for an engine directly. The arrivals are fixed
// beforehand from a seed and every delay is counted from the planned arrival, so that a slow system cannot hide its
// queueing. An independent ledger checks every answer.
package load

import (
	"crypto/x509"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// ErrBadOptions means options that make no run.
const ErrBadOptions = failure.Kind("load: bad options")

// Options describes a run. Zero lengths take the defaults below.
type Options struct {
	// Targets are base URLs; requests take them in turn.
	Targets []string
	// Keys are API keys, each of one tenant; requests take them in turn. Empty means none is sent.
	Keys []string
	// Authorities are trusted for targets over TLS; nil means those of the system.
	Authorities *x509.CertPool
	// FreshConnections has every request open a connection of its own.
	FreshConnections bool
	// Model is the service callers ask for.
	Model string
	// Rate is the mean rate of online arrivals, in requests per second. Arrivals are Poisson.
	Rate float64
	// Surges change the rate for a while.
	Surges []Surge
	// Duration is how long arrivals go on. Figures leave out arrivals before Warmup.
	Duration, Warmup time.Duration
	// Drain is how long to wait after Duration for open requests and jobs.
	Drain time.Duration
	// PromptTokens and AnswerTokens are the medians of online lengths, which are log-normal.
	PromptTokens, AnswerTokens int
	// PrefixTokens is the length of the prefix shared by the requests of one of Prefixes groups.
	PrefixTokens, Prefixes int
	// NotRepeatable is the share of online requests marked as not repeatable, each with an idempotency key.
	NotRepeatable float64
	// LeastInFlight sends each online request to the target with the fewest of this generator's requests under way,
	// instead of in turn.
	LeastInFlight bool
	// DirectBatch are engine addresses that get batch items directly, DirectWorkers at a time each, one after the other.
	// It stands for a batch client without the system, in baselines.
	DirectBatch   []string
	DirectWorkers int
	// BatchEvery is the time between heaps of batch work; zero means none.
	BatchEvery time.Duration
	// BatchItems is the number of items of a heap; BatchPromptTokens and BatchAnswerTokens are medians.
	BatchItems, BatchPromptTokens, BatchAnswerTokens int
	// CancelShare is the share of jobs that are cancelled, each at a random time within CancelWithin of its first completed
	// item, half of them within CancelWithin of the acceptance.
	// CancelBound is how long after the answer items may still start.
	CancelShare               float64
	CancelWithin, CancelBound time.Duration
	// OnceEvery marks the items of every heap in this many as not repeatable; zero means of none.
	OnceEvery int
	// Storms is how often each submission is sent to every target at once, the first time to begin with and then after
	// random pauses of up to StormsWithin; zero means that it is sent until it is answered.
	Storms       int
	StormsWithin time.Duration
	// AbandonJobs ends the run without waiting for open jobs, for a run that keeps a backlog on purpose.
	AbandonJobs bool
	// Retry sends a request that surely was not run (no connection, or an error answer that says so and asks to come
	// back) to the next target, once for each target, as a careful client would.
	Retry bool
	// FirstTokenGoal is the delay of the first token up to which a completed request counts as good.
	FirstTokenGoal time.Duration
	// Seed fixes arrivals and bodies.
	Seed uint64
	// EngineFaults are the inspection ports of stand-in engines, "IP:port", asked for doubled runs at the end.
	EngineFaults []string
}

// Surge changes the rate of online arrivals between At and At+For.
type Surge struct {
	At, For time.Duration
	Rate    float64
}

// Defaults of the lengths.
const (
	DefaultPromptTokens      = 256
	DefaultAnswerTokens      = 48
	DefaultPrefixTokens      = 128
	DefaultPrefixes          = 16
	DefaultBatchPromptTokens = 128
	DefaultBatchAnswerTokens = 32
	DefaultDrain             = 30 * time.Second
	// DefaultFirstTokenGoal is what 95 in 100 callers are promised.
	DefaultFirstTokenGoal = 1300 * time.Millisecond
)

func (o Options) withDefaults() Options {
	setDefault(&o.PromptTokens, DefaultPromptTokens)
	setDefault(&o.AnswerTokens, DefaultAnswerTokens)
	setDefault(&o.PrefixTokens, DefaultPrefixTokens)
	setDefault(&o.Prefixes, DefaultPrefixes)
	setDefault(&o.BatchPromptTokens, DefaultBatchPromptTokens)
	setDefault(&o.BatchAnswerTokens, DefaultBatchAnswerTokens)
	setDefault(&o.Drain, DefaultDrain)
	setDefault(&o.FirstTokenGoal, DefaultFirstTokenGoal)
	if len(o.Keys) == 0 {
		o.Keys = []string{""}
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
