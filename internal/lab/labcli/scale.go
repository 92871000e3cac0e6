package labcli

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"mallowlatch.example/mallowlatch/internal/lab/scale"
)

// newScale returns the command that measures the control cost of hollow nodes.
func newScale() *cobra.Command {
	command := &cobra.Command{
		Use:   "scale",
		Short: "Measure the control cost of hollow nodes at the size of the design",
	}
	command.AddCommand(newScaleSimulated(), newScaleControl(), newScaleLoopback())
	return command
}

func newScaleSimulated() *cobra.Command {
	var sizes []int
	var asJSON bool
	schedule := scale.Schedule{}
	command := &cobra.Command{
		Use:   "simulated",
		Short: "In simulated time: start, steady service, loss of a zone, cut of a region",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var all []scale.Measurement
			for _, size := range sizes {
				schedule.Shape.Nodes = size
				all = append(all, schedule.Run()...)
			}
			return printScale(command, all, asJSON)
		},
	}
	flags := command.Flags()
	flags.IntSliceVar(&sizes, "nodes", []int{30, 110, 330}, "sizes of the fleet, one run each")
	flags.IntVar(&schedule.Shape.Zones, "zones", 11, "number of zones")
	flags.Uint64Var(&schedule.Seed, "seed", 20261202, "seed of the run")
	flags.DurationVar(&schedule.Steady, "steady", 10*time.Minute, "simulated length of steady service")
	flags.DurationVar(&schedule.Fault, "fault", 2*time.Minute, "simulated length of each fault")
	flags.Float64Var(&schedule.Loss, "loss", 0.01, "share of messages lost")
	flags.BoolVar(&asJSON, "json", false, "print JSON")
	return command
}

func newScaleLoopback() *cobra.Command {
	var sizes []int
	var asJSON bool
	loopback := scale.Loopback{}
	command := &cobra.Command{
		Use:   "loopback",
		Short: "In real time: membership and configuration over the real transport with mutual TLS, in one process",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var all []scale.Measurement
			for _, size := range sizes {
				loopback.Shape.Nodes = size
				measured, err := loopback.Run(command.Context())
				if err != nil {
					return fmt.Errorf("%d nodes: %w", size, err)
				}
				all = append(all, measured...)
			}
			return printScale(command, all, asJSON)
		},
	}
	flags := command.Flags()
	flags.IntSliceVar(&sizes, "nodes", []int{30}, "sizes of the fleet, one run each; a zone of n nodes needs 2n(n-1) open files")
	flags.IntVar(&loopback.Shape.Zones, "zones", 11, "number of zones")
	flags.Uint64Var(&loopback.Seed, "seed", 20261202, "seed of the run")
	flags.DurationVar(&loopback.Warm, "warm", 45*time.Second, "length of the warm-up")
	flags.DurationVar(&loopback.Length, "length", 45*time.Second, "length of the measurement")
	flags.IntVar(&loopback.First, "first", 0, "first node that this process runs")
	flags.IntVar(&loopback.Count, "count", 0, "number of nodes that this process runs; 0 means all")
	flags.IntVar(&loopback.BasePort, "base-port", 0, "port of node zero, if several processes share the fleet")
	flags.StringVar(&loopback.Directory, "directory", "", "empty folder for the certificates, if several processes share the fleet")
	flags.BoolVar(&loopback.Configuration, "configuration", true, "add the distribution of configuration")
	flags.BoolVar(&asJSON, "json", false, "print JSON")
	return command
}

func printScale(command *cobra.Command, measurements []scale.Measurement, asJSON bool) error {
	if !asJSON {
		return scale.WriteReport(command.OutOrStdout(), measurements)
	}
	encoder := json.NewEncoder(command.OutOrStdout())
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(measurements); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}
