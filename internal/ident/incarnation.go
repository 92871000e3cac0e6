package ident

import (
	"strconv"
	"strings"
	"time"
)

// Incarnation identifies one start of an engine. An engine may start again under its name; it then holds and knows nothing of
// before, so that whatever is remembered of an engine is remembered of an incarnation. Incarnations are equal exactly where
// their names and their starts are.
type Incarnation string

// startMark parts the name from the start. Names that hold it make no incarnation: see NewIncarnation.
const startMark = "@"

// NewIncarnation returns the incarnation of an engine that started at a time, to the millisecond. The zero time is of an engine
// that does not say when it started: it is known by its name alone. It returns false where the name cannot be told from a start.
func NewIncarnation(name Runner, started time.Time) (Incarnation, bool) {
	if name == "" || strings.Contains(string(name), startMark) {
		return "", false
	}
	if started.IsZero() {
		return Incarnation(name), true
	}
	return Incarnation(string(name) + startMark + strconv.FormatInt(started.UnixMilli(), 10)), true
}

// Name is the engine's, which may outlive the incarnation.
func (i Incarnation) Name() Runner {
	name, _, _ := strings.Cut(string(i), startMark)
	return Runner(name)
}

// Started returns when the incarnation began, to the millisecond, and false where the engine does not say.
func (i Incarnation) Started() (time.Time, bool) {
	_, text, told := strings.Cut(string(i), startMark)
	if !told {
		return time.Time{}, false
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return time.Time{}, false
	}
	return time.UnixMilli(millis), true
}

// Precedes says whether this incarnation is known to be an earlier one of the same engine.
func (i Incarnation) Precedes(other Incarnation) bool {
	own, told := i.Started()
	others, otherTold := other.Started()
	return i.Name() == other.Name() && told && otherTold && own.Before(others)
}
