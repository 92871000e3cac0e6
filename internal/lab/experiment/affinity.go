package experiment

import (
	"context"
	"fmt"
	"strconv"

	"mallowlatch.example/mallowlatch/internal/dispatch"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/lab/load"
)

const (
	// affinityRate is the default load, in requests per second.
	affinityRate = 16
	// affinityMemory is each engine's KV memory, in tokens: room for about eight of the shared beginnings.
	affinityMemory = 64_000
	// shortestHistory and longestHistory bound the shared beginnings, and historyQuestion is the median of what follows, in
	// tokens.
	shortestHistory = 2_500
	longestHistory  = 12_000
	historyQuestion = 128
)

// affinityChains are the numbers of distinct shared beginnings.
var affinityChains = []int{4, 56}

// runAffinity sends prompts with few and with many long shared beginnings, and has nodes go by nothing, by their own
// history, and by that corrected by cache events.
func runAffinity(ctx context.Context, environment *environment) (Measurement, error) {
	fields := Fields{}
	var names []string
	for _, chains := range affinityChains {
		for _, affinity := range []dispatch.Affinity{dispatch.AffinityNone, dispatch.AffinityHistory, dispatch.AffinityEvents} {
			name := fmt.Sprintf("%s_%d", affinity, chains)
			measured, err := environment.runPhase(ctx, environment.affinityPhase(name, affinity, chains))
			if err != nil {
				return Measurement{}, err
			}
			fields.latency(name, measured.report)
			fields[name+"_refused_share"] = refusedShare(measured.report)
			fields[name+"_hit_share"] = hitShare(measured)
			fields[name+"_least_engine_ratio"], fields[name+"_most_engine_ratio"] = measured.balance()
			fields[name+"_node_core_share"] = measured.coreShare()
			names = append(names, name)
		}
	}
	return Measurement{Fields: fields, Charts: []Chart{latencyChart(fields, names...)}}, nil
}

func (e *environment) affinityPhase(name string, affinity dispatch.Affinity, chains int) phase {
	return phase{
		name:            name,
		nodes:           true,
		engineArguments: []string{"--memory-tokens", strconv.Itoa(affinityMemory)},
		nodeSettings:    map[string]string{"dispatch.prefix_affinity": string(affinity)},
		load: load.Options{
			Rate:                e.rate(affinityRate),
			Prefixes:            chains,
			PrefixTokens:        shortestHistory,
			LongestPrefixTokens: longestHistory,
			PromptTokens:        historyQuestion,
		},
	}
}

// hitShare returns the share of the prompt tokens that the engines took from their caches, over the whole phase.
func hitShare(measured outcome) float64 {
	cached := measured.counters.Cached[inference.Online]
	computed := measured.counters.Prefilled[inference.Online]
	return float64(cached) / float64(max(1, cached+computed))
}
