// Command mallowlatch-site runs the roles of mallowlatch on a platform's machines, one process per role. It also
// checks settings files and prints the log lines of a request, a job or an item.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"mallowlatch.example/mallowlatch/internal/clock"
	"mallowlatch.example/mallowlatch/internal/explain"
	"mallowlatch.example/mallowlatch/internal/sitesettings"
	"mallowlatch.example/mallowlatch/platform"
)

func main() {
	root := &cobra.Command{
		Use:           "mallowlatch-site",
		Short:         "Run mallowlatch on the users' platform",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	path := root.PersistentFlags().String("settings", os.Getenv(platform.SettingsVariable),
		"settings file (default: variable "+platform.SettingsVariable+" of the environment)")
	root.AddCommand(
		roleCommand("front", "Serve client requests", path, runFront),
		roleCommand("worker", "Run the items of batch jobs", path, runWorker),
		checkCommand(path),
		explainCommand(),
	)
	if err := root.Execute(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "mallowlatch-site:", err)
		os.Exit(1)
	}
}

func roleCommand(name, short string, path *string, run func(path string, settings sitesettings.Settings) error) *cobra.Command {
	return &cobra.Command{
		Use: name, Short: short, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			settings, err := sitesettings.Load(*path)
			if err != nil {
				return fmt.Errorf("reading the settings %q: %w", *path, err)
			}
			if err := clock.Start(); err != nil {
				return fmt.Errorf("starting the clock: %w", err)
			}
			return run(*path, settings)
		},
	}
}

func checkCommand(path *string) *cobra.Command {
	return &cobra.Command{
		Use: "check-settings", Short: "Check a settings file and say what is wrong with it", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if _, err := sitesettings.Load(*path); err != nil {
				return err
			}
			_, err := fmt.Fprintln(command.OutOrStdout(), "settings are good:", *path)
			return err
		},
	}
}

func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use: "explain ID FILE...", Short: "Print the log lines of a request, a job or an item from log files", Args: cobra.MinimumNArgs(2),
		RunE: func(command *cobra.Command, arguments []string) error {
			var sources []io.Reader
			for _, name := range arguments[1:] {
				file, err := os.Open(name)
				if err != nil {
					return fmt.Errorf("opening a log file: %w", err)
				}
				defer func() { _ = file.Close() }()
				sources = append(sources, file)
			}
			lines, err := explain.Collect(arguments[0], sources...)
			if err != nil {
				return err
			}
			return explain.Write(command.OutOrStdout(), lines)
		},
	}
}
