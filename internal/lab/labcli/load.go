package labcli

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"mallowlatch.example/mallowlatch/internal/lab/load"
)

// newLoad returns the command that runs the load generator.
func newLoad() *cobra.Command {
	var options load.Options
	var surges []string
	var asJSON bool
	command := &cobra.Command{
		Use:   "load",
		Short: "Send online and batch load, check every answer, print figures",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			parsed, err := parseSurges(surges)
			if err != nil {
				return err
			}
			options.Surges = parsed
			return runLoad(command, options, asJSON)
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&options.Targets, "target", []string{"http://127.0.0.1:8080"}, "base URLs of the caller API, taken in turn")
	flags.StringSliceVar(&options.Keys, "key", nil, "API keys, taken in turn")
	flags.StringVar(&options.Model, "model", "base", "service to ask for")
	flags.Float64Var(&options.Rate, "rate", 10, "online requests per second")
	flags.StringArrayVar(&surges, "surge", nil, "another rate for a while: AT,FOR,RATE as in 10s,5s,80")
	flags.DurationVar(&options.Duration, "duration", 30*time.Second, "how long arrivals go on")
	flags.DurationVar(&options.Warmup, "warmup", 5*time.Second, "start of the run left out of the figures")
	flags.DurationVar(&options.Drain, "drain", load.DefaultDrain, "how long to wait for open work at the end")
	flags.IntVar(&options.PromptTokens, "prompt-tokens", load.DefaultPromptTokens, "median prompt, beside the shared prefix")
	flags.IntVar(&options.AnswerTokens, "answer-tokens", load.DefaultAnswerTokens, "median answer")
	flags.IntVar(&options.PrefixTokens, "prefix-tokens", load.DefaultPrefixTokens, "length of a shared prefix")
	flags.IntVar(&options.Prefixes, "prefixes", load.DefaultPrefixes, "number of shared prefixes")
	flags.Float64Var(&options.NotRepeatable, "not-repeatable", 0, "share of online requests that may run at most once")
	flags.DurationVar(&options.BatchEvery, "batch-every", 0, "time between heaps of batch work; zero means none")
	flags.IntVar(&options.BatchItems, "batch-items", 100, "items of a heap")
	flags.IntVar(&options.BatchPromptTokens, "batch-prompt-tokens", load.DefaultBatchPromptTokens, "median prompt of an item")
	flags.IntVar(&options.BatchAnswerTokens, "batch-answer-tokens", load.DefaultBatchAnswerTokens, "median answer of an item")
	flags.BoolVar(&options.Retry, "retry", false, "send requests that surely were not run to the next target")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of arrivals and bodies")
	flags.StringSliceVar(&options.EngineFaults, "engine-faults", nil, "fault ports of stand-in engines, asked for doubled runs")
	flags.BoolVar(&asJSON, "json", false, "print JSON")
	return command
}

func parseSurges(texts []string) ([]load.Surge, error) {
	var surges []load.Surge
	for _, text := range texts {
		surge, err := parseSurge(text)
		if err != nil {
			return nil, fmt.Errorf("surge %q: %w", text, err)
		}
		surges = append(surges, surge)
	}
	return surges, nil
}

func parseSurge(text string) (load.Surge, error) {
	const fields = 3
	parts := strings.Split(text, ",")
	if len(parts) != fields {
		return load.Surge{}, fmt.Errorf("%w: need AT,FOR,RATE", load.ErrBadOptions)
	}
	at, err := time.ParseDuration(parts[0])
	if err != nil {
		return load.Surge{}, fmt.Errorf("%w: %w", load.ErrBadOptions, err)
	}
	duration, err := time.ParseDuration(parts[1])
	if err != nil {
		return load.Surge{}, fmt.Errorf("%w: %w", load.ErrBadOptions, err)
	}
	rate, err := strconv.ParseFloat(parts[2], 64)
	if err != nil {
		return load.Surge{}, fmt.Errorf("%w: %w", load.ErrBadOptions, err)
	}
	return load.Surge{At: at, For: duration, Rate: rate}, nil
}

func runLoad(command *cobra.Command, options load.Options, asJSON bool) error {
	report, err := load.Start(command.Context(), options)
	if err != nil {
		return err
	}
	if !asJSON {
		report.Write(command.OutOrStdout())
		return nil
	}
	encoder := json.NewEncoder(command.OutOrStdout())
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(report); err != nil {
		return fmt.Errorf("writing report: %w", err)
	}
	return nil
}
