package cli

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"mallowlatch.example/mallowlatch/internal/settings"
)

// NewConfigCommand returns "config": checking settings files and printing their reference.
func NewConfigCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "config",
		Short: "Check a node's settings file",
	}
	command.AddCommand(newConfigCheckCommand(), newConfigReferenceCommand())
	return command
}

func newConfigCheckCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file and print every problem with file, line and field",
		Long: "Check a settings file, with any flags of the node on top, and print every problem with file, line and field.\n" +
			"Exit codes: 0 the settings are good, 1 the file cannot be read, 2 wrong use, 3 the settings have problems.",
		Args: exactArguments(1),
	}
	flags := settings.BindFlags(command)
	command.RunE = func(command *cobra.Command, arguments []string) error {
		_, err := settings.Load(arguments[0], flags.Overrides())
		if errors.Is(err, settings.ErrInvalid) {
			return withExit(ExitInvalid, err)
		}
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(command.OutOrStdout(), "%s: ok\n", arguments[0])
		return err
	}
	return command
}

func newConfigReferenceCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "reference",
		Short: "Print the reference of all settings in Markdown",
		Args:  exactArguments(0),
		RunE: func(command *cobra.Command, _ []string) error {
			_, err := fmt.Fprint(command.OutOrStdout(), settings.Reference())
			return err
		},
	}
}
