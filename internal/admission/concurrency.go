package admission

import "time"

// Parameters of the concurrency limit.
const (
	// startLimit is the concurrency a service begins with on a node.
	startLimit = 256.0
	// leastLimit and mostLimit bound the concurrency.
	leastLimit = 1.0
	mostLimit  = 8192.0
	// limitShrink is the factor after an overload refusal, at most once in shrinkEvery.
	limitShrink = 0.8
	shrinkEvery = 200 * time.Millisecond
)

// concurrency is the number of requests of one service this node may have in flight. It shrinks by a factor when the
// runners refuse for overload and grows by one for each full round of answers, so that excess demand waits in the fair
// queue or is refused early, and the runners stay at the knee of their throughput. It is pure.
type concurrency struct {
	limit    float64
	inFlight int
	shrunk   time.Time
}

func newConcurrency() *concurrency { return &concurrency{limit: startLimit} }

func (c *concurrency) free() bool { return float64(c.inFlight) < c.limit }

// overloaded records that the runners refused a request.
func (c *concurrency) overloaded(now time.Time) {
	if now.Sub(c.shrunk) < shrinkEvery {
		return
	}
	c.shrunk = now
	c.limit = max(leastLimit, min(c.limit, float64(c.inFlight))*limitShrink)
}

// answered records an answer. The limit only grows while it is used.
func (c *concurrency) answered() {
	if float64(c.inFlight) >= c.limit/2 {
		c.limit = min(mostLimit, c.limit+1/c.limit)
	}
}
