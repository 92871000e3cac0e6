package experiment

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"mallowlatch.example/mallowlatch/internal/lab/enginesim"
)

// Write writes the summary for reading.
func (r *Result) Write(out io.Writer) {
	fmt.Fprintf(out, "%s: plan %s, mode %s, %d runs of %s per phase, warm-up %s\n",
		r.Experiment, r.Plan, r.Mode, len(r.Runs), r.Duration, r.Warmup)
	for _, name := range slices.Sorted(maps.Keys(r.Summary)) {
		spread := r.Summary[name]
		fmt.Fprintf(out, "%-44s mean %10.3f  min %10.3f  max %10.3f  deviation %8.3f\n",
			name, spread.Mean, spread.Min, spread.Max, spread.Deviation)
	}
	for index, run := range r.Runs {
		for _, note := range run.Notes {
			fmt.Fprintf(out, "note, run %d: %s\n", index+1, note)
		}
	}
}

// cost is the cost model of the engines of a fleet.
func cost() enginesim.CostModel {
	return enginesim.CostModel{
		Base:            enginesim.DefaultStepBase,
		PerSequence:     enginesim.DefaultStepPerSequence,
		PerPrefillToken: enginesim.DefaultStepPerPrefill,
	}
}
