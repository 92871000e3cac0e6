package labcli

import (
	"fmt"

	"github.com/spf13/cobra"

	"mallowlatch.example/mallowlatch/internal/lab/linksim"
)

// newLink returns the command that runs the stand-in for a weak link.
func newLink() *cobra.Command {
	var listen, target, faultListen string
	var seed uint64
	command := &cobra.Command{
		Use:   "link",
		Short: "Run the stand-in for a weak link: a TCP forwarder with faults",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			link, err := linksim.Listen(listen, target, seed)
			if err != nil {
				return fmt.Errorf("open link: %w", err)
			}
			defer func() { _ = link.Close() }()
			fmt.Fprintf(command.OutOrStdout(), "link from %s to %s\n", link.Address(), target)
			return serveStandIn(command.Context(), command.OutOrStdout(),
				standInListener{name: "faults", address: faultListen, handler: link.FaultHandler()},
			)
		},
	}
	flags := command.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:2679", "IP address and port to forward from")
	flags.StringVar(&target, "target", "127.0.0.1:8082", "IP address and port to forward to")
	flags.StringVar(&faultListen, "fault-listen", "127.0.0.1:2678", "IP address and port of the fault port")
	flags.Uint64Var(&seed, "seed", 1, "seed of the jitter")
	return command
}
