package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
	"gopkg.in/yaml.v3"
)

// Formats of output.
const (
	formatTable    = "table"
	formatJSON     = "json"
	formatYAML     = "yaml"
	formatMarkdown = "markdown"
)

// output is the flag -o.
type output struct{ format string }

func addOutput(command *cobra.Command, more ...string) *output {
	chosen := &output{}
	formats := append([]string{formatTable, formatJSON, formatYAML}, more...)
	command.Flags().StringVarP(&chosen.format, "output", "o", formatTable, "format: "+strings.Join(formats, ", "))
	// The function only fails for a flag that does not exist.
	_ = command.RegisterFlagCompletionFunc("output", cobra.FixedCompletions(formats, cobra.ShellCompDirectiveNoFileComp))
	return chosen
}

// print writes the answer as JSON or YAML, or calls table.
func (o *output) print(out io.Writer, answer any, table func(rows *tabwriter.Writer)) error {
	switch o.format {
	case formatTable:
		rows := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		table(rows)
		if err := rows.Flush(); err != nil {
			return fmt.Errorf("writing the table: %w", err)
		}
		return nil
	case formatJSON:
		return printJSON(out, answer)
	case formatYAML:
		return printYAML(out, answer)
	default:
		return usageError("there is no format %q here", o.format)
	}
}

func printJSON(out io.Writer, answer any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(answer); err != nil {
		return fmt.Errorf("writing JSON: %w", err)
	}
	return nil
}

// printYAML goes by way of JSON, so that both formats have the same field names.
func printYAML(out io.Writer, answer any) error {
	text, err := json.Marshal(answer)
	if err != nil {
		return fmt.Errorf("writing YAML: %w", err)
	}
	var node yaml.Node
	if err := yaml.Unmarshal(text, &node); err != nil {
		return fmt.Errorf("writing YAML: %w", err)
	}
	blockStyle(&node)
	encoder := yaml.NewEncoder(out)
	encoder.SetIndent(2)
	if err := encoder.Encode(&node); err != nil {
		return fmt.Errorf("writing YAML: %w", err)
	}
	return nil
}

// blockStyle drops the JSON style of the nodes. A string keeps its quotes if it would read as another type without.
func blockStyle(node *yaml.Node) {
	node.Style = 0
	if node.Kind == yaml.ScalarNode && strings.Contains(node.Value, "\n") {
		node.Style = yaml.LiteralStyle
	}
	for _, child := range node.Content {
		blockStyle(child)
	}
}

func row(out io.Writer, cells ...any) {
	texts := make([]string, 0, len(cells))
	for _, cell := range cells {
		texts = append(texts, fmt.Sprint(cell))
	}
	// The writer buffers until Flush, which returns the error.
	fmt.Fprintln(out, strings.Join(texts, "\t"))
}
