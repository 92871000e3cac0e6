package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"mallowlatch.example/mallowlatch/internal/event"
)

// catalogued is an event as the command prints it.
type catalogued struct {
	Number  int    `json:"number"`
	Name    string `json:"name"`
	Level   string `json:"level"`
	Meaning string `json:"meaning"`
	Action  string `json:"action"`
}

func newEventsCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "events",
		Short: "Print the catalogue of log events",
		Args:  exactArguments(0),
	}
	format := addOutput(command, formatMarkdown)
	command.RunE = func(command *cobra.Command, _ []string) error {
		if format.format == formatMarkdown {
			return writeText(command.OutOrStdout(), event.Markdown())
		}
		events := cataloguedEvents()
		return format.print(command.OutOrStdout(), events, func(rows *tabwriter.Writer) {
			row(rows, "NUMBER", "NAME", "LEVEL", "MEANING")
			for _, listed := range events {
				row(rows, listed.Number, listed.Name, listed.Level, listed.Meaning)
			}
		})
	}
	return command
}

func cataloguedEvents() []catalogued {
	var events []catalogued
	for _, registered := range event.All() {
		events = append(events, catalogued{
			Number:  registered.Number,
			Name:    registered.Name,
			Level:   registered.Level.String(),
			Meaning: registered.Meaning,
			Action:  registered.Action,
		})
	}
	return events
}

func writeText(out io.Writer, text string) error {
	if _, err := io.Copy(out, strings.NewReader(text)); err != nil {
		return fmt.Errorf("writing: %w", err)
	}
	return nil
}
