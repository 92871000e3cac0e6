package clock

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// suspend has the machine be suspended for a time, as far as this process can see: the clock that counts it is ahead by that. It
// returns when the process has woken.
func suspend(t *testing.T, lasting *time.Duration) {
	beforeSteady, beforeCounting, beforeStart, beforeSlept := steady, counting, atStart.Load(), slept.Load()
	t.Cleanup(func() {
		steady, counting = beforeSteady, beforeCounting
		atStart.Store(beforeStart)
		slept.Store(beforeSlept)
	})
	steady = func() (time.Duration, error) { return time.Minute, nil }
	counting = func() (time.Duration, error) { return time.Hour + *lasting, nil }
	slept.Store(0)
	assert.NilError(t, Start())
}

func TestAgesCountTheTimeAsleep(t *testing.T) {
	for _, sleep := range []time.Duration{200 * time.Millisecond, 2 * time.Second, 5 * time.Second, time.Minute} {
		var lasting time.Duration
		suspend(t, &lasting)
		began := Now()
		lasting = sleep
		age := Now().Sub(began)
		assert.Assert(t, age >= sleep && age < sleep+time.Second, "%v", age)
		assert.Equal(t, Slept(), sleep)
	}
}

func TestClockNeverGoesBack(t *testing.T) {
	lasting := 5 * time.Second
	suspend(t, new(time.Duration))
	counting = func() (time.Duration, error) { return time.Hour + lasting, nil }
	before := Now()
	lasting = 0
	assert.Assert(t, !Now().Before(before))
	counting = func() (time.Duration, error) { return 0, ErrUnreadable }
	assert.Assert(t, !Now().Before(before))
	assert.Equal(t, Slept(), 5*time.Second)
}

// TestReadingsApartAreNoSleep has the two clocks be read some microseconds apart, as they are.
func TestReadingsApartAreNoSleep(t *testing.T) {
	lasting := 900 * time.Microsecond
	suspend(t, new(time.Duration))
	counting = func() (time.Duration, error) { return time.Hour + lasting, nil }
	assert.Equal(t, Slept(), time.Duration(0))
}

// TestLostProcessorIsNoSleep has the thread lose its processor for 20 ms before each reading of a clock in turn, at the start and later: no
// deadline comes sooner by it. A sleep that follows counts in whole.
func TestLostProcessorIsNoSleep(t *testing.T) {
	const lost, asleep = 20 * time.Millisecond, 5 * time.Second
	for at := range 8 {
		var lasting time.Duration
		suspend(t, &lasting)
		readings, passed := 0, time.Duration(0)
		tick := func() time.Duration {
			if readings%8 == at {
				passed += lost
			}
			readings++
			return passed
		}
		steady = func() (time.Duration, error) { return tick(), nil }
		counting = func() (time.Duration, error) { return tick() + time.Hour + lasting, nil }
		assert.NilError(t, Start())
		for range 8 {
			assert.Equal(t, Slept(), time.Duration(0), "processor lost before reading %d", at)
		}
		lasting = asleep
		Slept()
		assert.Equal(t, Slept(), asleep, "processor lost before reading %d", at)
	}
}

func TestDeadlinesAndDatesAfterASleep(t *testing.T) {
	var lasting time.Duration
	suspend(t, &lasting)
	submitted := Date().Add(-10 * time.Second)
	deadline := Now().Add(30 * time.Second)
	lasting = 20 * time.Second
	ctx, cancel := WithDeadline(context.Background(), deadline)
	defer cancel()
	end, _ := ctx.Deadline()
	assert.Assert(t, time.Until(end) < 11*time.Second, "%v", time.Until(end))
	assert.Assert(t, time.Until(System(deadline)) < 11*time.Second)
	// The date here did not move with the sleep, which a stand-in of the time of day would have to show.
	age := Now().Sub(At(submitted))
	assert.Assert(t, age >= 10*time.Second && age < 11*time.Second, "%v", age)
}

func TestClockThatCannotBeReadIsAnErrorAtTheStart(t *testing.T) {
	suspend(t, new(time.Duration))
	counting = func() (time.Duration, error) { return 0, ErrUnreadable }
	assert.ErrorIs(t, Start(), failure.Kind(ErrUnreadable))
}

func TestSystemsClocksCanBeRead(t *testing.T) {
	assert.NilError(t, Start())
	assert.Assert(t, time.Until(Now()) < time.Second)
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}
