package labcli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"mallowlatch.example/mallowlatch/internal/confsync"
	"mallowlatch.example/mallowlatch/internal/lab/conffleet"
	"mallowlatch.example/mallowlatch/internal/lab/confsim"
	"mallowlatch.example/mallowlatch/internal/lab/kvsim"
)

// newConfigSpread returns the command that measures configuration distribution over a simulated fleet.
func newConfigSpread() *cobra.Command {
	var sizes []int
	var changes int
	var real bool
	var rate float64
	options := confsim.Options{Timing: confsync.DefaultTiming()}
	measurement := confsim.Measurement{}
	command := &cobra.Command{
		Use:   "config-spread",
		Short: "Measure how fast a configuration change is in force everywhere, and what that costs, over simulated fleets",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			out := command.OutOrStdout()
			if real {
				return realSpread(command.Context(), out, options, measurement, sizes, changes, rate)
			}
			fmt.Fprintf(out, "links: zone %v, between zones %v, store %v (each message 1 to 2 times that), loss %.1f%%\n",
				options.ZoneDelay, options.CrossDelay, options.StoreDelay, 100*options.Loss)
			for _, size := range sizes {
				options.Nodes = size
				measurement.Changes = changes
				started := time.Now()
				result, err := confsim.Measure(options, measurement)
				if err != nil {
					return fmt.Errorf("measure %d nodes: %w", size, err)
				}
				printSpread(out, result, time.Since(started))
			}
			return nil
		},
	}
	flags := command.Flags()
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the run")
	flags.IntSliceVar(&sizes, "nodes", []int{30, 110, 330}, "fleet sizes to measure")
	flags.IntVar(&options.Zones, "zones", 11, "number of zones")
	flags.DurationVar(&options.ZoneDelay, "zone-delay", 500*time.Microsecond, "least one-way delay within a zone")
	flags.DurationVar(&options.CrossDelay, "cross-delay", 20*time.Millisecond, "least one-way delay between zones")
	flags.DurationVar(&options.StoreDelay, "store-delay", 5*time.Millisecond, "least one-way delay to the key-value service")
	flags.DurationVar(&options.DetectionDelay, "detection", 3*time.Second, "longest time until a node's view follows")
	flags.Float64Var(&options.Loss, "loss", 0, "chance that a message is lost")
	flags.IntVar(&changes, "changes", 50, "number of changes")
	flags.DurationVar(&measurement.Interval, "interval", 10*time.Second, "time between changes")
	flags.IntVar(&measurement.ValueBytes, "value-bytes", 300, "size of the resource each change writes")
	flags.DurationVar(&measurement.Idle, "idle", 60*time.Second, "time without changes at first")
	flags.BoolVar(&real, "real", false, "run real replicas over connections in memory and the wall clock; link flags have no effect")
	flags.Float64Var(&rate, "rate", 20, "with --real, the key-value stand-in's rate limit in calls a second")
	flags.BoolVar(&measurement.OutageAfterAccept, "outage-after-accept", false,
		"take the key-value service away at the instant each change is accepted")
	return command
}

// realSpread measures real replicas in this process.
func realSpread(
	ctx context.Context, out io.Writer, simulated confsim.Options, measurement confsim.Measurement,
	sizes []int, changes int, rate float64,
) error {
	fmt.Fprintf(out, "real replicas, connections in memory, key-value stand-in limited to %.0f calls/s\n", rate)
	for _, size := range sizes {
		options := conffleet.Options{
			Nodes:       size,
			Zones:       simulated.Zones,
			Seed:        simulated.Seed,
			StoreFaults: kvsim.Faults{RatePerSecond: rate, Burst: int(rate)},
		}
		result, err := conffleet.Measure(ctx, options, changes, measurement.ValueBytes)
		if err != nil {
			return fmt.Errorf("measure %d nodes: %w", size, err)
		}
		fmt.Fprintf(out, "%d nodes in %d zones:\n", size, simulated.Zones)
		printDelays(out, "call to answer", result.Answered)
		printDelays(out, "call to in force, every node", result.InForce)
		printDelays(out, "call to in force, slowest node", result.Slowest)
		fmt.Fprintf(out, "  idle, per node: %.0f bytes/s framed, %v of processor a second; heap and stacks %.0f KB a node\n",
			result.IdleWireBytes, result.IdleCPU.Round(time.Microsecond), result.HeapBytes/1024)
		fmt.Fprintf(out, "  key-value calls: %d, refused by the rate limit: %d\n", result.StoreCalls, result.StoreRefused)
	}
	return nil
}

func printDelays(out io.Writer, name string, sorted []time.Duration) {
	fmt.Fprintf(out, "  %s: p50 %v p99 %v max %v\n", name, round(confsim.Quantile(sorted, 0.5)),
		round(confsim.Quantile(sorted, 0.99)), round(confsim.Quantile(sorted, 1)))
}

func printSpread(out io.Writer, result confsim.Result, took time.Duration) {
	fmt.Fprintf(out, "%d nodes in %d zones (%v of processor time at most):\n", result.Nodes, result.Zones, took.Round(time.Millisecond))
	printDelays(out, "commit to in force, every node", result.NodeDelays)
	printDelays(out, "commit to in force, slowest node", result.SlowestDelays)
	fmt.Fprintf(out, "  idle, per node: %.2f messages/s, %.1f bytes/s without framing; store calls of the fleet: %.1f/s\n",
		result.IdleMessages, result.IdleBytes, result.StoreCalls)
	fmt.Fprintf(out, "  per node and change: %.1f messages, %.0f bytes without framing\n",
		result.ChangeMessages, result.ChangeBytes)
}

func round(delay time.Duration) time.Duration { return delay.Round(100 * time.Microsecond) }
