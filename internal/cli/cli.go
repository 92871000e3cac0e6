// Package cli is the command line of mallowlatch. Each command stands in a file of its own and adds itself in newRoot.
package cli

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Exit codes of the command line.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// Execute runs the command line and returns the exit code.
func Execute(arguments []string, stdout, stderr io.Writer) int {
	root := newRoot()
	root.SetArgs(arguments)
	root.SetOut(stdout)
	root.SetErr(stderr)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(stderr, "error:", err)
		return exitCode(err)
	}
	return ExitOK
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "mallowlatch",
		Short:         "Serve online and batch inference on one fleet of many small sites",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.ArbitraryArgs,
		RunE:          runGroup,
	}
	root.SetFlagErrorFunc(flagError)
	root.AddCommand(NewConfigCommand())
	root.AddCommand(newNodeCommand(), newDevCommand())
	root.AddCommand(operatorCommands()...)
	return root
}
