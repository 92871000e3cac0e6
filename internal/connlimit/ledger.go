package connlimit

import (
	"container/list"
	"time"
)

// phase is what the process awaits on a connection.
type phase uint8

const (
	// awaitingHead connections have not sent the whole head of a request.
	awaitingHead phase = iota
	// idle connections were answered and have sent nothing since.
	idle
	// awaitingBody connections have sent the head of a request, and not yet the whole body.
	awaitingBody
	// serving connections have sent a whole request and are not answered yet.
	serving
	// closed connections count no more.
	closed
)

const (
	// silenceGrace is how long a connection without a whole request may be silent before it is closed in place of an idle one. Callers send
	// the head at once.
	silenceGrace = time.Second
	// minBodyRate is the rate in bytes per second below which a body is late once bodyGrace has passed: 0.13 Mbit/s.
	minBodyRate = 16 << 10
	bodyGrace   = time.Second
)

// entry is one connection in a ledger.
type entry struct {
	phase phase
	// active is when the phase began or the last bytes arrived in it.
	active time.Time
	// headBytes and headLines have arrived of the head; memory is reserved for it until the request ends.
	headBytes, headLines int64
	memory               int64
	// bodyBegan is when the body began to be awaited, bodyBytes how many bytes have arrived since.
	bodyBegan time.Time
	bodyBytes int64
	// listed is the entry's element of unfinished or idle; nil while it is serving.
	listed *list.Element
	// end closes the connection, and release gives up what was reserved for the body; nil if nothing was.
	end, release func()
}

// Closings counts the connections that a ledger closed, by reason.
type Closings struct {
	// Unfinished had not sent a whole request, Idle were idle; both gave their place or their memory to others.
	Unfinished, Idle int
	// Refused were new and found no place: all others were serving.
	Refused int
	// Late gave the memory reserved for their body to others, because it came too slowly.
	Late int
}

// ledger decides which connections may be open and how much memory their heads may take. It does no I/O and reads no clock. Its caller closes the
// entries that it returns.
//
// Invariants: count is the number of entries that are not closed, at most limits.Connections unless the limits were lowered; heads is
// the sum of their memory; unfinished holds those that await a head or a body and resting the idle ones, the least recently active first.
type ledger struct {
	limits              Limits
	decoding            Decoding
	count               int
	heads               int64
	unfinished, resting list.List
	closings            Closings
}

// admit adds a new connection. It returns the entry to close for it, nil if there was a place, and false if the new one is to be closed.
func (l *ledger) admit(added *entry, now time.Time) (victim *entry, admitted bool) {
	if l.count >= l.limits.Connections {
		victim = l.leastUseful(now)
		if victim == nil {
			l.closings.Refused++
			return nil, false
		}
		l.countClosing(victim)
		l.remove(victim)
	}
	l.count++
	l.enter(added, awaitingHead, now)
	return victim, true
}

// leastUseful returns the connection that is to be closed for a new one: one that has sent no whole request and has been silent the longest,
// unless that is recent and one is idle; nil if all are serving.
func (l *ledger) leastUseful(now time.Time) *entry {
	silent := first(&l.unfinished)
	if silent != nil && now.Sub(silent.active) >= silenceGrace {
		return silent
	}
	if resting := first(&l.resting); resting != nil {
		return resting
	}
	return silent
}

func first(entries *list.List) *entry {
	if front := entries.Front(); front != nil {
		return front.Value.(*entry)
	}
	return nil
}

func (l *ledger) countClosing(victim *entry) {
	if victim.phase == idle {
		l.closings.Idle++
		return
	}
	l.closings.Unfinished++
}

// enter moves an entry to a phase.
func (l *ledger) enter(e *entry, next phase, now time.Time) {
	l.unlist(e)
	e.phase, e.active = next, now
	switch next {
	case awaitingHead, awaitingBody:
		e.listed = l.unfinished.PushBack(e)
	case idle:
		e.listed = l.resting.PushBack(e)
	}
}

func (l *ledger) unlist(e *entry) {
	if e.listed == nil {
		return
	}
	if e.phase == idle {
		l.resting.Remove(e.listed)
	} else {
		l.unfinished.Remove(e.listed)
	}
	e.listed = nil
}

// remove takes an entry out; nothing of it counts any more.
func (l *ledger) remove(e *entry) {
	if e.phase == closed {
		return
	}
	l.unlist(e)
	l.freeHead(e)
	e.phase = closed
	l.count--
}

func (l *ledger) freeHead(e *entry) {
	l.heads -= e.memory
	e.memory, e.headBytes, e.headLines = 0, 0, 0
}

// received accounts for bytes that arrived, with a number of line ends among them. It returns the entries to close so that the head fits into
// the memory; that is the entry itself if no other unfinished head is larger.
func (l *ledger) received(e *entry, bytes, lines int64, now time.Time) (victims []*entry) {
	switch e.phase {
	case idle:
		l.enter(e, awaitingHead, now)
	case awaitingHead:
		e.active = now
		l.unfinished.MoveToBack(e.listed)
	case awaitingBody:
		e.active = now
		e.bodyBytes += bytes
		l.unfinished.MoveToBack(e.listed)
		return nil
	default:
		return nil
	}
	e.headBytes += bytes
	e.headLines += lines
	needed := l.decoding.memory(e.headBytes, e.headLines)
	l.heads += needed - e.memory
	e.memory = needed
	for l.heads > l.limits.HeadBytes && e.phase != closed && e.memory > 0 {
		victim := l.largestHead(e)
		l.countClosing(victim)
		l.remove(victim)
		victims = append(victims, victim)
	}
	return victims
}

// largestHead returns the unfinished entry whose head takes the most memory.
func (l *ledger) largestHead(most *entry) *entry {
	for element := l.unfinished.Front(); element != nil; element = element.Next() {
		if other := element.Value.(*entry); other.memory > most.memory {
			most = other
		}
	}
	return most
}

// headArrived records that the head of a request is whole; whole means that the request has no body. It returns false if the connection was
// closed before.
func (l *ledger) headArrived(e *entry, whole bool, now time.Time) bool {
	switch {
	case e.phase == closed:
		return false
	case whole:
		l.enter(e, serving, now)
	default:
		l.enter(e, awaitingBody, now)
		e.bodyBegan, e.bodyBytes = now, 0
	}
	return true
}

// bodyArrived records that the request is whole. It returns false if the connection was closed before.
func (l *ledger) bodyArrived(e *entry, now time.Time) bool {
	if e.phase == closed {
		return false
	}
	e.release = nil
	l.enter(e, serving, now)
	return true
}

// answered records that the request was answered and another one is awaited.
func (l *ledger) answered(e *entry, now time.Time) {
	if e.phase == closed {
		return
	}
	e.release = nil
	l.freeHead(e)
	l.enter(e, idle, now)
}

// latest returns the entry to close for the memory that is reserved for its body: the one, other than the given, whose body came the most
// slowly, if that is below minBodyRate; nil if there is none. It is removed.
func (l *ledger) latest(asking *entry, now time.Time) *entry {
	var found *entry
	slowest := float64(minBodyRate)
	for element := l.unfinished.Front(); element != nil; element = element.Next() {
		other := element.Value.(*entry)
		waited := now.Sub(other.bodyBegan)
		if other == asking || other.phase != awaitingBody || other.release == nil || waited < bodyGrace {
			continue
		}
		if rate := float64(other.bodyBytes) / waited.Seconds(); rate < slowest {
			found, slowest = other, rate
		}
	}
	if found != nil {
		l.closings.Late++
		l.remove(found)
	}
	return found
}
