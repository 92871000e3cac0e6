package cli

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"mallowlatch.example/mallowlatch/internal/dev"
)

// newDevCommand returns the command that runs a small site in one process.
func newDevCommand() *cobra.Command {
	var options dev.Options
	command := &cobra.Command{
		Use:   "dev",
		Short: "Run a whole small site in one process on loopback, with stand-in engines",
		Args:  exactArguments(0),
	}
	flags := command.Flags()
	flags.StringVar(&options.CallerAddress, "caller", "127.0.0.1:8080", "IP address and port of the caller API")
	flags.StringVar(&options.AdminAddress, "admin", "127.0.0.1:8081", "IP address and port of the admin API")
	flags.IntVar(&options.Engines, "engines", 2, "number of stand-in engines")
	flags.StringVar(&options.LogLevel, "log-level", "warn", "least level that is logged: debug, info, warn or error")
	command.RunE = func(command *cobra.Command, _ []string) error {
		ctx, stop := signal.NotifyContext(command.Context(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		options.Out = command.OutOrStdout()
		options.Log = command.ErrOrStderr()
		return dev.Run(ctx, options)
	}
	return command
}
