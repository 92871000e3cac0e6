package labcli

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"mallowlatch.example/mallowlatch/internal/lab/enginesim"
)

// newEngine returns the command that runs one stand-in engine as a process.
func newEngine() *cobra.Command {
	var options enginesim.Options
	command := &cobra.Command{
		Use:   "engine",
		Short: "Run a stand-in model engine",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runEngine(command, options)
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.Listen, "listen", "127.0.0.1:9000", "address of the engine's API, IP:port")
	flags.StringVar(&options.FaultListen, "fault-listen", "127.0.0.1:0", "address of the fault and inspection port, IP:port")
	flags.StringVar((*string)(&options.Runner), "runner", "runner-1", "name of the runner")
	flags.StringVar((*string)(&options.Zone), "zone", "", "zone of the runner")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the faults")
	flags.StringSliceVar(&options.Models, "model", []string{"base"}, "models loaded at the start")
	flags.StringSliceVar(&options.Adapters, "adapter", nil, "adapters loaded at the start")
	flags.Float64Var(&options.TimeScale, "time-scale", 1, "divides every simulated duration")
	addCostFlags(command, &options)
	return command
}

func addCostFlags(command *cobra.Command, options *enginesim.Options) {
	flags := command.Flags()
	flags.DurationVar(&options.Cost.Base, "step-base", enginesim.DefaultStepBase, "duration of a step without sequences")
	flags.DurationVar(&options.Cost.PerSequence, "step-per-sequence", enginesim.DefaultStepPerSequence, "added to a step for each decoding sequence")
	flags.DurationVar(&options.Cost.PerPrefillToken, "step-per-prefill-token", enginesim.DefaultStepPerPrefill, "added to a step for each prompt token")
	flags.IntVar(&options.StepTokens, "step-tokens", enginesim.DefaultStepTokens, "token budget of a step")
	flags.IntVar(&options.MaxSequences, "max-sequences", enginesim.DefaultMaxSequences, "sequences that run at once")
	flags.IntVar(&options.MaxWaiting, "max-waiting", enginesim.DefaultMaxWaiting, "waiting sequences of each class")
	flags.IntVar(&options.MemoryTokens, "memory-tokens", enginesim.DefaultMemoryTokens, "KV memory in tokens")
	flags.IntVar(&options.BlockTokens, "block-tokens", enginesim.DefaultBlockTokens, "prefix cache block in tokens")
	flags.BoolVar(&options.IgnorePriority, "ignore-priority", false, "admit in order of arrival, whatever the class")
	flags.BoolVar(&options.NoPreemption, "no-preemption", false, "keep batch running when online waits")
	flags.DurationVar(&options.LoadLag, "load-lag", enginesim.DefaultLoadLag, "lag of load reports")
	flags.DurationVar(&options.EventLag, "event-lag", enginesim.DefaultEventLag, "lag of cache events")
	flags.DurationVar(&options.ResumeWindow, "resume-window", enginesim.DefaultResumeWindow, "how long a stream without a reader is held")
	flags.DurationVar(&options.ModelLoadTime, "model-load-time", enginesim.DefaultModelLoadTime, "duration of loading a model or adapter")
}

func runEngine(command *cobra.Command, options enginesim.Options) error {
	running := enginesim.New(options)
	address, err := running.Start()
	if err != nil {
		return fmt.Errorf("starting engine %s: %w", options.Runner, err)
	}
	fmt.Fprintf(command.OutOrStdout(), "engine %s on %s, faults on %s\n", options.Runner, address, running.FaultAddress())
	ctx, stop := signal.NotifyContext(command.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	select {
	case <-ctx.Done():
	case <-running.Dead():
	}
	return running.Stop()
}
