package catalog

import (
	"fmt"
	"sort"
	"strings"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// Failures of the catalogue.
const (
	// ErrInvalid means a resource, or the whole configuration with it, breaks a rule.
	ErrInvalid = failure.Kind("catalog: invalid configuration")
	// ErrNotFound means the resource does not exist.
	ErrNotFound = failure.Kind("catalog: resource not found")
	// ErrStaleRevision means a holder was offered a snapshot older than the one it has.
	ErrStaleRevision = failure.Kind("catalog: snapshot revision went down")
)

// Problem is one broken rule, named precisely enough to mend it.
type Problem struct {
	Kind Kind   `json:"kind,omitempty"`
	Name string `json:"name,omitempty"`
	// Field is the field at fault in the words of the wire format, empty when the whole resource is.
	Field string `json:"field,omitempty"`
	// Line is the one-based line of the manifest, or zero when it is not known.
	Line    int    `json:"line,omitempty"`
	Message string `json:"message"`
}

// String returns "line 4: services/chat: model: ...", leaving out what is not known.
func (p Problem) String() string {
	var text strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&text, "line %d: ", p.Line)
	}
	if p.Kind != "" {
		fmt.Fprintf(&text, "%s/%s: ", p.Kind, p.Name)
	}
	if p.Field != "" {
		fmt.Fprintf(&text, "%s: ", p.Field)
	}
	text.WriteString(p.Message)
	return text.String()
}

// InvalidError lists every problem found, not only the first. It wraps ErrInvalid.
type InvalidError struct {
	Problems []Problem
}

// Error returns all problems, separated by semicolons.
func (e *InvalidError) Error() string {
	texts := make([]string, 0, len(e.Problems))
	for _, problem := range e.Problems {
		texts = append(texts, problem.String())
	}
	return ErrInvalid.Error() + ": " + strings.Join(texts, "; ")
}

// Unwrap returns ErrInvalid.
func (e *InvalidError) Unwrap() error { return ErrInvalid }

// problemList collects problems of one resource.
type problemList struct {
	kind     Kind
	name     string
	problems []Problem
}

func (l *problemList) add(field, format string, arguments ...any) {
	l.problems = append(l.problems, Problem{
		Kind:    l.kind,
		Name:    l.name,
		Field:   field,
		Message: fmt.Sprintf(format, arguments...),
	})
}

// asError orders the problems, so that the same input always gives the same text, and returns nil for none.
func asError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	sort.SliceStable(problems, func(i, j int) bool { return problemLess(problems[i], problems[j]) })
	return &InvalidError{Problems: problems}
}

func problemLess(first, second Problem) bool {
	if first.Line != second.Line {
		return first.Line < second.Line
	}
	if first.Kind != second.Kind {
		return first.Kind < second.Kind
	}
	if first.Name != second.Name {
		return first.Name < second.Name
	}
	if first.Field != second.Field {
		return first.Field < second.Field
	}
	return first.Message < second.Message
}
