package sharedread_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/sharedread"
	"mallowlatch.example/mallowlatch/internal/simulated"
)

// source is read in some time. It notes when each reading began.
type source struct {
	takes time.Duration
	fails error

	mutex sync.Mutex
	began []time.Time
}

func (s *source) read(context.Context) error {
	s.mutex.Lock()
	s.began = append(s.began, time.Now())
	s.mutex.Unlock()
	time.Sleep(s.takes)
	return s.fails
}

// TestReadingsAreSharedAndBeginAfterTheQuestion has 40 askers a second for ten seconds, each of whom must not go by an earlier reading: two
// readings a second serve them all, and each was begun after the question that it answers.
func TestReadingsAreSharedAndBeginAfterTheQuestion(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		const every, askers = 500 * time.Millisecond, 400
		from := &source{takes: 30 * time.Millisecond}
		readings := &sharedread.Readings{Read: from.read, Every: every, Now: time.Now}
		start := time.Now()
		var waits sync.WaitGroup
		for range askers {
			waits.Go(func() {
				asked := time.Now()
				assert.Check(t, readings.Fresh(t.Context()) == nil)
				from.mutex.Lock()
				defer from.mutex.Unlock()
				newest := from.began[len(from.began)-1]
				ended := newest.Add(from.takes)
				if ended.After(time.Now()) {
					newest = from.began[len(from.began)-2]
				}
				assert.Check(t, !newest.Before(asked), "a reading of before the question")
				assert.Check(t, time.Since(asked) <= every+2*from.takes, "waited for %v", time.Since(asked))
			})
			time.Sleep(25 * time.Millisecond)
		}
		waits.Wait()
		assert.Assert(t, len(from.began) <= int(time.Since(start)/every)+1, "%d readings in %v", len(from.began), time.Since(start))
		for index := 1; index < len(from.began); index++ {
			assert.Assert(t, from.began[index].Sub(from.began[index-1]) >= every)
		}
	})
}

// TestReadingThatFailsIsToldToAllThatWaitForIt has a reading fail, and an asker leave before: the next question gets another reading.
func TestReadingThatFailsIsToldToAllThatWaitForIt(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		failed := errors.New("away")
		from := &source{takes: 30 * time.Millisecond, fails: failed}
		readings := &sharedread.Readings{Read: from.read, Every: time.Millisecond, Now: time.Now}
		leaves, cancel := context.WithCancel(t.Context())
		cancel()
		assert.ErrorIs(t, readings.Fresh(leaves), context.Canceled)
		assert.ErrorIs(t, readings.Fresh(t.Context()), failed)
		from.fails = nil
		assert.NilError(t, readings.Fresh(t.Context()))
		synctest.Wait()
	})
}
