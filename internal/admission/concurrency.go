package admission

import (
	"math"
	"time"
)

// Parameters of the concurrency limit.
const (
	// initialLimit is the initial concurrency of a service on a node while the capacity of its runners is unknown.
	initialLimit = 256.0
	// minLimit and maxLimit bound the concurrency limit.
	minLimit = 1.0
	maxLimit = 8192.0
	// shrinkFactor multiplies the limit after an overload refusal, at most once per mean answer time.
	shrinkFactor = 0.9
	// limitGrowth is the fraction by which the limit grows, in addition to one request, in the second round of answers
	// after a cut or after it came into use. It doubles with each further round, up to maxGrowth, so that a limit far
	// below the throughput knee quickly follows callers that move to this node.
	limitGrowth = 0.05
	maxGrowth   = 1.0
	// returnFraction is the fraction of the distance to the node's share that an unused limit returns per round of answers,
	// so that a surge does not start with a limit that an earlier surge left too high or too low.
	returnFraction = 0.2
	// A limit above the share grows while the mean time to the first token, excluding the wait on the node, is below
	// quickFirstToken. Above slowFirstToken the runners are assumed to be full, and each answer lowers the limit by slowShrink.
	quickFirstToken = 250 * time.Millisecond
	slowFirstToken  = 400 * time.Millisecond
	slowShrink      = 0.3
	// firstTokenWeight is the weight of a new sample in the moving average of the time to the first token.
	firstTokenWeight = 0.2
	// defaultAnswerTime is the assumed answer time before the first measurement; answerWeight is the weight of a new sample.
	defaultAnswerTime = time.Second
	answerWeight      = 0.1
	// overloadPause is how long no slot is granted after an overload refusal, unless an answer completes earlier.
	overloadPause = 100 * time.Millisecond
)

// concurrency limits the number of requests of one service that this node may have in flight. The limit shrinks by a
// factor when the runners refuse for overload and grows with each full round of answers, so that excess demand waits in
// the fair queue or is refused early, and the runners stay at the knee of their throughput. It reads no clock; callers
// pass the current time.
//
// The limit starts at the node's share of the runners' capacity. Nodes receive each other's load too late to keep a
// surge on all nodes within that capacity if each node sends as much as it sees free slots for.
//
// Above the share the limit grows only while first tokens arrive quickly. With many nodes, each node rarely receives a
// runner's load, so the runners' queues can fill without any node seeing a full runner; only the delay shows it. Slow
// first tokens do not lower the limit below the share, since long prompts also delay them.
//
// A cut takes effect only when the requests in flight have ended, so the limit is cut at most once per mean answer time.
type concurrency struct {
	limit    float64
	inFlight int
	// share is this node's part of the runners' capacity, or zero if it is unknown.
	share float64
	// lastCut is the time of the last cut.
	lastCut time.Time
	// usedSince is the time from which the limit has been in use without a cut.
	usedSince time.Time
	// pausedUntil is the time before which no slot is granted after an overload refusal.
	pausedUntil time.Time
	// answerTime is the moving average of the answer time, or zero before the first answer.
	answerTime time.Duration
	// firstToken is the moving average of the time to the first token, measured from when the request left the node.
	firstToken time.Duration
}

func newConcurrency() *concurrency { return &concurrency{limit: initialLimit} }

// free reports whether a request may be sent to a runner now.
func (c *concurrency) free(now time.Time) bool {
	return float64(c.inFlight) < c.limit && !now.Before(c.pausedUntil)
}

// meanAnswerTime returns the mean answer time, or defaultAnswerTime before the first measurement.
func (c *concurrency) meanAnswerTime() time.Duration {
	if c.answerTime <= 0 {
		return defaultAnswerTime
	}
	return c.answerTime
}

// rate estimates the answers per second of the slots in use. It is always positive.
func (c *concurrency) rate() float64 {
	return min(c.limit, max(1, float64(c.inFlight))) / c.meanAnswerTime().Seconds()
}

// overloaded records that the runners refused a request for overload. The request must still be counted in inFlight.
func (c *concurrency) overloaded(now time.Time) {
	if c.inFlight > 1 {
		c.pausedUntil = now.Add(overloadPause)
	}
	if now.Sub(c.lastCut) < c.meanAnswerTime() {
		return
	}
	c.lastCut, c.usedSince = now, now
	// A node that uses less than its share does not cause the overload, so its limit is cut from the share instead of
	// from its current use.
	used := max(float64(c.inFlight), c.share)
	c.limit = max(minLimit, min(c.limit, used)*shrinkFactor)
}

// resume allows new slots again, because a runner has a free slot.
func (c *concurrency) resume() { c.pausedUntil = time.Time{} }

// setShare sets the node's share of the runners' capacity. The first known share becomes the limit.
func (c *concurrency) setShare(share float64) {
	if c.share == 0 && share > 0 {
		c.limit = max(minLimit, share)
	}
	c.share = share
}

// answered records an answer and its duration. The limit grows only while at least half of it is in use, and only after
// the last cut has taken effect.
func (c *concurrency) answered(took time.Duration, now time.Time) {
	if c.answerTime <= 0 {
		c.answerTime, c.usedSince = took, now
	}
	c.answerTime += time.Duration(answerWeight * float64(took-c.answerTime))
	if c.firstTokenAbove(slowFirstToken) && c.limit > c.share {
		c.limit = max(c.share, c.limit-slowShrink)
		return
	}
	if float64(c.inFlight) >= c.limit/2 {
		c.limit = min(maxLimit, c.limit+c.growth(now))
		return
	}
	c.usedSince = now
	if c.share > 0 {
		c.limit += (c.share - c.limit) * returnFraction / float64(max(1, c.inFlight))
	}
}

// observeFirstToken records the time to the first token of a request.
func (c *concurrency) observeFirstToken(took time.Duration) {
	c.firstToken += time.Duration(firstTokenWeight * float64(took-c.firstToken))
}

// firstTokenAbove reports whether the mean time to the first token exceeds a bound. It is false while the share is unknown.
func (c *concurrency) firstTokenAbove(bound time.Duration) bool {
	return c.share > 0 && c.firstToken > bound
}

// growth returns how much the limit grows per answer.
func (c *concurrency) growth(now time.Time) float64 {
	rounds := now.Sub(c.usedSince).Seconds() / c.meanAnswerTime().Seconds()
	if rounds < 1 || (c.firstTokenAbove(quickFirstToken) && c.limit >= c.share) {
		return 0
	}
	return 1/c.limit + min(maxGrowth, limitGrowth*math.Exp2(rounds-1))
}
