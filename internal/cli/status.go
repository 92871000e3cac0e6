package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"mallowlatch.example/mallowlatch/internal/admin"
	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// newRunnerCommand returns "runner": the state of runners, and draining one.
func newRunnerCommand() *cobra.Command {
	return group("runner", "Show runners, or take one out of work", newRunnerStatusCommand(), newDrainCommand("runner"))
}

func newNodeStatusCommand() *cobra.Command {
	command := &cobra.Command{Use: "status", Short: "List the nodes of the fleet", Args: exactArguments(0)}
	server := adminConnection(command)
	format := addOutput(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		client, err := server.client()
		if err != nil {
			return err
		}
		var list admin.NodeList
		if err := client.read(command.Context(), adminPrefix+"status/nodes", nil, &list); err != nil {
			return err
		}
		return format.print(command.OutOrStdout(), list.Items, func(rows *tabwriter.Writer) {
			row(rows, "NODE", "ZONE", "STATE", "DRAINING", "STORAGE", "SHARDS", "SOLE", "BYTES", "LEFTOVER", "ADDRESS", "VERSION")
			for _, node := range list.Items {
				row(rows, node.Name, node.Zone, node.State, node.Draining, node.Storage, node.Shards, node.SoleShards,
					node.StorageBytes, node.LeftoverBytes, node.Address, node.Version)
			}
		})
	}
	return command
}

func newRunnerStatusCommand() *cobra.Command {
	command := &cobra.Command{Use: "status", Short: "List the runners of the fleet", Args: exactArguments(0)}
	server := adminConnection(command)
	format := addOutput(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		client, err := server.client()
		if err != nil {
			return err
		}
		var list admin.RunnerList
		if err := client.read(command.Context(), adminPrefix+"status/runners", nil, &list); err != nil {
			return err
		}
		return format.print(command.OutOrStdout(), list.Items, func(rows *tabwriter.Writer) {
			row(rows, "RUNNER", "ZONE", "STATE", "DRAINING", "OWNER", "MODEL", "VERSION", "ADAPTERS", "RUNNING", "WAITING")
			for _, runner := range list.Items {
				row(rows, runner.Name, runner.Zone, runner.State, runner.Draining, runner.Owner, runner.Model,
					runner.Version, join(runner.Adapters), runner.Running, runner.Waiting)
			}
		})
	}
	return command
}

// newDrainCommand returns "drain" for a kind of machine, "runner" or "node". A drain is a resource of the
// configuration, so that it survives every restart until it is taken back.
func newDrainCommand(machine string) *cobra.Command {
	command := &cobra.Command{
		Use:   "drain NAME",
		Short: fmt.Sprintf("Give a %s no new work; --undo takes it back", machine),
		Args:  exactArguments(1),
	}
	flags := addChangeFlags(command)
	reason := command.Flags().String("reason", "", "text kept with the drain")
	undo := command.Flags().Bool("undo", false, "give it work again")
	command.RunE = func(command *cobra.Command, arguments []string) error {
		client, err := flags.server.client()
		if err != nil {
			return err
		}
		reference := catalog.Reference{Kind: catalog.KindDrain, Name: machine + "/" + arguments[0]}
		if *undo {
			return deleteResource(command, client, flags, reference, 0)
		}
		if machine == "node" {
			warnOfSoleShards(command, client, ident.Node(arguments[0]))
		}
		return drain(command, client, flags, catalog.Drain{Name: reference.Name, Reason: *reason})
	}
	return command
}

// warnOfSoleShards tells before a node is drained which job shards would be away without it. The drain goes on: the
// node itself waits for another copy as long as its drain time allows.
func warnOfSoleShards(command *cobra.Command, client *client, name ident.Node) {
	var list admin.NodeList
	if err := client.read(command.Context(), adminPrefix+"status/nodes", nil, &list); err != nil {
		command.PrintErrf("Whether job shards would be away is not known: %v\n", err)
		return
	}
	for _, node := range list.Items {
		if node.Name == name && node.SoleShards > 0 {
			command.PrintErrf("%d of the %d job shards on %s have no copy on another node that stays: they are away while "+
				"it is stopped, unless another node with a disk takes them over first.\n", node.SoleShards, node.Shards, name)
		}
	}
}

func drain(command *cobra.Command, client *client, flags *changeFlags, order catalog.Drain) error {
	resource, err := catalog.Encode(&order)
	if err != nil {
		return fmt.Errorf("writing the drain: %w", err)
	}
	result, err := putNew(command, client, flags, resource)
	if err != nil {
		return err
	}
	return flags.finish(command, result)
}

// putNew creates a resource that must not exist yet.
func putNew(command *cobra.Command, client *client, flags *changeFlags, resource catalog.Resource) (admin.ChangeResult, error) {
	body, err := json.Marshal(resource)
	if err != nil {
		return admin.ChangeResult{}, fmt.Errorf("writing the resource: %w", err)
	}
	return client.sendChange(command, call{
		method: http.MethodPut,
		path:   adminPrefix + resource.Reference().String(),
		query:  flags.query(),
		header: map[string]string{"If-None-Match": "*", "Content-Type": "application/json"},
		body:   textBody(string(body)),
	})
}
