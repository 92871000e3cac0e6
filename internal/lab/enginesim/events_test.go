package enginesim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/engine/openaihttp/dialect"
)

// TestEventLogPublishesLateAndWithGaps draws events, losses and lags and checks that a reader gets exactly the events
// that are old enough, not lost, sampled and still in the history, the number of the last published one, and the count of those it has.
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
		bits := rapid.UintRange(0, 3).Draw(t, "bits")
		expected := dialect.CacheEvents{Newest: uint64(dropped), Events: []dialect.CacheEvent{}}
		for _, timed := range all[dropped:] {
			if timed.at.After(before) {
				continue
			}
			expected.Newest = timed.event.Sequence
			if timed.event.Sequence <= after || timed.lost {
				continue
			}
			expected.Held++
			if timed.event.Block%(1<<bits) == 0 {
				expected.Events = append(expected.Events, timed.event)
			}
		}
		assert.DeepEqual(t, log.read(after, bits, before), expected)
	})
}
