package experiment

import (
	"context"
	"fmt"

	"mallowlatch.example/mallowlatch/internal/lab/fleet"
	"mallowlatch.example/mallowlatch/internal/lab/load"
)

// overloadFactors are the offered loads, as multiples of the nominal capacity.
var overloadFactors = []float64{0.5, 1, 1.5, 2, 3}

// runOverload offers online load below and above the capacity. Goodput counts the completed requests whose first token
// came in time; past the knee it must not fall.
func runOverload(ctx context.Context, environment *environment) (Measurement, error) {
	engines, err := environment.engineCount()
	if err != nil {
		return Measurement{}, err
	}
	capacity := environment.rate(environment.onlineCapacity(engines))
	fields := Fields{"nominal_capacity_requests_per_s": capacity}
	goodput := Line{Name: "goodput"}
	best := 0.0
	for _, factor := range overloadFactors {
		name := fmt.Sprintf("offered_%.1f", factor)
		measured, err := environment.runPhase(ctx, phase{
			name:  name,
			nodes: environment.options.Mode == ModeFleet,
			load:  load.Options{Rate: factor * capacity},
		})
		if err != nil {
			return Measurement{}, err
		}
		report := measured.report
		fields.latency(name, report)
		fields[name+"_good_requests_per_s"] = report.GoodPerSecond
		fields[name+"_refused_share"] = refusedShare(report)
		fields[name+"_least_engine_ratio"], fields[name+"_most_engine_ratio"] = measured.balance()
		best = max(best, report.GoodPerSecond)
		goodput.add(factor, report.GoodPerSecond)
	}
	last := goodput.Points[len(goodput.Points)-1].Y
	fields["goodput_kept_at_most_load_ratio"] = last / best
	chart := Chart{Title: "goodput", X: "offered load, multiples of the capacity", Y: "requests/s", Lines: []Line{goodput}}
	return Measurement{Fields: fields, Charts: []Chart{chart}}, nil
}

func refusedShare(report *load.Report) float64 {
	refused := 0
	for _, count := range report.Online.Refused {
		refused += count
	}
	return float64(refused) / float64(max(1, report.Online.Planned))
}

// onlineCapacity is the online rate that full engines carry by the cost model, without hits of the prefix cache.
func (e *environment) onlineCapacity(engines int) float64 {
	perToken := cost().Base.Seconds()/float64(e.options.MaxSequences) + cost().PerSequence.Seconds()
	prompt := load.DefaultPromptTokens + load.DefaultPrefixTokens
	needed := load.DefaultAnswerTokens*perToken + float64(prompt)*cost().PerPrefillToken.Seconds()
	return float64(engines) / needed
}

func (e *environment) engineCount() (int, error) {
	plan, err := fleet.ByName(e.options.Plan)
	if err != nil {
		return 0, fmt.Errorf("choosing the plan: %w", err)
	}
	count := 0
	for _, zone := range plan.Zones {
		count += zone.Runners
	}
	return count, nil
}
