package exchange

import (
	"math"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

const (
	// coalesceTime is how long a decrease waits to be sent together with other changes.
	coalesceTime = 20 * time.Millisecond
	// renewInterval is the interval at which a count above zero is sent again, and the longest delay of a change within the
	// tolerance. Counts expire at peers after several times that.
	renewInterval = time.Minute
	// toleranceFrom is the online work of a runner from which small changes may be delayed. Below it every request matters.
	toleranceFrom = 32
)

// toleranceFor returns by how much one node's count on a runner may differ from the count it last sent: one more than the
// square root of that count, which is about its random variation. The error of all nodes together is then about the square
// root of the runner's online work, plus the requests of nodes that have only one or two there. The owner knows the sum from
// the engine's report, which is up to a second old, and its reserve covers the changes within that second.
func toleranceFor(online, sent int) int {
	if online < toleranceFrom {
		return 0
	}
	return 1 + int(math.Sqrt(float64(sent)))
}

// coalescer decides which counts are sent and when. It does no I/O and is not safe for concurrent use.
//
// Invariant: a count that exceeds the last one sent by more than the tolerance is due at the time of the change, so that the
// owner can keep batch prompts out of the steps in which the new request waits.
type coalescer struct {
	counts map[ident.Runner]*countState
}

// countState is the count of one runner, the count last sent, and when to send it again.
type countState struct {
	// owner is the owner of the runner at the last change. It is a cheap filter for counts to send in the same message.
	owner   ident.Node
	current int
	// last is the count last sent, and dirty is true if current changed since.
	last  int
	due   time.Time
	dirty bool
	// tolerance is the difference that may be delayed, as of the last change.
	tolerance int
	// maybeLost is true if a message of the count may have been lost, so that the owner's count is unknown.
	maybeLost bool
}

// withheld reports whether the count need not be sent: the owner has none, and the count is within the tolerance. The owner
// knows such requests from the engine's report. If they were sent, requests of many nodes with one each would be counted
// until long after they ended.
func (s *countState) withheld() bool {
	return s.tolerance > 0 && s.last == 0 && !s.maybeLost && s.current <= s.tolerance
}

func newCoalescer() *coalescer { return &coalescer{counts: map[ident.Runner]*countState{}} }

// changed records a new count, given the total online work of the runner, and reports whether it must be sent immediately. A
// change within the tolerance is sent with the next message to the owner or when the count is renewed.
func (c *coalescer) changed(runner ident.Runner, owner ident.Node, current, online int, now time.Time) bool {
	count, known := c.counts[runner]
	if !known {
		count = &countState{due: now.Add(renewInterval)}
		c.counts[runner] = count
	}
	count.owner = owner
	count.current = current
	count.dirty = true
	count.tolerance = toleranceFor(online, count.last)
	if max(current-count.last, count.last-current) <= count.tolerance {
		return false
	}
	urgent := current > count.last
	due := now.Add(coalesceTime)
	if urgent {
		due = now
	}
	if due.Before(count.due) {
		count.due = due
	}
	return urgent
}

// take returns the counts to send now, by owner. With a count that is due, all others of its owner are sent, so that they
// need no separate message before the next renewal. skip reports owners to which a message is still in flight; their counts
// remain due.
func (c *coalescer) take(now time.Time, owner func(ident.Runner) (ident.Node, bool), skip func(ident.Node) bool) map[ident.Node]map[ident.Runner]int {
	messages := map[ident.Node]map[ident.Runner]int{}
	for runner, count := range c.counts {
		if now.Before(count.due) {
			continue
		}
		if count.withheld() {
			c.postpone(runner, count, now)
			continue
		}
		node, known := owner(runner)
		if !known {
			count.due = now.Add(renewInterval)
			continue
		}
		if skip(node) {
			continue
		}
		addCount(messages, node, runner, count.current)
	}
	for runner, count := range c.counts {
		if messages[count.owner] == nil || count.withheld() {
			continue
		}
		node, known := owner(runner)
		if _, sending := messages[node]; known && sending && (count.dirty || count.current > 0) {
			messages[node][runner] = count.current
		}
	}
	return messages
}

// postpone delays a withheld count until the next renewal, or removes it if it is zero.
func (c *coalescer) postpone(runner ident.Runner, count *countState, now time.Time) {
	if count.current == 0 {
		delete(c.counts, runner)
		return
	}
	count.due = now.Add(renewInterval)
}

// addCount adds a count to the message to a node.
func addCount(messages map[ident.Node]map[ident.Runner]int, node ident.Node, runner ident.Runner, current int) {
	if messages[node] == nil {
		messages[node] = map[ident.Runner]int{}
	}
	messages[node][runner] = current
}

// sent records that a message was sent.
func (c *coalescer) sent(counts map[ident.Runner]int, now time.Time) {
	for runner, current := range counts {
		count := c.counts[runner]
		count.last = current
		count.dirty = false
		count.maybeLost = false
		count.due = now.Add(renewInterval)
	}
}

// delivered removes the counts that were delivered as zero and have not changed since.
func (c *coalescer) delivered(counts map[ident.Runner]int) {
	for runner, current := range counts {
		count, known := c.counts[runner]
		if known && current == 0 && count.current == 0 && !count.dirty {
			delete(c.counts, runner)
		}
	}
}

// failed makes the counts of a lost message due again after countRetryDelay.
func (c *coalescer) failed(counts map[ident.Runner]int, now time.Time) {
	for runner := range counts {
		if count, known := c.counts[runner]; known {
			count.last = 0
			count.maybeLost = true
			count.dirty = true
			count.due = now.Add(countRetryDelay)
		}
	}
}

// countRetryDelay is the delay before a lost message is sent again.
const countRetryDelay = 200 * time.Millisecond

// nextDue returns when the next count is due, or false if there is none.
func (c *coalescer) nextDue() (time.Time, bool) {
	var next time.Time
	for _, count := range c.counts {
		if next.IsZero() || count.due.Before(next) {
			next = count.due
		}
	}
	return next, !next.IsZero()
}
