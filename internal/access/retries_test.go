package access_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/access"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/work"
)

var askedRoute = &work.Route{Name: "r", Objective: 300 * time.Millisecond}

// comeBack sends requests a second to each of some limiters, whose callers give a time and come again once when they are refused. It returns how
// many were let through while they could be on time, and later, while others still came and after that.
func comeBack(limiters []*access.Limiter, rate float64, lasts, gives time.Duration, tells bool) (first, again, after int) {
	start := time.Now()
	var mutex sync.Mutex
	var all sync.WaitGroup
	for _, limiter := range limiters {
		for sent := range int(rate * lasts.Seconds()) {
			all.Go(func() {
				time.Sleep(time.Duration(float64(sent) / rate * float64(time.Second)))
				asked := access.Asked{Route: askedRoute}
				if tells {
					asked.Left = gives
				}
				began := time.Now()
				err := limiter.Admit(context.Background(), clinic, asked)
				if err == nil {
					mutex.Lock()
					defer mutex.Unlock()
					first++
					return
				}
				time.Sleep(failure.As(err).RetryAfter)
				if tells {
					asked.Left = gives - time.Since(began)
				}
				if limiter.Admit(context.Background(), clinic, asked) != nil {
					return
				}
				mutex.Lock()
				defer mutex.Unlock()
				switch {
				case time.Since(began) <= askedRoute.Objective:
					// It came again soon enough to be on time.
					first++
				case time.Since(start) < lasts:
					again++
				default:
					after++
				}
			})
		}
	}
	all.Wait()
	return first, again, after
}

// TestFirstAttemptsGoBeforeThoseThatComeAgain has a tenant send three times its limit at four nodes, and each caller that is refused come again
// once, too late to be on time. What may be let through goes to first attempts but for one in twenty, which is what nodes let through before they
// have seen any refused, and no less is let through than where callers don't tell how long they wait.
func TestFirstAttemptsGoBeforeThoseThatComeAgain(t *testing.T) {
	const lasts = 8 * time.Second
	var first, again, after, all int
	withNodes(t, clinic, 4, func(_ *account, limiters []*access.Limiter) {
		first, again, after = comeBack(limiters, 15, lasts, 5*time.Second, true)
	})
	withNodes(t, clinic, 4, func(_ *account, limiters []*access.Limiter) {
		passed, late, later := comeBack(limiters, 15, lasts, 5*time.Second, false)
		all = passed + late + later
	})
	assert.Check(t, again <= (first+again)/20, "%d on time, %d again", first, again)
	assert.Check(t, float64(first+again+after) >= 0.95*float64(all), "%d, %d and %d of %d", first, again, after, all)
}

// TestCallersThatGiveLessTimeAreNotTakenForThoseThatComeAgain has half of a tenant's callers give two seconds where the others give five, beyond its
// limit: as many of them are let through, but for the few that come before their time is known for a usual one.
func TestCallersThatGiveLessTimeAreNotTakenForThoseThatComeAgain(t *testing.T) {
	withNodes(t, clinic, 1, func(_ *account, limiters []*access.Limiter) {
		passed := map[time.Duration]int{}
		for range 200 {
			for _, left := range []time.Duration{5 * time.Second, 2 * time.Second} {
				if limiters[0].Admit(context.Background(), clinic, access.Asked{Route: askedRoute, Left: left}) == nil {
					passed[left]++
				}
				time.Sleep(17 * time.Millisecond)
			}
		}
		assert.Check(t, passed[2*time.Second] >= passed[5*time.Second]*2/3, "%v", passed)
	})
}

// TestRequestThatComesAgainWithinTheLimitIsServed has a tenant stay within its limit, with requests that have less time left than usual.
func TestRequestThatComesAgainWithinTheLimitIsServed(t *testing.T) {
	withNodes(t, clinic, 1, func(_ *account, limiters []*access.Limiter) {
		for index := range 60 {
			left := 5 * time.Second
			if index%3 == 2 {
				left -= time.Duration(400+index) * time.Millisecond
			}
			assert.Check(t, limiters[0].Admit(context.Background(), clinic, access.Asked{Route: askedRoute, Left: left}) == nil)
			time.Sleep(60 * time.Millisecond)
		}
	})
}
