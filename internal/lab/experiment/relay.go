package experiment

import (
	"context"

	"mallowlatch.example/mallowlatch/internal/lab/load"
)

// relayRate is the default load, in requests per second: low, so that queueing does not hide the relay.
const relayRate = 20

// relayEngine makes steps short and even, so that the phase of a step adds little noise.
var relayEngine = []string{"--step-base", "2ms", "--step-per-sequence", "1ns", "--step-per-prefill-token", "1ns"}

// runRelay sends the same requests directly to the engines and through the nodes.
func runRelay(ctx context.Context, environment *environment) (Measurement, error) {
	fields := Fields{}
	options := load.Options{Rate: environment.rate(relayRate)}
	direct, err := environment.runPhase(ctx, phase{name: "direct", engineArguments: relayEngine, load: options})
	if err != nil {
		return Measurement{}, err
	}
	fields.latency("direct", direct.report)
	if environment.options.Mode == ModeEngines {
		return Measurement{Fields: fields}, nil
	}
	relayed, err := environment.runPhase(ctx, phase{name: "relayed", engineArguments: relayEngine, nodes: true, load: options})
	if err != nil {
		return Measurement{}, err
	}
	fields.latency("relayed", relayed.report)
	for _, name := range []string{"ttft_p50_ms", "ttft_p99_ms", "inter_token_p50_ms", "inter_token_p99_ms"} {
		fields["added_"+name] = fields["relayed_"+name] - fields["direct_"+name]
	}
	return Measurement{Fields: fields, Charts: []Chart{latencyChart(fields, "direct", "relayed")}}, nil
}

func (e *environment) rate(byDefault float64) float64 {
	if e.options.Rate > 0 {
		return e.options.Rate
	}
	return byDefault
}

// latency adds the online figures of a phase.
func (f Fields) latency(prefix string, report *load.Report) {
	f[prefix+"_requests_per_s"] = report.RequestsPerSecond
	f[prefix+"_ttft_p50_ms"] = report.FirstToken.P50
	f[prefix+"_ttft_p95_ms"] = report.FirstToken.P95
	f[prefix+"_ttft_p99_ms"] = report.FirstToken.P99
	f[prefix+"_inter_token_p50_ms"] = report.InterToken.P50
	f[prefix+"_inter_token_p95_ms"] = report.InterToken.P95
	f[prefix+"_inter_token_p99_ms"] = report.InterToken.P99
	f[prefix+"_generator_late_p99_ms"] = report.Lateness.P99
}
