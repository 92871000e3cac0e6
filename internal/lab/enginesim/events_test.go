package enginesim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/engine/openaihttp/dialect"
)

// TestEventLogPublishesLateAndWithGaps draws events, losses and lags and checks that a reader gets exactly the events
// that are old enough, not lost and still in the history, and the number of the last published one.
func TestEventLogPublishesLateAndWithGaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_800_000_000, 0)
		log, all := eventLog{}, []timedEvent{}
		count := rapid.SampledFrom([]int{0, 1, 7, 40, eventHistory + 30}).Draw(t, "count")
		lossEvery := rapid.IntRange(1, 5).Draw(t, "loss every")
		for number := range count {
			at := start.Add(time.Duration(number/3) * time.Millisecond)
			lost := number%lossEvery == lossEvery-1
			log.add(uint64(number), number%2 == 0, lost, at)
			event := dialect.CacheEvent{Sequence: uint64(number + 1), Block: uint64(number), Stored: number%2 == 0}
			all = append(all, timedEvent{at: at, event: event, lost: lost})
		}
		after := rapid.Uint64Range(0, uint64(count)).Draw(t, "after")
		before := start.Add(time.Duration(rapid.IntRange(-1, count/3+1).Draw(t, "before")) * time.Millisecond)
		dropped := max(0, count-eventHistory)
		expected, newest := []dialect.CacheEvent{}, uint64(dropped)
		for _, timed := range all[dropped:] {
			if timed.at.After(before) {
				continue
			}
			newest = timed.event.Sequence
			if timed.event.Sequence > after && !timed.lost {
				expected = append(expected, timed.event)
			}
		}
		events, published := log.read(after, before)
		assert.DeepEqual(t, events, expected)
		assert.Equal(t, published, newest)
	})
}
