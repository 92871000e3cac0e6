package labcli

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/lab/machinesim"
	"mallowlatch.example/mallowlatch/internal/machine"
)

// errBadRunner means that a --runner flag is not ID=ZONE@IP:PORT.
const errBadRunner = failure.Kind("want ID=ZONE@IP:PORT")

// newMachines returns the command that runs the stand-in for the machine list.
func newMachines() *cobra.Command {
	var listen, faultListen string
	var lag time.Duration
	var runners []string
	command := &cobra.Command{
		Use:   "machines",
		Short: "Run the stand-in for the platform's machine list",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			server := machinesim.New(lag, time.Now)
			for _, text := range runners {
				runner, err := parseRunner(text)
				if err != nil {
					return err
				}
				server.Set(runner)
			}
			return serveStandIn(command.Context(), command.OutOrStdout(),
				standInListener{name: "service", address: listen, handler: server.Handler()},
				standInListener{name: "faults", address: faultListen, handler: server.FaultHandler()},
			)
		},
	}
	flags := command.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:2479", "IP address and port of the list")
	flags.StringVar(&faultListen, "fault-listen", "127.0.0.1:2478", "IP address and port of the fault port")
	flags.DurationVar(&lag, "lag", 3*time.Second, "how old the list is that callers see")
	flags.StringArrayVar(&runners, "runner", nil, "a runner to list from the start, as ID=ZONE@IP:PORT; may be repeated")
	return command
}

func parseRunner(text string) (machine.Runner, error) {
	id, rest, hasZone := strings.Cut(text, "=")
	zone, address, hasAddress := strings.Cut(rest, "@")
	if !hasZone || !hasAddress {
		return machine.Runner{}, fmt.Errorf("--runner %q: %w", text, errBadRunner)
	}
	return machine.Runner{
		ID:      ident.Runner(id),
		Zone:    ident.Zone(zone),
		Address: address,
		State:   machine.Live,
	}, nil
}
