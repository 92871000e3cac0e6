// Package zoneroom decides where a request goes when its zone is short of places: whether another zone can be reached at all, how
// many requests leave their own, and to which zones. The package does no I/O; times and random numbers are arguments.
package zoneroom

import (
	"maps"
	"time"
)

// State says whether a zone answers.
type State uint8

const (
	// InTouch is a zone that answers, or was not asked yet.
	InTouch State = iota
	// InDoubt is one where a single worker or runner left a question without an answer, and nobody has answered a later one.
	InDoubt
	// Cut is one where several did, or which has been in doubt for cutAfter.
	Cut
)

const (
	// cutMisses is how many have to leave questions without an answer: a machine that died is no cut zone.
	cutMisses = 2
	// cutAfter is how long a doubt lasts where nobody else is there to answer: twice as long as a report may take.
	cutAfter = 600 * time.Millisecond
)

// Contact is what a node knows of whether another zone answers it. The zero Contact is in touch. It is not safe for concurrent use.
type Contact struct {
	// answered is when the newest question was asked that got an answer.
	answered time.Time
	// missed are the questions that got none, by whom they were for. All were asked after answered.
	missed map[string]miss
	// since is when the first question was asked that went without an answer since the zone was in touch; zero in touch.
	since time.Time
}

// miss is a question without an answer.
type miss struct{ asked, givenUp time.Time }

// Answered notes that somebody in the zone answered a question. Where that ends a doubt or a cut it returns when the first question
// was asked that went without an answer.
func (c *Contact) Answered(asked time.Time) (since time.Time, back bool) {
	if !asked.After(c.answered) {
		return time.Time{}, false
	}
	c.answered = asked
	maps.DeleteFunc(c.missed, func(_ string, missed miss) bool { return !missed.asked.After(asked) })
	if c.since.IsZero() || len(c.missed) > 0 {
		return time.Time{}, false
	}
	since, c.since = c.since, time.Time{}
	return since, true
}

// Missed notes that somebody in the zone left a question without an answer. One that was asked before another was answered
// proves nothing of the zone.
func (c *Contact) Missed(by string, asked, now time.Time) {
	if !asked.After(c.answered) {
		return
	}
	if c.missed == nil {
		c.missed = map[string]miss{}
	}
	if _, again := c.missed[by]; !again {
		c.missed[by] = miss{asked: asked, givenUp: now}
	}
	if c.since.IsZero() || asked.Before(c.since) {
		c.since = asked
	}
}

// State returns whether the zone answers.
func (c *Contact) State(now time.Time) State {
	switch {
	case len(c.missed) == 0:
		return InTouch
	case len(c.missed) >= cutMisses, now.Sub(c.Doubted()) >= cutAfter:
		return Cut
	}
	return InDoubt
}

// Doubted returns when the first question was given up that is still without an answer, or zero in touch.
func (c *Contact) Doubted() time.Time {
	var first time.Time
	for _, missed := range c.missed {
		if first.IsZero() || missed.givenUp.Before(first) {
			first = missed.givenUp
		}
	}
	return first
}
