// Package event is the catalogue of all numbered log events. Each file defines the events of one package, within the number
// range given there. Markdown renders the catalogue as docs/EVENTS.md; a test compares the two.
package event

import (
	"sort"

	"github.com/rs/zerolog"
)

// Event is one kind of log line in the catalogue.
type Event struct {
	// Number is unique and never reused.
	Number int
	// Name is the snake_case name in the log line.
	Name string
	// Level is the level it is logged at.
	Level zerolog.Level
	// Meaning describes to an operator what happened.
	Meaning string
	// Action is what an operator should do; "none" if nothing.
	Action string
}

var catalogue = map[int]Event{}

// register adds an event to the catalogue at start-up. It panics on a duplicate number, which is a programming error.
func register(number int, name string, level zerolog.Level, meaning, action string) Event {
	if _, taken := catalogue[number]; taken {
		panic("event number registered twice: " + name)
	}
	registered := Event{Number: number, Name: name, Level: level, Meaning: meaning, Action: action}
	catalogue[number] = registered
	return registered
}

// All returns the catalogue ordered by number.
func All() []Event {
	events := make([]Event, 0, len(catalogue))
	for _, registered := range catalogue {
		events = append(events, registered)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	return events
}

// Log starts a log line for the event. The caller adds fields and calls Send.
func (e Event) Log(logger zerolog.Logger) *zerolog.Event {
	return logger.WithLevel(e.Level).Int("event", e.Number).Str("name", e.Name)
}
