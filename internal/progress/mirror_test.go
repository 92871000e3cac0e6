package progress_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/progress"
)

var start = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

// onlyRun produces all output in the tests that do not depend on the run.
var onlyRun = progress.RunID{Claim: 1, Number: 1}

func update(item string, offset int, last int64, text string) *progress.Update {
	return &progress.Update{Job: "j", Pieces: []progress.OutputPart{{
		Item: ident.Request(item), Run: onlyRun, Before: onlyRun, Offset: offset, LastEvent: last, Text: []byte(text),
	}}}
}

// TestOutputIsAlwaysAPrefix generates updates that are lost, repeated or sent again from the beginning. The stored
// output must always be the output up to the event that it names.
func TestOutputIsAlwaysAPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var whole []byte
		ends := []int{0}
		for event := range rapid.IntRange(1, 20).Draw(t, "events") {
			whole = append(whole, fmt.Sprintf("event %d\n", event+1)...)
			ends = append(ends, len(whole))
		}
		var mirror progress.Mirror
		acknowledged := 0
		for range rapid.IntRange(1, 30).Draw(t, "updates") {
			last := rapid.IntRange(0, len(ends)-1).Draw(t, "last")
			from := ends[min(acknowledged, last)]
			gaps := mirror.Apply(update("a", from, int64(last), string(whole[from:ends[last]])), start)
			switch {
			case len(gaps) > 0:
				acknowledged = 0
			case rapid.Bool().Draw(t, "answered"):
				acknowledged = last
			}
			for _, stored := range mirror.Outputs("j") {
				assert.Equal(t, string(stored.Text), string(whole[:ends[stored.LastEvent]]))
			}
		}
	})
}

// sender runs one item under a claim and sends the output to a mirror. The text of each event identifies the run that
// produced it.
type sender struct {
	claim, runs int64
	// events holds, for each event of the output so far, the run that produced it.
	events []progress.RunID
	// sent is the number of events that the mirror has acknowledged.
	sent int
}

// textOf returns the text of the events. All events have the same length, as those of different runs of one item may.
func textOf(events []progress.RunID) []byte {
	var text []byte
	for _, run := range events {
		text = fmt.Appendf(text, "%02d/%02d;", run.Claim, run.Number)
	}
	return text
}

// run adds events of a new run that continues the output.
func (s *sender) run(events int) {
	s.runs++
	for range events {
		s.events = append(s.events, progress.RunID{Claim: s.claim, Number: s.runs})
	}
}

// piece returns the output that the mirror has not acknowledged yet.
func (s *sender) piece() progress.OutputPart {
	piece := progress.OutputPart{
		Item: "a", Run: s.events[len(s.events)-1], Offset: len(textOf(s.events[:s.sent])), LastEvent: int64(len(s.events)),
		Text: textOf(s.events[s.sent:]),
	}
	if s.sent > 0 {
		piece.Before = s.events[s.sent-1]
	}
	return piece
}

// TestOutputOfSeveralClaimantsIsNeverJoined generates several claimants of one item that run concurrently, each
// continuing the output that the mirror had stored when it claimed the job. The stored output must always be the
// output of one of them, up to an event.
func TestOutputOfSeveralClaimantsIsNeverJoined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var mirror progress.Mirror
		var senders []*sender
		produced := map[string]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(senders) == 0 || (len(senders) < 4 && rapid.IntRange(0, 4).Draw(t, "claims") == 0) {
				one := &sender{claim: int64(len(senders) + 1)}
				for _, stored := range mirror.Outputs("j") {
					one.events = runsOf(stored)
				}
				senders = append(senders, one)
			}
			one := senders[rapid.IntRange(0, len(senders)-1).Draw(t, "sender")]
			one.run(rapid.IntRange(1, 2).Draw(t, "events"))
			for event := range one.events {
				produced[string(textOf(one.events[:event+1]))] = true
			}
			gaps := mirror.Apply(&progress.Update{Job: "j", Pieces: []progress.OutputPart{one.piece()}}, start)
			switch {
			case len(gaps) > 0:
				one.sent = 0
			case rapid.Bool().Draw(t, "answered"):
				one.sent = len(one.events)
			}
			for _, stored := range mirror.Outputs("j") {
				assert.Assert(t, produced[string(stored.Text)], "%s was never the output of a single claimant", stored.Text)
				assert.Equal(t, stored.Run, runsOf(stored)[stored.LastEvent-1])
			}
		}
	})
}

// runsOf parses the run of each event from a stored text.
func runsOf(stored progress.Output) []progress.RunID {
	var runs []progress.RunID
	for _, event := range strings.Split(strings.TrimSuffix(string(stored.Text), ";"), ";") {
		var run progress.RunID
		_, _ = fmt.Sscanf(event, "%d/%d", &run.Claim, &run.Number)
		runs = append(runs, run)
	}
	return runs
}

// TestPieceWithoutARunIsIgnored sends a piece as a worker of an earlier version does, without a run. It must be
// ignored, because it is not known which output it continues.
func TestPieceWithoutARunIsIgnored(t *testing.T) {
	var mirror progress.Mirror
	mirror.Apply(&progress.Update{Job: "j", Pieces: []progress.OutputPart{{Item: "a", LastEvent: 1, Text: []byte("one")}}}, start)
	assert.Equal(t, len(mirror.Outputs("j")), 0)
}

func TestPieceThatDoesNotContinueIsRequestedFromTheBeginning(t *testing.T) {
	var mirror progress.Mirror
	assert.DeepEqual(t, mirror.Apply(update("a", 3, 2, "two"), start), []ident.Request{"a"})
	assert.Equal(t, len(mirror.Apply(update("a", 0, 1, "one"), start)), 0)
	assert.Equal(t, len(mirror.Apply(update("a", 3, 2, "\ntwo"), start)), 0)
	assert.DeepEqual(t, mirror.Outputs("j"), []progress.Output{{Item: "a", Run: onlyRun, LastEvent: 2, Text: []byte("one\ntwo")}})
	assert.Equal(t, len(mirror.Outputs("unknown")), 0)
}

// TestOldOutputIsEvicted checks that memory is bounded by time and by bytes.
func TestOldOutputIsEvicted(t *testing.T) {
	var mirror progress.Mirror
	mirror.Apply(update("a", 0, 1, "one"), start)
	late := start.Add(10 * time.Minute)
	mirror.Apply(&progress.Update{Job: "other"}, late)
	assert.Equal(t, len(mirror.Outputs("j")), 0)
	large := make([]byte, 5<<20)
	for job := range 6 {
		late = late.Add(time.Millisecond)
		mirror.Apply(&progress.Update{
			Job: ident.Job(fmt.Sprint(job)), Pieces: []progress.OutputPart{{Item: "a", Run: onlyRun, LastEvent: 1, Text: large}},
		}, late)
	}
	assert.Equal(t, len(mirror.Outputs("0")), 0, "the output of the oldest job must be evicted first")
	assert.Equal(t, len(mirror.Outputs("5")), 1)
}
