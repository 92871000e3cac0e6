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

// onlyRun made all output of the tests in which nothing depends on the run.
var onlyRun = progress.RunID{Claim: 1, Number: 1}

func update(item string, offset int, last int64, text string) *progress.Update {
	return &progress.Update{Job: "j", Pieces: []progress.Piece{{
		Item: ident.Request(item), Run: onlyRun, Before: onlyRun, Offset: offset, LastEvent: last, Text: []byte(text),
	}}}
}

// TestOutputIsAlwaysAPrefix draws updates that are lost, repeated or sent anew: what is kept is always the output up to the
// event that it names.
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
			gaps := mirror.Take(update("a", from, int64(last), string(whole[from:ends[last]])), start)
			switch {
			case len(gaps) > 0:
				acknowledged = 0
			case rapid.Bool().Draw(t, "answered"):
				acknowledged = last
			}
			for _, kept := range mirror.Outputs("j") {
				assert.Equal(t, string(kept.Text), string(whole[:ends[kept.LastEvent]]))
			}
		}
	})
}

// sender runs one item under a claim and sends what it makes to a mirror, each run in texts of its own.
type sender struct {
	claim, runs int64
	// events are the runs that made the output so far, one for each event.
	events []progress.RunID
	// sent is how many events the mirror acknowledged.
	sent int
}

// textOf is the output up to an event. All events are of one length, as those of the runs of one item may be.
func textOf(events []progress.RunID) []byte {
	var text []byte
	for _, run := range events {
		text = fmt.Appendf(text, "%02d/%02d;", run.Claim, run.Number)
	}
	return text
}

// run makes events in a run that goes on behind what there is.
func (s *sender) run(events int) {
	s.runs++
	for range events {
		s.events = append(s.events, progress.RunID{Claim: s.claim, Number: s.runs})
	}
}

// piece is what the mirror lacks, as the sender believes.
func (s *sender) piece() progress.Piece {
	piece := progress.Piece{
		Item: "a", Run: s.events[len(s.events)-1], Offset: len(textOf(s.events[:s.sent])), LastEvent: int64(len(s.events)),
		Text: textOf(s.events[s.sent:]),
	}
	if s.sent > 0 {
		piece.Before = s.events[s.sent-1]
	}
	return piece
}

// TestOutputOfSeveralHoldersIsNeverJoined draws holders of one item that go on beside each other, each from what the mirror
// kept when it claimed the job. What is kept is always the output of one of them, up to an event.
func TestOutputOfSeveralHoldersIsNeverJoined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var mirror progress.Mirror
		var senders []*sender
		made := map[string]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(senders) == 0 || (len(senders) < 4 && rapid.IntRange(0, 4).Draw(t, "claims") == 0) {
				one := &sender{claim: int64(len(senders) + 1)}
				for _, kept := range mirror.Outputs("j") {
					one.events = runsOf(kept)
				}
				senders = append(senders, one)
			}
			one := senders[rapid.IntRange(0, len(senders)-1).Draw(t, "sender")]
			one.run(rapid.IntRange(1, 2).Draw(t, "events"))
			for event := range one.events {
				made[string(textOf(one.events[:event+1]))] = true
			}
			gaps := mirror.Take(&progress.Update{Job: "j", Pieces: []progress.Piece{one.piece()}}, start)
			switch {
			case len(gaps) > 0:
				one.sent = 0
			case rapid.Bool().Draw(t, "answered"):
				one.sent = len(one.events)
			}
			for _, kept := range mirror.Outputs("j") {
				assert.Assert(t, made[string(kept.Text)], "%s was never the output of one holder", kept.Text)
				assert.Equal(t, kept.Run, runsOf(kept)[kept.LastEvent-1])
			}
		}
	})
}

// runsOf reads the runs of each event out of a kept text.
func runsOf(kept progress.Output) []progress.RunID {
	var runs []progress.RunID
	for _, event := range strings.Split(strings.TrimSuffix(string(kept.Text), ";"), ";") {
		var run progress.RunID
		_, _ = fmt.Sscanf(event, "%d/%d", &run.Claim, &run.Number)
		runs = append(runs, run)
	}
	return runs
}

// TestPieceWithoutARunIsPassedOver has a worker of an earlier version send output: nothing is known of what it may follow.
func TestPieceWithoutARunIsPassedOver(t *testing.T) {
	var mirror progress.Mirror
	mirror.Take(&progress.Update{Job: "j", Pieces: []progress.Piece{{Item: "a", LastEvent: 1, Text: []byte("one")}}}, start)
	assert.Equal(t, len(mirror.Outputs("j")), 0)
}

func TestPieceThatDoesNotFollowIsAskedForAnew(t *testing.T) {
	var mirror progress.Mirror
	assert.DeepEqual(t, mirror.Take(update("a", 3, 2, "two"), start), []ident.Request{"a"})
	assert.Equal(t, len(mirror.Take(update("a", 0, 1, "one"), start)), 0)
	assert.Equal(t, len(mirror.Take(update("a", 3, 2, "\ntwo"), start)), 0)
	assert.DeepEqual(t, mirror.Outputs("j"), []progress.Output{{Item: "a", Run: onlyRun, LastEvent: 2, Text: []byte("one\ntwo")}})
	assert.Equal(t, len(mirror.Outputs("unknown")), 0)
}

// TestOldOutputIsForgotten keeps the memory bounded, by time and by bytes.
func TestOldOutputIsForgotten(t *testing.T) {
	var mirror progress.Mirror
	mirror.Take(update("a", 0, 1, "one"), start)
	late := start.Add(10 * time.Minute)
	mirror.Take(&progress.Update{Job: "other"}, late)
	assert.Equal(t, len(mirror.Outputs("j")), 0)
	large := make([]byte, 5<<20)
	for job := range 6 {
		late = late.Add(time.Millisecond)
		mirror.Take(&progress.Update{Job: ident.Job(fmt.Sprint(job)), Pieces: []progress.Piece{{Item: "a", Run: onlyRun, LastEvent: 1, Text: large}}}, late)
	}
	assert.Equal(t, len(mirror.Outputs("0")), 0, "the oldest goes first")
	assert.Equal(t, len(mirror.Outputs("5")), 1)
}
