package experiment

import (
	"context"

	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/lab/load"
)

// relayRate is the default load, in requests per second: low, so that queueing does not hide the relay.
const relayRate = 20

// relayEngine makes steps short and even, so that the phase of a step adds little noise.
var relayEngine = []string{"--step-base", "2ms", "--step-per-sequence", "1ns", "--step-per-prefill-token", "1ns"}

const (
	// costRate and costAnswer shape the load by which the processor time per token is measured.
	costRate   = 40
	costAnswer = 300
)

// runRelay sends the same requests directly to the engines and through the nodes, and measures the nodes' processor time
// per relayed token.
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
	if err := environment.relayCost(ctx, fields); err != nil {
		return Measurement{}, err
	}
	return Measurement{Fields: fields, Charts: []Chart{latencyChart(fields, "direct", "relayed")}}, nil
}

// relayCost loads the nodes with long answers. The processor time of a token holds its share of the request's own cost
// and of the node's control.
func (e *environment) relayCost(ctx context.Context, fields Fields) error {
	options := load.Options{Rate: costRate, AnswerTokens: costAnswer}
	measured, err := e.runPhase(ctx, phase{name: "cost", engineArguments: relayEngine, nodes: true, load: options})
	if err != nil {
		return err
	}
	tokens := measured.counters.Tokens[inference.Online]
	fields["cost_tokens_per_s"] = float64(tokens) / measured.lasted.Seconds()
	fields["cost_node_core_share"] = measured.coreShare()
	fields["cost_node_resident_mb"] = float64(measured.nodes.resident) / megabyte
	fields["cost_processor_us_per_token"] = float64(measured.nodes.processor.Microseconds()) / float64(max(1, tokens))
	return nil
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
