package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"mallowlatch.example/mallowlatch/internal/node"
	"mallowlatch.example/mallowlatch/internal/settings"
)

// newNodeCommand returns "node": it runs a node until it is told to stop; its subcommands show nodes and drain them.
func newNodeCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "node",
		Short: "Run a node until SIGTERM or SIGINT, then stop it as planned",
		Args:  exactArguments(0),
	}
	command.AddCommand(newNodeStatusCommand(), newDrainCommand("node"))
	path := command.Flags().String("config", "", "settings file; every setting may also be given as a flag")
	flags := settings.BindFlags(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		loaded, err := settings.Load(*path, flags.Overrides())
		if err != nil {
			return fmt.Errorf("settings: %w", err)
		}
		return runNode(command.Context(), loaded, command.ErrOrStderr())
	}
	return command
}

func runNode(ctx context.Context, loaded settings.Settings, log io.Writer) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	assembled, err := node.New(loaded, node.Options{Logger: newLogger(loaded, log), Registry: newRegistry(), OwnProcess: true})
	if err != nil {
		return err
	}
	return assembled.Run(ctx)
}

func newLogger(loaded settings.Settings, writer io.Writer) zerolog.Logger {
	level, err := zerolog.ParseLevel(loaded.Log.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(writer).Level(level).With().Timestamp().Str("node", string(loaded.Node.ID)).Logger()
}

// newRegistry returns a registry with the metrics of the process itself.
func newRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return registry
}
