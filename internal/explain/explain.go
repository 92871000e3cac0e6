// Package explain puts together the story of one request, job or item from the log lines of many processes.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
)

// ErrNothing means that no line tells of the id.
const ErrNothing = failure.Kind("explain: no line tells of the id")

// Line is one log line that tells of the id.
type Line struct {
	// At is when it was written, by the clock of its machine.
	At    time.Time
	Node  string
	Event int
	Name  string
	// Fields are the others, by name.
	Fields map[string]any
}

// maximumLineBytes bounds one line.
const maximumLineBytes = 1 << 20

// identifying are the fields that hold ids.
var identifying = []string{"request", "job", "item"}

// Collect returns the lines of the sources that tell of the id, in the order of their times. Lines that are not JSON
// objects are passed over.
func Collect(id string, sources ...io.Reader) ([]Line, error) {
	var found []Line
	for _, source := range sources {
		scanner := bufio.NewScanner(source)
		scanner.Buffer(nil, maximumLineBytes)
		for scanner.Scan() {
			if line, tells := parse(scanner.Text(), id); tells {
				found = append(found, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, fmt.Errorf("reading log lines: %w", err)
		}
	}
	if len(found) == 0 {
		return nil, fmt.Errorf("%w: %s", ErrNothing, id)
	}
	sort.SliceStable(found, func(first, second int) bool { return found[first].At.Before(found[second].At) })
	return found, nil
}

// parse reads a line. Text before the object, such as the stamp of a collector, is passed over.
func parse(text, id string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 || !strings.Contains(text, id) {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal([]byte(text[start:]), &fields) != nil || !slices.ContainsFunc(identifying, func(name string) bool { return fields[name] == id }) {
		return Line{}, false
	}
	line := Line{Fields: fields}
	line.Node, _ = fields["node"].(string)
	line.Name, _ = fields["name"].(string)
	if number, is := fields["event"].(float64); is {
		line.Event = int(number)
	}
	if milliseconds, is := fields["time"].(float64); is {
		line.At = time.UnixMilli(int64(milliseconds))
	}
	for _, told := range []string{"node", "name", "event", "time", "level"} {
		delete(fields, told)
	}
	return line, true
}

// Write prints the story: the time since its first line, the process, the event with its fields, and what it means.
func Write(to io.Writer, lines []Line) error {
	meanings := map[int]string{}
	for _, known := range event.All() {
		meanings[known.Number] = known.Meaning
	}
	for _, line := range lines {
		_, err := fmt.Fprintf(to, "%+8.3fs  %-24s %d %s%s\n           %s\n",
			line.At.Sub(lines[0].At).Seconds(), line.Node, line.Event, line.Name, fieldsOf(line), meanings[line.Event])
		if err != nil {
			return fmt.Errorf("writing the story: %w", err)
		}
	}
	return nil
}

// fieldsOf writes the fields in the order of their names.
func fieldsOf(line Line) string {
	names := make([]string, 0, len(line.Fields))
	for name := range line.Fields {
		names = append(names, name)
	}
	sort.Strings(names)
	var text strings.Builder
	for _, name := range names {
		fmt.Fprintf(&text, " %s=%v", name, line.Fields[name])
	}
	return text.String()
}
