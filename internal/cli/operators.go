package cli

import "github.com/spf13/cobra"

// operatorCommands returns the commands over the administration API and the caller API, and those that need no server.
// "completion" is the command line library's own.
func operatorCommands() []*cobra.Command {
	return []*cobra.Command{
		newGetCommand(),
		newApplyCommand(),
		newDeleteCommand(),
		newHistoryCommand(),
		newRollbackCommand(),
		newKeyCommand(),
		newPolicyCommand(),
		newJobCommand(),
		newEventsCommand(),
		newVersionCommand(),
		newRunnerCommand(),
	}
}
