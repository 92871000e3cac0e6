package labcli

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"mallowlatch.example/mallowlatch/internal/lab/scale"
)

// The fleet of the design, of which smaller ones get their part of runners and requests.
const (
	designNodes   = 330
	designRunners = 880
	designRate    = 2500.0
)

// newScaleControl returns the command that runs the control of whole nodes in simulated time.
func newScaleControl() *cobra.Command {
	var sizes []int
	var asJSON bool
	var load float64
	control := scale.Control{}
	command := &cobra.Command{
		Use:   "control",
		Short: "In simulated time: membership, runner state and ownership under online load, with the schedule of failures",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var all []scale.ControlMeasurement
			for _, size := range sizes {
				control.Shape.Nodes = size
				control.Runners = max(1, designRunners*size/designNodes)
				control.Rate = designRate * load * float64(size) / designNodes
				all = append(all, control.Run()...)
			}
			if !asJSON {
				return scale.WriteControlReport(command.OutOrStdout(), all)
			}
			encoder := json.NewEncoder(command.OutOrStdout())
			encoder.SetIndent("", "  ")
			if err := encoder.Encode(all); err != nil {
				return fmt.Errorf("print: %w", err)
			}
			return nil
		},
	}
	flags := command.Flags()
	flags.IntSliceVar(&sizes, "nodes", []int{30, 110, 330}, "sizes of the fleet, one run each, with their part of 880 runners and 2,500 requests/s")
	flags.IntVar(&control.Shape.Zones, "zones", 11, "number of zones")
	flags.Uint64Var(&control.Seed, "seed", 20261202, "seed of the run")
	flags.Float64Var(&load, "load", 1, "part of the peak's online requests")
	flags.DurationVar(&control.Steady, "steady", time.Minute, "simulated length of steady service")
	flags.DurationVar(&control.Fault, "fault", time.Minute, "simulated length of each fault")
	flags.Float64Var(&control.Loss, "loss", 0.01, "share of messages lost")
	flags.Float64Var(&control.TenantRate, "tenant-rate", 0, "limit of each of 2,200 tenants in requests a second, split by demand; 0 means none")
	flags.StringSliceVar(&control.Phases, "phases", scale.Phases(), "phases to play, in this order")
	flags.DurationVar(&control.Settle, "settle", time.Minute, "simulated length of each phase in which the fleet comes to rest")
	flags.BoolVar(&asJSON, "json", false, "print JSON")
	return command
}
