package settings

import (
	"fmt"
	"sort"
	"strings"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// Failures of loading settings.
const (
	// ErrInvalid means the settings were read and have the problems listed in Problems.
	ErrInvalid = failure.Kind("settings: invalid")
	// ErrUnreadable means the settings file could not be read.
	ErrUnreadable = failure.Kind("settings: file unreadable")
	// ErrBadValue means a value does not fit its field.
	ErrBadValue = failure.Kind("bad value")
)

// Problem is one thing wrong with the settings.
type Problem struct {
	// Source is the file's path or the flag's name.
	Source string
	// Line is the one-based line in the file, or zero.
	Line int
	// Field is the dotted name of the field, or empty when the whole file is at fault.
	Field string
	// Message says what is wrong and what would be right.
	Message string
}

// String returns "file:line: field: message" without the parts that are absent.
func (p Problem) String() string {
	var text strings.Builder
	if p.Source != "" {
		text.WriteString(p.Source)
		if p.Line > 0 {
			fmt.Fprintf(&text, ":%d", p.Line)
		}
		text.WriteString(": ")
	}
	if p.Field != "" {
		text.WriteString(p.Field + ": ")
	}
	text.WriteString(p.Message)
	return text.String()
}

// Problems is every problem found, in the order of lines. It wraps ErrInvalid.
type Problems []Problem

// Error returns one problem a line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p)+1)
	lines = append(lines, fmt.Sprintf("%d problem(s) in the settings", len(p)))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns ErrInvalid.
func (p Problems) Unwrap() error { return ErrInvalid }

func (p Problems) sorted() Problems {
	sort.SliceStable(p, func(i, j int) bool {
		if p[i].Source != p[j].Source {
			return p[i].Source < p[j].Source
		}
		return p[i].Line < p[j].Line
	})
	return p
}

// asError returns nil for no problems, so that no typed nil escapes.
func (p Problems) asError() error {
	if len(p) == 0 {
		return nil
	}
	return p.sorted()
}
