package labcli

import "github.com/spf13/cobra"

// commands lists the commands of the lab; each constructor stands in a file of its own.
func commands() []*cobra.Command {
	return []*cobra.Command{
		newConfigSpread(),
		newKV(),
		newMachines(),
		newWeights(),
		newLink(),
		newEngine(),
		newFleet(),
		newLoad(),
		newExperiment(),
		newInterferenceSim(),
	}
}
