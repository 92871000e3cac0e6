package cli

import (
	"net/http"
	"strconv"

	"github.com/spf13/cobra"

	"mallowlatch.example/mallowlatch/internal/catalog"
)

func newDeleteCommand() *cobra.Command {
	command := &cobra.Command{
		Use:               "delete KIND NAME",
		Short:             "Delete a resource that nothing refers to",
		Args:              exactArguments(2),
		ValidArgsFunction: completeKinds,
	}
	flags := addChangeFlags(command)
	revision := command.Flags().Int64("revision", 0, "delete only if the resource is at this revision; by default at the one it has now")
	command.RunE = func(command *cobra.Command, arguments []string) error {
		client, err := flags.server.client()
		if err != nil {
			return err
		}
		reference := catalog.Reference{Kind: catalog.Kind(arguments[0]), Name: arguments[1]}
		return deleteResource(command, client, flags, reference, *revision)
	}
	return command
}

// deleteResource deletes a resource at a revision, or at the one it has now if none is given.
func deleteResource(command *cobra.Command, client *client, flags *changeFlags, reference catalog.Reference, revision int64) error {
	if revision == 0 {
		resource, err := client.resource(command, reference)
		if err != nil {
			return err
		}
		revision = resource.Revision
	}
	result, err := client.sendChange(command, call{
		method: http.MethodDelete,
		path:   adminPrefix + reference.String(),
		query:  flags.query(),
		header: map[string]string{"If-Match": strconv.Quote(strconv.FormatInt(revision, 10))},
	})
	if err != nil {
		return err
	}
	return flags.finish(command, result)
}
