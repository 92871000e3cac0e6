// Package experiment runs the lab's named experiments: each starts separate processes, sends open-loop load, cuts the
// warm-up, repeats with successive seeds, and reports every figure with its spread.
package experiment

import (
	"context"
	"fmt"
	"io"
	"math"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// Failures of an experiment.
const (
	// ErrUnknown means no experiment has the name.
	ErrUnknown = failure.Kind("experiment: unknown name")
	// ErrSetup means the fleet could not be brought to its starting state.
	ErrSetup = failure.Kind("experiment: set-up failed")
)

// Mode says what is under test.
type Mode string

const (
	// ModeFleet tests a fleet of nodes and engines.
	ModeFleet Mode = "fleet"
	// ModeEngines leaves the nodes out: only the baselines that need none are run.
	ModeEngines Mode = "engines"
)

// Options of a run of an experiment.
type Options struct {
	// Binaries is the folder of the mallowlatch and mallowlatch-lab programs; Directory holds logs and data.
	Binaries, Directory string
	// Plan names the fleet.
	Plan string
	Mode Mode
	// Seed is that of the first run; each further run adds one.
	Seed uint64
	Runs int
	// Duration and Warmup are of each phase.
	Duration, Warmup time.Duration
	// Rate is the online arrivals per second, or zero for the experiment's own default.
	Rate float64
	// MaxSequences and MaxWaiting shape the engines.
	MaxSequences, MaxWaiting int
	// BasePort is the first loopback port.
	BasePort int
	// NodeSettings are further settings of every node, as dotted names and values.
	NodeSettings map[string]string
	// Faults is the number of faults of the experiment faults.
	Faults int
	// Jobs shapes the experiment job-shards.
	Jobs JobOptions
	// Progress gets a line for each phase.
	Progress io.Writer
}

// Fields holds the figures of one run, by name; the name ends in the unit.
type Fields map[string]float64

// Measurement is what one run gave.
type Measurement struct {
	Seed   uint64  `json:"seed"`
	Fields Fields  `json:"fields"`
	Charts []Chart `json:"charts,omitempty"`
	// Notes say what went wrong in the run, such as lost or refused work.
	Notes []string `json:"notes,omitempty"`
}

// Spread summarises a figure over the runs.
type Spread struct {
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
	// Deviation is the sample standard deviation; zero for one run.
	Deviation float64 `json:"deviation"`
}

// Result is a whole experiment.
type Result struct {
	Experiment string            `json:"experiment"`
	Plan       string            `json:"plan"`
	Mode       Mode              `json:"mode"`
	Duration   string            `json:"duration"`
	Warmup     string            `json:"warmup"`
	Summary    map[string]Spread `json:"summary"`
	Runs       []Measurement     `json:"runs"`
}

// Experiment is a named experiment.
type Experiment struct {
	Name    string
	Summary string
	run     func(ctx context.Context, environment *environment) (Measurement, error)
}

// All lists the experiments.
func All() []Experiment {
	return []Experiment{
		{"relay", "added latency of a node against a direct call to the engine, in the same run", runRelay},
		{"interference", "online latency alone and with batch, and batch against the idle capacity, with baselines", runInterference},
		{"surge", "online latency around a step of the load, with and without batch", runSurge},
		{"overload", "goodput at 0.5 to 3 times the capacity", runOverload},
		{"leave", "how long calls still come to a runner marked as leaving, by the way it is learned", runLeave},
		{"jobs", "every accepted batch item followed to its result, in calm and with crashes", runJobs},
		{"idle", "processor time, wake-ups, memory and bytes of each node without any load, against the budgets", runIdle},
		{"job-shards", "items through replicated job shards on disk nodes of their own, in leases and one commit an item", runJobShards},
		{"control", "processor time and memory of nodes without any load", runControl},
		{"rolling-restart", "restart of every node in turn under load", runRollingRestart},
		{"faults", "a seeded schedule of process faults under load, counted by an independent ledger", runFaults},
		{"cancel", "jobs cancelled at random under faults; the engines' own ledgers tell what started later", runCancel},
		{"resend", "each submission sent to every node at once, again and again, under faults", runResend},
		{"certificates", "a fleet with TLS on all listeners changes its certificates and then its authority under load", runCertificates},
	}
}

// Run runs the named experiment.
func Run(ctx context.Context, name string, options Options) (*Result, error) {
	for _, known := range All() {
		if known.Name == name {
			return known.repeat(ctx, options)
		}
	}
	return nil, fmt.Errorf("%w: %q", ErrUnknown, name)
}

func (e Experiment) repeat(ctx context.Context, options Options) (*Result, error) {
	result := &Result{
		Experiment: e.Name,
		Plan:       options.Plan,
		Mode:       options.Mode,
		Duration:   options.Duration.String(),
		Warmup:     options.Warmup.String(),
	}
	for number := range options.Runs {
		environment := &environment{options: options, seed: options.Seed + uint64(number), run: number}
		measured, err := e.run(ctx, environment)
		if err != nil {
			return nil, fmt.Errorf("%s, run %d: %w", e.Name, number+1, err)
		}
		measured.Seed = environment.seed
		measured.Notes = append(measured.Notes, environment.notes...)
		result.Runs = append(result.Runs, measured)
	}
	result.Summary = summarise(result.Runs)
	return result, nil
}

func summarise(runs []Measurement) map[string]Spread {
	values := map[string][]float64{}
	for _, run := range runs {
		for name, value := range run.Fields {
			values[name] = append(values[name], value)
		}
	}
	summary := map[string]Spread{}
	for name, list := range values {
		summary[name] = spreadOf(list)
	}
	return summary
}

func spreadOf(values []float64) Spread {
	spread := Spread{Min: values[0], Max: values[0]}
	for _, value := range values {
		spread.Mean += value / float64(len(values))
		spread.Min = min(spread.Min, value)
		spread.Max = max(spread.Max, value)
	}
	if len(values) < 2 {
		return spread
	}
	squares := 0.0
	for _, value := range values {
		squares += (value - spread.Mean) * (value - spread.Mean)
	}
	spread.Deviation = math.Sqrt(squares / float64(len(values)-1))
	return spread
}
