package cli

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"mallowlatch.example/mallowlatch/internal/admin"
)

func newHistoryCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "history",
		Short: "List accepted changes of configuration, newest first",
		Args:  exactArguments(0),
	}
	server := adminConnection(command)
	format := addOutput(command)
	limit := command.Flags().Int("limit", 20, "how many changes, at most 500")
	before := command.Flags().Int64("before", 0, "only changes below this revision")
	command.RunE = func(command *cobra.Command, _ []string) error {
		client, err := server.client()
		if err != nil {
			return err
		}
		query := url.Values{"limit": {strconv.Itoa(*limit)}, "before": {strconv.FormatInt(*before, 10)}}
		var list admin.HistoryList
		if err := client.read(command.Context(), adminPrefix+"history", query, &list); err != nil {
			return err
		}
		return format.print(command.OutOrStdout(), list.Items, func(rows *tabwriter.Writer) { printHistory(rows, list.Items) })
	}
	return command
}

func printHistory(rows *tabwriter.Writer, entries []admin.HistoryEntry) {
	row(rows, "REVISION", "TIME", "AUTHOR", "CHANGE", "RESOURCES", "COMMENT")
	for _, entry := range entries {
		edits := make([]string, 0, len(entry.Edits))
		for _, edit := range entry.Edits {
			edits = append(edits, string(edit.Action)+" "+string(edit.Kind)+"/"+edit.Name)
		}
		row(rows, entry.Revision, entry.Time.Format(time.RFC3339), entry.Author, entry.ChangeID, strings.Join(edits, ", "), entry.Comment)
	}
}

func newRollbackCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "rollback REVISION",
		Short: "Restore the configuration of an earlier revision as a new change",
		Long: "Restore the configuration of an earlier revision as a new change. API keys stay as they are unless\n" +
			"--include-keys is given: it would bring revoked keys back.",
		Args: exactArguments(1),
	}
	flags := addChangeFlags(command)
	includeKeys := command.Flags().Bool("include-keys", false, "restore API keys too, revoked ones included")
	command.RunE = func(command *cobra.Command, arguments []string) error {
		revision, err := strconv.ParseInt(arguments[0], 10, 64)
		if err != nil {
			return usageError("the revision must be a whole number, not %q", arguments[0])
		}
		client, err := flags.server.client()
		if err != nil {
			return err
		}
		query := flags.query()
		query.Set("revision", strconv.FormatInt(revision, 10))
		if *includeKeys {
			query.Set("include_keys", "true")
		}
		result, err := client.sendChange(command, call{method: http.MethodPost, path: adminPrefix + "rollback", query: query})
		if err != nil {
			return err
		}
		return flags.finish(command, result)
	}
	return command
}
