package experiment

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/lab/fleet"
	"mallowlatch.example/mallowlatch/internal/lab/load"
)

const (
	// interferenceRate is the default online load, in requests per second: about a third of the small fleet's engines.
	interferenceRate = 40
	// heapPeriod is the time between batch heaps of the deployment Trinacria.
	heapPeriod = 8 * time.Second
	// backlog is how many times the engines' capacity the batch heaps ask for, so that work is always waiting.
	backlog = 1.5
	// workersPerSlot is how many direct workers a baseline runs for each sequence an engine can run.
	workersPerSlot = 1.25
)

// arm is one way of running batch beside online.
type arm struct {
	name            string
	engineArguments []string
	// batchEngines returns the engines that get batch items directly, and the rest that get online requests.
	batchEngines func(engines []fleet.Engine) (batch, online []fleet.Engine)
}

func shared(engines []fleet.Engine) (batch, online []fleet.Engine) { return engines, engines }

// split gives batch a third of the engines, at least one.
func split(engines []fleet.Engine) (batch, online []fleet.Engine) {
	count := max(1, len(engines)/3)
	return engines[:count], engines[count:]
}

// baselines are what the system is compared with. They route online requests to the engine with the fewest under way,
// from one place with exact knowledge: better than any node could.
func baselines() []arm {
	return []arm{
		{"one_queue", []string{"--ignore-priority"}, shared},
		{"priority_only", nil, shared},
		{"fixed_split", nil, split},
	}
}

// runInterference measures online alone, batch alone and both, without and with the system.
func runInterference(ctx context.Context, environment *environment) (Measurement, error) {
	fields := Fields{}
	online := load.Options{Rate: environment.rate(interferenceRate)}
	alone, err := environment.runPhase(ctx, phase{name: "direct_alone", load: online})
	if err != nil {
		return Measurement{}, err
	}
	fields.latency("direct_alone", alone.report)
	capacity, err := environment.runPhase(ctx, environment.directBatch("batch_alone", load.Options{}, arm{batchEngines: shared}))
	if err != nil {
		return Measurement{}, err
	}
	fields.bound(environment, alone, capacity)
	names := []string{"direct_alone"}
	for _, arm := range baselines() {
		if err := environment.runArm(ctx, fields, online, arm); err != nil {
			return Measurement{}, err
		}
		names = append(names, arm.name)
	}
	if environment.options.Mode == ModeFleet {
		if err := environment.runSystem(ctx, fields, online); err != nil {
			return Measurement{}, err
		}
		names = append(names, "system_alone", "system")
	}
	return Measurement{Fields: fields, Charts: []Chart{latencyChart(fields, names...), shareChart(fields, names[1:]...)}}, nil
}

// bound works out the batch rate that the capacity left idle by online would carry: the rate of batch alone, less the
// share of the engines' time that the online work needs when steps run full.
func (f Fields) bound(environment *environment, alone, capacity outcome) {
	needed := alone.counters.NeededTime(inference.Online, cost(), environment.options.MaxSequences)
	share := float64(needed) / float64(environment.options.Duration) / float64(alone.engines)
	f["batch_alone_items_per_s"] = capacity.report.BatchItemsPerSec
	f["online_needs_share"] = share
	f["bound_items_per_s"] = capacity.report.BatchItemsPerSec * (1 - share)
}

func (e *environment) directBatch(name string, online load.Options, arm arm) phase {
	return phase{
		name:            name,
		engineArguments: arm.engineArguments,
		load:            online,
		shape: func(options *load.Options, started *fleet.Fleet) {
			batch, rest := arm.batchEngines(started.Engines)
			options.DirectBatch = engineTargets(batch)
			options.DirectWorkers = int(workersPerSlot * float64(e.options.MaxSequences))
			options.Targets = engineTargets(rest)
		},
	}
}

func (e *environment) runArm(ctx context.Context, fields Fields, online load.Options, arm arm) error {
	measured, err := e.runPhase(ctx, e.directBatch(arm.name, online, arm))
	if err != nil {
		return err
	}
	fields.latency(arm.name, measured.report)
	fields.harm(arm.name, "direct_alone", measured.report)
	return nil
}

// harm adds the ratios of an arm to online alone, and its share of the batch bound. An arm that completed no online
// request has no ratios; the run's notes say what became of its requests.
func (f Fields) harm(name, alone string, report *load.Report) {
	f[name+"_batch_items_per_s"] = report.BatchItemsPerSec
	f[name+"_share_of_bound"] = report.BatchItemsPerSec / f["bound_items_per_s"]
	if report.FirstToken.Count == 0 {
		return
	}
	f[name+"_harm_ttft_p99_ratio"] = f[name+"_ttft_p99_ms"] / f[alone+"_ttft_p99_ms"]
	f[name+"_harm_inter_token_p99_ratio"] = f[name+"_inter_token_p99_ms"] / f[alone+"_inter_token_p99_ms"]
}

// runSystem runs online alone and mixed through the nodes. Heaps are sized so that batch work is always waiting.
func (e *environment) runSystem(ctx context.Context, fields Fields, online load.Options) error {
	alone, err := e.runPhase(ctx, phase{name: "system_alone", nodes: true, load: online})
	if err != nil {
		return err
	}
	fields.latency("system_alone", alone.report)
	mixed := e.withHeaps(online, fields["batch_alone_items_per_s"])
	measured, err := e.runPhase(ctx, phase{name: "system", nodes: true, load: mixed})
	if err != nil {
		return err
	}
	fields.latency("system", measured.report)
	fields["system_least_engine_ratio"], fields["system_most_engine_ratio"] = measured.balance()
	fields.harm("system", "system_alone", measured.report)
	return nil
}

func (e *environment) withHeaps(online load.Options, capacity float64) load.Options {
	online.BatchEvery = heapPeriod
	online.BatchItems = max(1, int(backlog*capacity*heapPeriod.Seconds()))
	online.AbandonJobs = true
	return online
}
