package event

import (
	"fmt"
	"strings"
)

// Markdown returns the text of docs/EVENTS.md, which `mallowlatch events -o markdown` prints.
func Markdown() string {
	var page strings.Builder
	page.WriteString("# Log events\n\n")
	page.WriteString("Every log line carries the `event` number and the `name` of an event below. A number is never reused.\n")
	page.WriteString("`mallowlatch events -o markdown` prints this page.\n\n")
	page.WriteString("| number | name | level | meaning | what to do |\n|---|---|---|---|---|\n")
	for _, registered := range All() {
		fmt.Fprintf(&page, "| %d | `%s` | %s | %s | %s |\n",
			registered.Number, registered.Name, registered.Level, cell(registered.Meaning), cell(registered.Action))
	}
	return page.String()
}

// cell escapes the character that ends a table cell.
func cell(text string) string { return strings.ReplaceAll(text, "|", "\\|") }
