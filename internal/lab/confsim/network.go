package confsim

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/confsync"
)

// send carries one exchange: a request, its answer, or the failure that its caller sees once it times out. An answer
// that comes after the time-out is delivered all the same, which is harsher than a real call.
func (f *Fleet) send(from *Node, send confsync.Send) {
	to := f.byName[send.To.Node]
	call := &call{fleet: f, from: from, to: to, send: send, life: from.life}
	f.clock.After(f.options.Timing.ExchangeTimeout, call.timeOut)
	f.count(send.Digest.WireBytes())
	call.deliver()
	if f.random.Float64() < f.options.Duplicate {
		call.deliver()
	}
}

func (f *Fleet) count(bytes int) {
	f.Messages++
	f.MessageBytes += int64(bytes)
}

// lost draws whether a message between two nodes is lost.
func (f *Fleet) lost(from, to *Node) bool {
	return !f.reachable(from.peer.Zone, to.peer.Zone) || f.random.Float64() < f.options.Loss
}

// call is one exchange under way.
type call struct {
	fleet    *Fleet
	from     *Node
	to       *Node
	send     confsync.Send
	life     int
	answered bool
}

// deliver carries the request.
func (c *call) deliver() {
	if c.fleet.lost(c.from, c.to) {
		return
	}
	c.fleet.clock.After(c.fleet.linkDelay(c.from.peer.Zone, c.to.peer.Zone), c.arrive)
}

// arrive handles the request and carries the answer back.
func (c *call) arrive() {
	if !c.to.running || c.to.paused {
		return
	}
	finish := c.answer()
	if c.fleet.lost(c.to, c.from) {
		return
	}
	c.fleet.clock.After(c.fleet.linkDelay(c.to.peer.Zone, c.from.peer.Zone), func() {
		if c.from.life == c.life && !c.from.paused {
			c.answered = true
			c.from.step(finish)
		}
	})
}

// answer makes the callee's answer and returns what the caller does with it.
func (c *call) answer() func(core *confsync.Core, now time.Time) {
	if c.send.Snapshot {
		state := c.to.core.State()
		for _, resource := range state.Resources() {
			c.fleet.MessageBytes += int64(len(resource.Value) + len(resource.Name))
		}
		c.fleet.count(0)
		return func(core *confsync.Core, now time.Time) { core.HandleSnapshot(now, c.send.To, state) }
	}
	var delta confsync.Delta
	c.to.step(func(core *confsync.Core, now time.Time) { delta = core.HandleDigest(now, c.send.Digest) })
	c.fleet.count(delta.WireBytes())
	return func(core *confsync.Core, now time.Time) { core.HandleDelta(now, c.send.To, delta) }
}

func (c *call) timeOut() {
	if c.from.life == c.life && !c.answered {
		c.from.step(func(core *confsync.Core, now time.Time) { core.HandleFailure(now, c.send.To) })
	}
}
