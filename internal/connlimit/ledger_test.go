package connlimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drawnLedger plays drawn calls on a ledger and checks its invariants after each.
type drawnLedger struct {
	t       *rapid.T
	ledger  ledger
	now     time.Time
	entries []*entry
	// ended are the entries that the ledger returned to be closed.
	ended map[*entry]bool
}

func (d *drawnLedger) end(victims ...*entry) {
	for _, victim := range victims {
		if victim == nil {
			continue
		}
		assert.Assert(d.t, !d.ended[victim], "a connection was closed twice")
		assert.Equal(d.t, victim.phase, closed)
		d.ended[victim] = true
	}
}

// open returns the entries in one of the phases.
func (d *drawnLedger) open(phases ...phase) []*entry {
	var found []*entry
	for _, e := range d.entries {
		for _, wanted := range phases {
			if e.phase == wanted {
				found = append(found, e)
			}
		}
	}
	return found
}

func (d *drawnLedger) admit() {
	added := &entry{}
	whole := d.open(serving)
	full := d.ledger.count >= d.ledger.limits.Connections
	victim, admitted := d.ledger.admit(added, d.now)
	assert.Equal(d.t, admitted, !full || len(whole) < d.ledger.limits.Connections, "a new connection is let in unless all others are serving")
	for _, e := range whole {
		assert.Equal(d.t, e.phase, serving, "a connection with a whole request was closed")
	}
	d.end(victim)
	if admitted {
		d.entries = append(d.entries, added)
	}
}

func (d *drawnLedger) receive(e *entry) {
	whole := d.open(serving)
	bytes := rapid.Int64Range(1, 1<<20).Draw(d.t, "bytes")
	d.end(d.ledger.received(e, bytes, rapid.Int64Range(0, bytes).Draw(d.t, "lines"), d.now)...)
	for _, e := range whole {
		assert.Equal(d.t, e.phase, serving, "a connection with a whole request was closed")
	}
}

func (d *drawnLedger) step() {
	d.now = d.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(d.t, "ms")) * time.Millisecond)
	awaited := d.open(awaitingHead, idle, awaitingBody)
	all := append(awaited, d.open(serving)...)
	if len(all) == 0 || rapid.IntRange(0, 2).Draw(d.t, "new") == 0 {
		d.admit()
		return
	}
	e := rapid.SampledFrom(all).Draw(d.t, "entry")
	switch before := e.phase; rapid.IntRange(0, 4).Draw(d.t, "call") {
	case 0:
		d.receive(e)
	case 1:
		if before == awaitingHead || before == idle {
			assert.Assert(d.t, d.ledger.headArrived(e, rapid.Bool().Draw(d.t, "whole"), d.now))
			e.release = func() {}
		}
	case 2:
		if before == awaitingBody {
			assert.Assert(d.t, d.ledger.bodyArrived(e, d.now))
		}
	case 3:
		d.ledger.answered(e, d.now)
	case 4:
		d.end(d.ledger.latest(e, d.now))
	}
}

func (d *drawnLedger) check() {
	count, heads := 0, int64(0)
	for _, e := range d.entries {
		assert.Assert(d.t, e.phase != closed || (e.listed == nil && e.memory == 0))
		if e.phase != closed {
			count++
			heads += e.memory
		}
	}
	assert.Equal(d.t, d.ledger.count, count)
	assert.Equal(d.t, d.ledger.heads, heads)
	assert.Assert(d.t, count <= d.ledger.limits.Connections && heads <= d.ledger.limits.HeadBytes)
	assert.Equal(d.t, d.ledger.unfinished.Len(), len(d.open(awaitingHead, awaitingBody)))
	assert.Equal(d.t, d.ledger.resting.Len(), len(d.open(idle)))
}

// TestLimitsHoldAndWholeRequestsAreKept plays drawn connections: the limits hold, a new connection is let in unless all others have a whole
// request under way, and none of those is ever closed.
func TestLimitsHoldAndWholeRequestsAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &drawnLedger{t: t, now: time.Unix(0, 0), ended: map[*entry]bool{}}
		d.ledger.decoding = HTTPHead
		d.ledger.limits = Limits{Connections: rapid.IntRange(1, 8).Draw(t, "connections"), HeadBytes: 1 << 20}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			d.step()
			d.check()
		}
	})
}

// TestSilentConnectionGivesItsPlace fills a ledger and admits one more: a recent connection gives its place only if no idle one does.
func TestSilentConnectionGivesItsPlace(t *testing.T) {
	begin := time.Unix(0, 0)
	book := &ledger{limits: Limits{Connections: 3, HeadBytes: 1}}
	first, second, resting := &entry{}, &entry{}, &entry{}
	for index, e := range []*entry{resting, first, second} {
		_, admitted := book.admit(e, begin.Add(time.Duration(index)))
		assert.Assert(t, admitted)
	}
	book.answered(resting, begin)
	victim, _ := book.admit(&entry{}, begin.Add(silenceGrace/2))
	assert.Assert(t, victim == resting, "an idle connection goes before recent ones")
	victim, _ = book.admit(&entry{}, begin.Add(silenceGrace/2))
	assert.Assert(t, victim == first, "without an idle one the longest silent one goes")
	assert.Equal(t, book.closings, Closings{Unfinished: 1, Idle: 1})
}

// TestBodyThatComesIsKept guards against closing a body on a slow link where another request needs memory.
func TestBodyThatComesIsKept(t *testing.T) {
	begin := time.Unix(0, 0)
	book := &ledger{limits: Limits{Connections: 9, HeadBytes: 1 << 20}}
	slow, absent, asking := &entry{}, &entry{}, &entry{}
	for _, e := range []*entry{slow, absent, asking} {
		book.admit(e, begin)
		book.headArrived(e, false, begin)
		e.release = func() {}
	}
	later := begin.Add(10 * time.Second)
	book.received(slow, 10*minBodyRate, 0, later)
	assert.Assert(t, book.latest(asking, begin.Add(bodyGrace/2)) == nil, "every body has a moment to come")
	assert.Assert(t, book.latest(asking, later) == absent)
	assert.Assert(t, book.latest(asking, later) == nil)
	assert.Assert(t, !book.bodyArrived(absent, later) && book.bodyArrived(slow, later))
}

// TestLimitsFollowTheMachine has the machines of small and large sites: as many connections as half of the descriptors bear.
func TestLimitsFollowTheMachine(t *testing.T) {
	for _, machine := range []struct {
		memoryMB    int64
		descriptors int
		connections int
	}{{136, 2870, 870}, {184, 4100, 1177}, {284, 4100, 1706}, {536, 8192, 3430}, {300, 1000, 350}, {300, 0, 1920}, {300, 100, minConnections}} {
		limits := LimitsOf(machine.memoryMB<<20, machine.descriptors)
		assert.Equal(t, limits.Connections, machine.connections, "%d MB, %d descriptors", machine.memoryMB, machine.descriptors)
	}
}
