package admission

import (
	"math"
	"time"
)

// Parameters of the concurrency limit.
const (
	// startLimit is the concurrency a service begins with on a node while the capacity of its runners is not known.
	startLimit = 256.0
	// leastLimit and mostLimit bound the concurrency.
	leastLimit = 1.0
	mostLimit  = 8192.0
	// limitShrink is the factor after an overload refusal, at most once in the time of an answer.
	limitShrink = 0.9
	// limitGrowth is the share of itself, beside one, by which the limit grows in the second round of answers after a cut
	// or since it came into use. It doubles with each further round, up to mostGrowth: far below the knee the limit must
	// not take long to follow callers who move to this node.
	limitGrowth = 0.05
	mostGrowth  = 1.0
	// limitReturn is the part of the way that an unused limit goes back to the node's share with each round of answers, so
	// that no surge meets limits that an earlier one left high or low.
	limitReturn = 0.2
	// A limit above the share grows while the mean time to the first token, without the wait on the node, is below
	// quickFirstToken. Above slowFirstToken the runners are taken to be full, and each answer lowers it by slowShrink.
	quickFirstToken = 250 * time.Millisecond
	slowFirstToken  = 400 * time.Millisecond
	slowShrink      = 0.3
	// firstTokenWeight is the weight of a new time to the first token in the mean.
	firstTokenWeight = 0.2
	// guessedTime stands for the time of an answer before any was measured; answerWeight is the weight of a new one.
	guessedTime  = time.Second
	answerWeight = 0.1
	// closedTime is how long no slot is given after the runners refused, unless an answer ends before.
	closedTime = 100 * time.Millisecond
)

// concurrency is the number of requests of one service this node may have in flight. It shrinks by a factor when the
// runners refuse for overload and grows with each full round of answers, so that excess demand waits in the fair queue
// or is refused early, and the runners stay at the knee of their throughput. It is pure.
//
// It begins with the node's share of what the runners take at once. Nodes learn of each other's requests too late to
// keep a surge on all of them at once within that, if each may send as much as it sees room for.
//
// Above the share it only grows while first tokens come soon. With many nodes each seldom hears of a runner, and the
// runners' queues fill without any node seeing one full; only the delay tells. It never lowers the limit below the share,
// since prompts may be long.
//
// A cut shows only once the requests in flight have ended, so the limit is not cut twice within the time of an answer.
type concurrency struct {
	limit    float64
	inFlight int
	// share is this node's part of what the runners take at once, or zero if it is not known.
	share  float64
	shrunk time.Time
	// usedSince is since when the limit has been in use without a cut.
	usedSince time.Time
	// closedUntil holds new slots back after a refusal.
	closedUntil time.Time
	// answerTime is the recent mean time of an answer, zero before the first.
	answerTime time.Duration
	// firstToken is the recent mean time to the first token, from when the request left the node.
	firstToken time.Duration
}

func newConcurrency() *concurrency { return &concurrency{limit: startLimit} }

// free says whether a request may go to a runner now.
func (c *concurrency) free(now time.Time) bool {
	return float64(c.inFlight) < c.limit && !now.Before(c.closedUntil)
}

// meanTime is the time of an answer, as far as is known.
func (c *concurrency) meanTime() time.Duration {
	if c.answerTime <= 0 {
		return guessedTime
	}
	return c.answerTime
}

// rate is the number of answers in a second that the slots in use give, above zero.
func (c *concurrency) rate() float64 {
	return min(c.limit, max(1, float64(c.inFlight))) / c.meanTime().Seconds()
}

// overloaded records that the runners refused a request, which still counts as in flight.
func (c *concurrency) overloaded(now time.Time) {
	if c.inFlight > 1 {
		c.closedUntil = now.Add(closedTime)
	}
	if now.Sub(c.shrunk) < c.meanTime() {
		return
	}
	c.shrunk, c.usedSince = now, now
	// A node that uses less than its share is not who fills the runners: its limit goes down slowly.
	used := max(float64(c.inFlight), c.share)
	c.limit = max(leastLimit, min(c.limit, used)*limitShrink)
}

// reopen records that a runner has room for one request more.
func (c *concurrency) reopen() { c.closedUntil = time.Time{} }

// setShare states the node's share of what the runners take at once.
func (c *concurrency) setShare(share float64) {
	if c.share == 0 && share > 0 {
		c.limit = max(leastLimit, share)
	}
	c.share = share
}

// answered records an answer and how long it took. The limit only grows while it is used, and once a cut has shown.
func (c *concurrency) answered(took time.Duration, now time.Time) {
	if c.answerTime <= 0 {
		c.answerTime, c.usedSince = took, now
	}
	c.answerTime += time.Duration(answerWeight * float64(took-c.answerTime))
	if c.laterThan(slowFirstToken) && c.limit > c.share {
		c.limit = max(c.share, c.limit-slowShrink)
		return
	}
	if float64(c.inFlight) >= c.limit/2 {
		c.limit = min(mostLimit, c.limit+c.growth(now))
		return
	}
	c.usedSince = now
	if c.share > 0 {
		c.limit += (c.share - c.limit) * limitReturn / float64(max(1, c.inFlight))
	}
}

// began records the time to the first token of a request.
func (c *concurrency) began(took time.Duration) {
	c.firstToken += time.Duration(firstTokenWeight * float64(took-c.firstToken))
}

// laterThan says that first tokens take longer than a time, while the share of the node is known.
func (c *concurrency) laterThan(bound time.Duration) bool { return c.share > 0 && c.firstToken > bound }

// growth is what the limit grows by with one answer.
func (c *concurrency) growth(now time.Time) float64 {
	rounds := now.Sub(c.usedSince).Seconds() / c.meanTime().Seconds()
	if rounds < 1 || (c.laterThan(quickFirstToken) && c.limit >= c.share) {
		return 0
	}
	return 1/c.limit + min(mostGrowth, limitGrowth*math.Exp2(rounds-1))
}
