package cli

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"mallowlatch.example/mallowlatch/internal/admin"
	"mallowlatch.example/mallowlatch/internal/catalog"
)

const adminPrefix = "/admin/v1/"

func newGetCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "get KIND [NAME]",
		Short: "Print resources of the configuration",
		Long: "Print the resources of a kind, or one of them. With -o yaml the output can be edited and applied: the\n" +
			"revision in it guards against overwriting somebody else's change.",
		Example:           "  mallowlatch get services\n  mallowlatch get policies booking -o yaml > booking.yaml",
		Args:              argumentRange(1, 2),
		ValidArgsFunction: completeKinds,
	}
	server := adminConnection(command)
	format := addOutput(command)
	command.RunE = func(command *cobra.Command, arguments []string) error {
		client, err := server.client()
		if err != nil {
			return err
		}
		if len(arguments) == 1 {
			return getList(command, client, format, arguments[0])
		}
		return getOne(command, client, format, catalog.Reference{Kind: catalog.Kind(arguments[0]), Name: arguments[1]})
	}
	return command
}

func completeKinds(_ *cobra.Command, arguments []string, _ string) ([]string, cobra.ShellCompDirective) {
	var names []string
	if len(arguments) == 0 {
		for _, kind := range catalog.Kinds() {
			names = append(names, string(kind))
		}
	}
	return names, cobra.ShellCompDirectiveNoFileComp
}

func getList(command *cobra.Command, client *client, format *output, kind string) error {
	var list admin.ResourceList
	if err := client.read(command.Context(), adminPrefix+kind, nil, &list); err != nil {
		return err
	}
	// The items alone can be applied again.
	return format.print(command.OutOrStdout(), list.Items, func(rows *tabwriter.Writer) {
		printResources(rows, list.Items)
	})
}

func getOne(command *cobra.Command, client *client, format *output, reference catalog.Reference) error {
	resource, err := client.resource(command, reference)
	if err != nil {
		return err
	}
	return format.print(command.OutOrStdout(), resource, func(rows *tabwriter.Writer) {
		printResources(rows, []catalog.Resource{resource})
	})
}

func (c *client) resource(command *cobra.Command, reference catalog.Reference) (catalog.Resource, error) {
	var resource catalog.Resource
	err := c.read(command.Context(), adminPrefix+reference.String(), nil, &resource)
	return resource, err
}

func printResources(rows *tabwriter.Writer, resources []catalog.Resource) {
	row(rows, "KIND", "NAME", "REVISION", "SPEC")
	for _, resource := range resources {
		row(rows, resource.Kind, resource.Name, resource.Revision, specText(resource.Spec))
	}
}

// specText writes a spec in one line for people, without its name and the fields that are zero.
func specText(spec json.RawMessage) string {
	var fields map[string]any
	if err := json.Unmarshal(spec, &fields); err != nil {
		return string(spec)
	}
	var texts []string
	for _, field := range slices.Sorted(maps.Keys(fields)) {
		if field == "name" || field == "id" || isZero(fields[field]) {
			continue
		}
		encoded, err := json.Marshal(fields[field])
		if err != nil {
			return string(spec)
		}
		texts = append(texts, field+"="+strings.Trim(string(encoded), `"`))
	}
	return strings.Join(texts, " ")
}

func isZero(value any) bool { return value == "" || value == 0.0 || value == false }
