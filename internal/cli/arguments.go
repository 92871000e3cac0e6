package cli

import "github.com/spf13/cobra"

// The checks here give wrong use its own exit code, which the library's own do not.

func exactArguments(count int) cobra.PositionalArgs { return argumentRange(count, count) }

func argumentRange(least, most int) cobra.PositionalArgs {
	return func(command *cobra.Command, arguments []string) error {
		if len(arguments) >= least && len(arguments) <= most {
			return nil
		}
		return usageError("%q takes %s", command.CommandPath(), command.Use)
	}
}

// group returns a command that only holds others.
func group(use, short string, commands ...*cobra.Command) *cobra.Command {
	command := &cobra.Command{Use: use, Short: short, Args: cobra.ArbitraryArgs, RunE: runGroup}
	command.AddCommand(commands...)
	return command
}

// runGroup runs when no command of the group was named.
func runGroup(command *cobra.Command, arguments []string) error {
	if len(arguments) > 0 {
		return usageError("%q has no command %q", command.CommandPath(), arguments[0])
	}
	return command.Help()
}

func flagError(_ *cobra.Command, err error) error { return usageError("%v", err) }
