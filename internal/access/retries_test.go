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

var testRoute = &work.Route{Name: "r", Objective: 300 * time.Millisecond}

// sendWithRetries sends requests to each limiter at a rate per second. Callers give a timeout if reportsTimeout is
// set, and retry once after a refusal. It returns how many requests were admitted on time, how many late retries
// during the load, and how many after it.
func sendWithRetries(limiters []*access.Limiter, rate float64, duration, timeout time.Duration, reportsTimeout bool) (
	onTime, retried, afterLoad int,
) {
	start := time.Now()
	var mutex sync.Mutex
	var all sync.WaitGroup
	for _, limiter := range limiters {
		for sent := range int(rate * duration.Seconds()) {
			all.Go(func() {
				time.Sleep(time.Duration(float64(sent) / rate * float64(time.Second)))
				asked := access.RequestInfo{Route: testRoute}
				if reportsTimeout {
					asked.TimeLeft = timeout
				}
				began := time.Now()
				err := limiter.Admit(context.Background(), clinic, asked)
				if err == nil {
					mutex.Lock()
					defer mutex.Unlock()
					onTime++
					return
				}
				time.Sleep(failure.As(err).RetryAfter)
				if reportsTimeout {
					asked.TimeLeft = timeout - time.Since(began)
				}
				if limiter.Admit(context.Background(), clinic, asked) != nil {
					return
				}
				mutex.Lock()
				defer mutex.Unlock()
				switch {
				case time.Since(began) <= testRoute.Objective:
					// The retry was soon enough to be on time.
					onTime++
				case time.Since(start) < duration:
					retried++
				default:
					afterLoad++
				}
			})
		}
	}
	all.Wait()
	return onTime, retried, afterLoad
}

// TestFirstAttemptsGoBeforeLateRetries has a tenant send three times its limit at four nodes. Each refused caller
// retries once, too late to be on time. Late retries may be at most one in twenty admitted requests during the load,
// which covers those admitted before the nodes have refused any. At least 95% of the requests admitted without
// timeouts must be admitted with them.
func TestFirstAttemptsGoBeforeLateRetries(t *testing.T) {
	const duration = 8 * time.Second
	var onTime, retried, afterLoad, all int
	withNodes(t, clinic, 4, func(_ *account, limiters []*access.Limiter) {
		onTime, retried, afterLoad = sendWithRetries(limiters, 15, duration, 5*time.Second, true)
	})
	withNodes(t, clinic, 4, func(_ *account, limiters []*access.Limiter) {
		passed, late, later := sendWithRetries(limiters, 15, duration, 5*time.Second, false)
		all = passed + late + later
	})
	assert.Check(t, retried <= (onTime+retried)/20, "%d on time, %d late retries", onTime, retried)
	assert.Check(t, float64(onTime+retried+afterLoad) >= 0.95*float64(all), "%d on time, %d late retries and %d after the load; %d without timeouts",
		onTime, retried, afterLoad, all)
}

// TestShorterTimeoutsAreNotTakenForRetries has half of a tenant's callers give a timeout of two seconds and the
// others of five, beyond its limit. As many of the former are admitted, except for the few that arrive before
// their timeout is a common one.
func TestShorterTimeoutsAreNotTakenForRetries(t *testing.T) {
	withNodes(t, clinic, 1, func(_ *account, limiters []*access.Limiter) {
		passed := map[time.Duration]int{}
		for range 200 {
			for _, left := range []time.Duration{5 * time.Second, 2 * time.Second} {
				if limiters[0].Admit(context.Background(), clinic, access.RequestInfo{Route: testRoute, TimeLeft: left}) == nil {
					passed[left]++
				}
				time.Sleep(17 * time.Millisecond)
			}
		}
		assert.Check(t, passed[2*time.Second] >= passed[5*time.Second]*2/3, "%v", passed)
	})
}

// TestLateRetryWithinTheLimitIsServed has a tenant within its limit send requests with less time left than usual.
func TestLateRetryWithinTheLimitIsServed(t *testing.T) {
	withNodes(t, clinic, 1, func(_ *account, limiters []*access.Limiter) {
		for index := range 60 {
			left := 5 * time.Second
			if index%3 == 2 {
				left -= time.Duration(400+index) * time.Millisecond
			}
			assert.Check(t, limiters[0].Admit(context.Background(), clinic, access.RequestInfo{Route: testRoute, TimeLeft: left}) == nil)
			time.Sleep(60 * time.Millisecond)
		}
	})
}
