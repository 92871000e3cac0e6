package exchange

import (
	"math"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

const (
	// coalesceTime is how long a change that is no rise waits for others.
	coalesceTime = 20 * time.Millisecond
	// renewTime is how often a count above zero is told again, and the longest a change within the slack waits. Peers
	// forget a count after several times that.
	renewTime = time.Minute
	// slackFrom is the online work of a runner from which small changes may wait. Below it each request weighs.
	slackFrom = 32
)

// slackOf returns by how much one node's count on a runner may differ from what it told: one more than the square root of its
// count, which is how far the count wanders by chance. So all nodes together are wrong by about the square root of the
// runner's online work, or by as much as nodes with one or two requests have there. The engine's report, a second old, gives
// the owner the sum, and its reserve covers what changes within that second.
func slackOf(online, told int) int {
	if online < slackFrom {
		return 0
	}
	return 1 + int(math.Sqrt(float64(told)))
}

// coalescer decides when which counts are told. It is pure but for its own state and belongs to one goroutine.
//
// Invariant: a count above the one last told by more than the runner's slack is due at the moment of the change, so that the
// owner can keep batch prompts out of the steps in which the new request waits.
type coalescer struct {
	counts map[ident.Runner]*told
}

// told is the count of one runner, what was told of it, and when to tell it again.
type told struct {
	// owner is who owned the runner at the last change, to tell with little work which counts may go along.
	owner   ident.Node
	current int
	last    int
	due     time.Time
	dirty   bool
	// slack is the change that may wait, as of the last change.
	slack int
	// unsure says that a message of the count may have been lost, so that what the owner holds is not known.
	unsure bool
}

// silent reports whether the owner need not hear of a count: it holds none, and the count is within the slack. The engine's
// report shows the owner such requests; were they told, many nodes with one request each would still be counted long after.
func (t *told) silent() bool {
	return t.slack > 0 && t.last == 0 && !t.unsure && t.current <= t.slack
}

func newCoalescer() *coalescer { return &coalescer{counts: map[ident.Runner]*told{}} }

// changed takes a new count, and the runner's online work in all, and reports whether it must be told at once. A change within
// the slack waits until something else is told to the owner, or the count is due to be renewed.
func (c *coalescer) changed(runner ident.Runner, owner ident.Node, current, online int, now time.Time) bool {
	count, known := c.counts[runner]
	if !known {
		count = &told{due: now.Add(renewTime)}
		c.counts[runner] = count
	}
	count.owner = owner
	count.current = current
	count.dirty = true
	count.slack = slackOf(online, count.last)
	if max(current-count.last, count.last-current) <= count.slack {
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

// take returns the counts to tell now, by owner. With a count that is due, all others of its owner go along, so that
// they need no message of their own before the next renewal. skip reports owners that still have a message on its way; their counts stay.
func (c *coalescer) take(now time.Time, owner func(ident.Runner) (ident.Node, bool), skip func(ident.Node) bool) map[ident.Node]map[ident.Runner]int {
	messages := map[ident.Node]map[ident.Runner]int{}
	for runner, count := range c.counts {
		if now.Before(count.due) {
			continue
		}
		if count.silent() {
			c.postpone(runner, count, now)
			continue
		}
		node, known := owner(runner)
		if !known {
			count.due = now.Add(renewTime)
			continue
		}
		if skip(node) {
			continue
		}
		addCount(messages, node, runner, count.current)
	}
	for runner, count := range c.counts {
		if messages[count.owner] == nil || count.silent() {
			continue
		}
		node, known := owner(runner)
		if _, going := messages[node]; known && going && (count.dirty || count.current > 0) {
			messages[node][runner] = count.current
		}
	}
	return messages
}

// postpone looks at a count again after the renewal time, or forgets it if it is idle.
func (c *coalescer) postpone(runner ident.Runner, count *told, now time.Time) {
	if count.current == 0 {
		delete(c.counts, runner)
		return
	}
	count.due = now.Add(renewTime)
}

func addCount(messages map[ident.Node]map[ident.Runner]int, node ident.Node, runner ident.Runner, current int) {
	if messages[node] == nil {
		messages[node] = map[ident.Runner]int{}
	}
	messages[node][runner] = current
}

// sent records that a message is on its way.
func (c *coalescer) sent(counts map[ident.Runner]int, now time.Time) {
	for runner, current := range counts {
		count := c.counts[runner]
		count.last = current
		count.dirty = false
		count.unsure = false
		count.due = now.Add(renewTime)
	}
}

// delivered forgets runners that were told to be idle.
func (c *coalescer) delivered(counts map[ident.Runner]int) {
	for runner, current := range counts {
		count, known := c.counts[runner]
		if known && current == 0 && count.current == 0 && !count.dirty {
			delete(c.counts, runner)
		}
	}
}

// failed makes the counts of a lost message due again after a pause.
func (c *coalescer) failed(counts map[ident.Runner]int, now time.Time) {
	for runner := range counts {
		if count, known := c.counts[runner]; known {
			count.last = 0
			count.unsure = true
			count.dirty = true
			count.due = now.Add(failurePause)
		}
	}
}

// failurePause is the wait before a lost message is sent again.
const failurePause = 200 * time.Millisecond

// nextDue returns when the next count is due, or false if none is.
func (c *coalescer) nextDue() (time.Time, bool) {
	var next time.Time
	for _, count := range c.counts {
		if next.IsZero() || count.due.Before(next) {
			next = count.due
		}
	}
	return next, !next.IsZero()
}
