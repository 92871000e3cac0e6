// Package labcli is the command line of mallowlatch-lab. Each command stands in a file of its own.
package labcli

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Execute runs the command line and returns the exit code.
func Execute(arguments []string, stdout, stderr io.Writer) int {
	root := newRoot()
	root.SetArgs(arguments)
	root.SetOut(stdout)
	root.SetErr(stderr)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(stderr, "error:", err)
		return 1
	}
	return 0
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "mallowlatch-lab",
		Short:         "Stand-ins, load and experiments for mallowlatch",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(commands()...)
	return root
}
