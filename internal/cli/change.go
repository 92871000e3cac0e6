package cli

import (
	"fmt"
	"io"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/spf13/cobra"

	"mallowlatch.example/mallowlatch/internal/admin"
)

// changeFlags are the flags of every command that changes configuration.
type changeFlags struct {
	server  *connection
	format  *output
	dryRun  bool
	wait    time.Duration
	comment string
}

func addChangeFlags(command *cobra.Command) *changeFlags {
	flags := &changeFlags{server: adminConnection(command), format: addOutput(command)}
	command.Flags().BoolVar(&flags.dryRun, "dry-run", false, "check and report; change nothing")
	command.Flags().DurationVar(&flags.wait, "wait", 0, "wait so long until the change is in force in every reachable zone (at most 30s)")
	command.Flags().StringVar(&flags.comment, "comment", "", "text for the history")
	return flags
}

// query returns the query parameters the flags ask for.
func (f *changeFlags) query() url.Values {
	query := url.Values{}
	if f.dryRun {
		query.Set("dry_run", "true")
	}
	if f.wait > 0 && !f.dryRun {
		query.Set("wait", f.wait.String())
	}
	if f.comment != "" {
		query.Set("comment", f.comment)
	}
	return query
}

// sendChange sends a change under an id of its own, so that a lost answer is resolved by sending it again.
func (c *client) sendChange(command *cobra.Command, request call) (admin.ChangeResult, error) {
	id := ulid.Make().String()
	if request.header == nil {
		request.header = map[string]string{}
	}
	request.header["Change-Id"] = id
	var result admin.ChangeResult
	err := c.sendSafely(command.Context(), request, &result)
	if exitCode(err) == ExitUnknown {
		return result, fmt.Errorf("change %s: look for it in `mallowlatch history`: %w", id, err)
	}
	return result, err
}

// finish prints the result of a change. A change that is accepted but not in force in time has an exit code.
func (f *changeFlags) finish(command *cobra.Command, result admin.ChangeResult) error {
	err := f.format.print(command.OutOrStdout(), result, func(rows *tabwriter.Writer) { printChange(rows, result) })
	if err != nil {
		return err
	}
	if result.InForce == nil || *result.InForce {
		return nil
	}
	return withExit(ExitNotYet, fmt.Errorf("revision %d is accepted but %w in force everywhere after %s", result.Revision, errNotYet, f.wait))
}

func printChange(rows *tabwriter.Writer, result admin.ChangeResult) {
	for _, edit := range result.Edits {
		row(rows, edit.Action, string(edit.Kind)+"/"+edit.Name)
	}
	switch {
	case result.DryRun:
		row(rows, fmt.Sprintf("dry run at revision %d: nothing was changed", result.Revision))
	case !result.Accepted:
		row(rows, fmt.Sprintf("nothing to change at revision %d", result.Revision))
	default:
		row(rows, fmt.Sprintf("accepted as revision %d, change %s", result.Revision, result.ChangeID))
	}
	if result.InForce != nil {
		printZones(rows, result)
	}
}

func printZones(rows io.Writer, result admin.ChangeResult) {
	for _, zone := range result.Zones {
		state := "in force"
		switch {
		case !zone.Reachable:
			state = "not reachable"
		case len(zone.Behind) > 0:
			state = fmt.Sprintf("not in force on %d of %d nodes", len(zone.Behind), zone.Nodes)
		}
		row(rows, "zone "+string(zone.Zone), state)
	}
}

func join[T ~string](values []T) string {
	texts := make([]string, 0, len(values))
	for _, value := range values {
		texts = append(texts, string(value))
	}
	return strings.Join(texts, ",")
}
