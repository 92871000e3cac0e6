package labcli

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"mallowlatch.example/mallowlatch/internal/lab/experiment"
)

type experimentFlags struct {
	options experiment.Options
	mode    string
	asJSON  bool
	plot    string
}

// newExperiment returns the command that runs a named experiment.
func newExperiment() *cobra.Command {
	var chosen experimentFlags
	command := &cobra.Command{
		Use:   "experiment NAME",
		Short: "Run a named experiment on processes of its own",
		Long:  "Experiments:\n" + experimentList(),
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			return runExperiment(command, arguments[0], chosen)
		},
	}
	flags := command.Flags()
	options := &chosen.options
	flags.StringVar(&options.Binaries, "bin", "bin", "folder of the mallowlatch and mallowlatch-lab programs")
	flags.StringVar(&options.Directory, "directory", "", "folder for logs and data; empty means a temporary one, removed at the end")
	flags.StringVar(&options.Plan, "plan", "small", "fleet: small, trinacria or petrovi")
	flags.StringVar(&chosen.mode, "mode", string(experiment.ModeFleet), "fleet, or engines for the baselines alone")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the first run")
	flags.IntVar(&options.Runs, "runs", 3, "number of runs")
	flags.DurationVar(&options.Duration, "duration", 30*time.Second, "length of each phase")
	flags.DurationVar(&options.Warmup, "warmup", 6*time.Second, "start of each phase left out of the figures")
	flags.Float64Var(&options.Rate, "rate", 0, "online requests per second; zero means the experiment's default")
	flags.IntVar(&options.MaxSequences, "max-sequences", 32, "sequences an engine runs at once")
	flags.IntVar(&options.MaxWaiting, "max-waiting", 64, "sequences of a class that wait in an engine")
	flags.IntVar(&options.BasePort, "base-port", 22000, "first loopback port")
	flags.StringToStringVar(&options.NodeSettings, "node-setting", nil, "further settings of the nodes, name=value")
	flags.IntVar(&options.Faults, "faults", 50, "faults of the experiment faults; the load must last long enough for them")
	addJobFlags(flags, &options.Jobs)
	flags.BoolVar(&chosen.asJSON, "json", false, "print JSON")
	flags.StringVar(&chosen.plot, "plot", "", "PNG file to draw")
	return command
}

// addJobFlags adds the flags of the experiment job-shards.
func addJobFlags(flags *pflag.FlagSet, options *experiment.JobOptions) {
	flags.IntSliceVar(&options.Nodes, "nodes", []int{3, 6, 9}, "job-shards: numbers of disk nodes, a fleet for each")
	flags.IntVar(&options.Shards, "shards", 16, "job-shards: number of job shards")
	flags.IntVar(&options.Tenants, "tenants", 48, "job-shards: number of tenants, each with one job")
	flags.IntVar(&options.Items, "items", 2000, "job-shards: items of each job")
	flags.IntVar(&options.PlainItems, "plain-items", 40, "job-shards: items of each job of the variant with one commit an item")
	flags.IntVar(&options.LargeItems, "large-items", 0, "job-shards: items of one large job with small ones behind it; zero leaves it out")
	flags.IntVar(&options.Workers, "workers", 16, "job-shards: number of workers, which run no model")
	flags.IntVar(&options.LeaseItems, "lease-items", 256, "job-shards: items of a lease")
}

func experimentList() string {
	var list strings.Builder
	for _, known := range experiment.All() {
		fmt.Fprintf(&list, "  %-16s %s\n", known.Name, known.Summary)
	}
	return list.String()
}

func runExperiment(command *cobra.Command, name string, chosen experimentFlags) error {
	options := chosen.options
	options.Mode = experiment.Mode(chosen.mode)
	options.Progress = command.ErrOrStderr()
	if options.Directory == "" {
		directory, err := os.MkdirTemp("", "mallowlatch-experiment-")
		if err != nil {
			return fmt.Errorf("making a folder: %w", err)
		}
		defer os.RemoveAll(directory)
		options.Directory = directory
	}
	ctx, stop := signal.NotifyContext(command.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	result, err := experiment.Run(ctx, name, options)
	if err != nil {
		return err
	}
	if chosen.plot != "" {
		if err := result.WritePlot(chosen.plot); err != nil {
			return err
		}
	}
	return writeResult(command, result, chosen.asJSON)
}

func writeResult(command *cobra.Command, result *experiment.Result, asJSON bool) error {
	if !asJSON {
		result.Write(command.OutOrStdout())
		return nil
	}
	encoder := json.NewEncoder(command.OutOrStdout())
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(result); err != nil {
		return fmt.Errorf("writing result: %w", err)
	}
	return nil
}
