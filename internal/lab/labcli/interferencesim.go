package labcli

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/lab/interferencesim"
)

// errUnknownPattern means a traffic pattern that the simulation does not have.
const errUnknownPattern = failure.Kind("unknown pattern")

// patternResult is the figures of one traffic pattern.
type patternResult struct {
	Pattern string                   `json:"pattern"`
	Seed    uint64                   `json:"seed"`
	Arms    []interferencesim.Result `json:"arms"`
}

// newInterferenceSim returns the command that measures batch beside online in virtual time.
func newInterferenceSim() *cobra.Command {
	options := interferencesim.Default()
	var wanted string
	var asJSON bool
	var shares []float64
	command := &cobra.Command{
		Use:   "interference-sim",
		Short: "Measure in virtual time what batch work costs online requests, and how much of the idle capacity it uses",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			results, err := simulatePatterns(options, wanted, shares)
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(command.OutOrStdout()).Encode(results)
			}
			for _, result := range results {
				printInterference(command.OutOrStdout(), result)
			}
			return nil
		},
	}
	flags := command.Flags()
	flags.Uint64Var(&options.Seed, "seed", options.Seed, "seed of arrivals and lengths")
	flags.BoolVar(&asJSON, "json", false, "print JSON")
	flags.StringVar(&wanted, "pattern", "", "the one pattern to run; empty means all")
	flags.Float64SliceVar(&shares, "frontier", nil, "play the system with these values of batch.share_beside_online instead of the other arms")
	flags.IntVar(&options.Requests, "requests", options.Requests, "online requests to measure, about")
	flags.Float64Var(&options.RatePerRunner, "rate-per-runner", options.RatePerRunner, "mean online requests per second and runner")
	flags.IntVar(&options.MaxSequences, "max-sequences", options.MaxSequences, "sequences an engine runs at once")
	flags.Float64Var(&options.HeapShare, "heap-share", options.HeapShare, "size of a batch heap, as a share of what the fleet does alone until the next")
	flags.DurationVar(&options.CallDelay, "call-delay", options.CallDelay, "time between node and engine, each way")
	flags.DurationVar(&options.CountDelay, "count-delay", options.CountDelay, "time a count takes to a runner's owner")
	flags.DurationVar(&options.Jitter, "jitter", 0, "mean of an exponential time added to each call and count")
	flags.DurationVar(&options.ReportEvery, "report-every", options.ReportEvery, "time between load reports")
	flags.DurationVar(&options.ReportLag, "report-lag", options.ReportLag, "age of a load report when it arrives")
	return command
}

func simulatePatterns(options interferencesim.Options, wanted string, shares []float64) ([]patternResult, error) {
	var results []patternResult
	for _, pattern := range interferencesim.Patterns() {
		if wanted != "" && wanted != pattern.Name {
			continue
		}
		shaped := options
		pattern.Shape(&shaped)
		result := patternResult{Pattern: pattern.Name, Seed: shaped.Seed}
		if len(shares) > 0 {
			result.Arms = interferencesim.Frontier(shaped, shares)
		} else {
			result.Arms = interferencesim.Run(shaped)
		}
		results = append(results, result)
	}
	if len(results) == 0 {
		return nil, fmt.Errorf("%w: %q", errUnknownPattern, wanted)
	}
	return results, nil
}

func printInterference(out io.Writer, result patternResult) {
	fmt.Fprintf(out, "%s, seed %d, %d requests (times in ms, harm as the ratio to online alone)\n",
		result.Pattern, result.Seed, result.Arms[0].Requests)
	fmt.Fprintf(out, "  %-14s %9s %9s %8s %8s %8s %8s %8s %8s %8s %8s\n", "arm", "of bound", "preempted",
		"p50", "p95", "p99", "token p99", "harm p50", "harm p95", "harm p99", "token")
	for _, arm := range result.Arms {
		fmt.Fprintf(out, "  %-14s %9.3f %9d %8.1f %8.1f %8.1f %9.1f %8.3f %8.3f %8.3f %8.3f\n", arm.Arm, arm.ShareOfBound,
			arm.Preemptions, arm.FirstTokenP50, arm.FirstTokenP95, arm.FirstTokenP99, arm.InterTokenP99,
			arm.HarmP50, arm.HarmP95, arm.HarmP99, arm.HarmInter)
	}
}
