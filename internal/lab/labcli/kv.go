package labcli

import (
	"github.com/spf13/cobra"

	"mallowlatch.example/mallowlatch/internal/lab/kvsim"
)

// newKV returns the command that runs the stand-in for the key-value service.
func newKV() *cobra.Command {
	var listen, faultListen string
	var seed uint64
	var faults kvsim.Faults
	var outage string
	command := &cobra.Command{
		Use:   "kv",
		Short: "Run the stand-in for the key-value service (etcd v3 JSON mapping, state in memory)",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			faults.Outage = kvsim.Outage(outage)
			server := kvsim.New(seed)
			server.SetFaults(faults)
			return serveStandIn(command.Context(), command.OutOrStdout(),
				standInListener{name: "service", address: listen, handler: server.Handler()},
				standInListener{name: "faults", address: faultListen, handler: server.FaultHandler()},
			)
		},
	}
	flags := command.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:2379", "IP address and port of the service")
	flags.StringVar(&faultListen, "fault-listen", "127.0.0.1:2378", "IP address and port of the fault port")
	flags.Uint64Var(&seed, "seed", 1, "seed of the faults drawn by chance")
	flags.Float64Var(&faults.RatePerSecond, "rate", 0, "calls a second over all clients; 0 means no limit")
	flags.IntVar(&faults.Burst, "burst", 0, "calls allowed at once above the rate")
	flags.Float64Var(&faults.DelayMilliseconds, "delay-ms", 0, "delay before each call takes effect, in milliseconds")
	flags.Float64Var(&faults.LoseAnswers, "lose-answers", 0, "chance that a change is applied and its answer lost")
	flags.StringVar(&outage, "outage", "", "start in an outage: refuse or hang")
	return command
}
