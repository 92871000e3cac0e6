package experiment

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/lab/load"
)

const (
	// surgeBase and surgePeak are the default rates, in requests per second.
	surgeBase = 5
	surgePeak = 60
	// surgeWindow is the first part of the surge, in which batch must give way.
	surgeWindow = 3
)

// runSurge steps the load from a low rate to the peak in the middle third of the run.
func runSurge(ctx context.Context, environment *environment) (Measurement, error) {
	at := environment.options.Duration / 3
	options := load.Options{
		Rate:   surgeBase,
		Surges: []load.Surge{{At: at, For: at, Rate: environment.rate(surgePeak)}},
	}
	fields := Fields{}
	aloneName, mixedName := "alone", "mixed"
	throughNodes := environment.options.Mode == ModeFleet
	alone, err := environment.runPhase(ctx, phase{name: aloneName, nodes: throughNodes, load: options})
	if err != nil {
		return Measurement{}, err
	}
	engines, err := environment.engineCount()
	if err != nil {
		return Measurement{}, err
	}
	mixed, err := environment.runPhase(ctx, environment.surgeMixed(mixedName, options, engines))
	if err != nil {
		return Measurement{}, err
	}
	charts := []Chart{{Title: "first token p99 by second of arrival", X: "s", Y: "ms"}, {Title: "batch items by second", X: "s", Y: "items/s"}}
	for name, measured := range map[string]outcome{aloneName: alone, mixedName: mixed} {
		fields.latency(name, measured.report)
		fields.surge(name, measured.report, at)
		charts[0].addTimeline(name, measured.report, func(second load.Second) float64 { return second.FirstTokenP99 })
	}
	charts[1].addTimeline(mixedName, mixed.report, func(second load.Second) float64 { return float64(second.BatchCompleted) })
	fields["harm_surge_ttft_p99_ratio"] = fields["mixed_surge_ttft_p99_ms"] / fields["alone_surge_ttft_p99_ms"]
	fields["harm_surge_start_ttft_p99_ratio"] = fields["mixed_surge_start_ttft_p99_ms"] / fields["alone_surge_start_ttft_p99_ms"]
	return Measurement{Fields: fields, Charts: charts}, nil
}

func (e *environment) surgeMixed(name string, options load.Options, engines int) phase {
	if e.options.Mode == ModeFleet {
		return phase{name: name, nodes: true, load: e.withHeaps(options, e.batchCapacity(engines))}
	}
	return e.directBatch(name, options, arm{batchEngines: shared})
}

// batchCapacity is the batch rate that full engines carry by the cost model, in items per second.
func (e *environment) batchCapacity(engines int) float64 {
	step := cost().StepTime(e.options.MaxSequences, 0)
	tokens := float64(engines*e.options.MaxSequences) / step.Seconds()
	return tokens / load.DefaultBatchAnswerTokens
}

// surge adds the worst seconds of the surge and of its start, and the batch rate before and within it.
func (f Fields) surge(name string, report *load.Report, at time.Duration) {
	first, last := int(at/time.Second), int(2*at/time.Second)
	for index := first; index < last; index++ {
		second := report.Timeline[index]
		f[name+"_surge_ttft_p99_ms"] = max(f[name+"_surge_ttft_p99_ms"], second.FirstTokenP99)
		if index < first+surgeWindow {
			f[name+"_surge_start_ttft_p99_ms"] = max(f[name+"_surge_start_ttft_p99_ms"], second.FirstTokenP99)
		}
		f[name+"_surge_batch_items_per_s"] += float64(second.BatchCompleted) / float64(last-first)
	}
}
