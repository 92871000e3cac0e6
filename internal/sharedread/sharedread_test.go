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

// source simulates a slow read and records when each read began.
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

// TestReadsAreSharedAndBeginAfterTheCall makes 40 calls a second for ten seconds. Two reads a second must serve them all, and each
// call must get a read that began after it.
func TestReadsAreSharedAndBeginAfterTheCall(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		const every, calls = 500 * time.Millisecond, 400
		from := &source{takes: 30 * time.Millisecond}
		readings := &sharedread.Readings{Read: from.read, Every: every, Now: time.Now}
		start := time.Now()
		var waits sync.WaitGroup
		for range calls {
			waits.Go(func() {
				asked := time.Now()
				assert.Check(t, readings.AwaitFresh(t.Context()) == nil)
				from.mutex.Lock()
				defer from.mutex.Unlock()
				newest := from.began[len(from.began)-1]
				ended := newest.Add(from.takes)
				if ended.After(time.Now()) {
					newest = from.began[len(from.began)-2]
				}
				assert.Check(t, !newest.Before(asked), "the read began before the call")
				assert.Check(t, time.Since(asked) <= every+2*from.takes, "waited for %v", time.Since(asked))
			})
			time.Sleep(25 * time.Millisecond)
		}
		waits.Wait()
		assert.Assert(t, len(from.began) <= int(time.Since(start)/every)+1, "%d reads in %v", len(from.began), time.Since(start))
		for index := 1; index < len(from.began); index++ {
			assert.Assert(t, from.began[index].Sub(from.began[index-1]) >= every)
		}
	})
}

// TestFailedReadReturnsItsError cancels one call before the read ends and lets the read fail: a waiting call gets the error, and
// the next call gets another read.
func TestFailedReadReturnsItsError(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		failed := errors.New("away")
		from := &source{takes: 30 * time.Millisecond, fails: failed}
		readings := &sharedread.Readings{Read: from.read, Every: time.Millisecond, Now: time.Now}
		canceled, cancel := context.WithCancel(t.Context())
		cancel()
		assert.ErrorIs(t, readings.AwaitFresh(canceled), context.Canceled)
		assert.ErrorIs(t, readings.AwaitFresh(t.Context()), failed)
		from.fails = nil
		assert.NilError(t, readings.AwaitFresh(t.Context()))
		synctest.Wait()
	})
}
