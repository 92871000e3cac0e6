package online

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/eventstream"
	"mallowlatch.example/mallowlatch/internal/heldbytes"
)

const (
	// lagEvery is the time between two looks whether a caller takes what is written: most streams are over before the
	// first, which costs a wake-up. One that is being written to is looked at again after lagAgain, and lags if it is being written to
	// then: to a caller that keeps up a write takes some microseconds. Runners allow some seconds until an answer that is left unread is
	// cut off.
	lagEvery = 250 * time.Millisecond
	lagAgain = 50 * time.Millisecond
	// lagLeast parts two looks at least: one that comes at once after another shows the same moment.
	lagLeast = 10 * time.Millisecond
	// aheadBytes are the most that is read ahead of a caller that lags, but for one event: many times a usual stream, and so little that
	// hundreds of such callers fit into a node's budget.
	aheadBytes = 64 << 10
	// heldUpMost is how long the reading of a stream may be held up by its caller, in all, where nobody else wants its place. It is less
	// than the seconds after which a runner cuts an answer off.
	heldUpMost = time.Second
)

// ahead reads the events of a runner's answer. As long as the caller keeps up, whoever writes them reads them too. When a write lasts,
// the reading goes over to another goroutine for the rest of the answer: a caller that reads slowly takes nothing of the runner.
type ahead struct {
	exchange *exchange
	place    *place
	guard    *silenceGuard
	reader   *eventstream.Reader
	timer    *time.Timer
	// turn is even while the writer has the reader, and odd, another number each time, while it writes. Only the writer counts it up.
	// readerTaken and readerClosed end that.
	turn atomic.Uint64
	// writes is since which look a write was under way at each; zero where none was at the last one. looking guards it: the room of the
	// service looks too.
	looking sync.Mutex
	writes  time.Time
	// behind says that the reader was taken; only the writer touches it.
	behind bool
	// done is closed when the reading ahead ended. more and room wake the writer and the reading, and hold one word each. They are made
	// when the reader is taken.
	done, more, room chan struct{}
	// heldUp is how long the reading waited for the caller; only the reading touches it.
	heldUp time.Duration
	// lastRead is when the last event was read; it goes with the reader.
	lastRead time.Time

	mutex  sync.Mutex
	events []eventstream.Event
	// bytes is the sum of the events, and what is reserved for them.
	bytes int64
	held  *heldbytes.Held
	// ended is why the reading ended; io.EOF at the end of the answer.
	ended error
}

const (
	// readerTaken is the turn from which on another goroutine reads, readerClosed that after the answer.
	readerTaken  = math.MaxUint64
	readerClosed = math.MaxUint64 - 1
)

// readAhead begins to read an answer.
func (e *exchange) readAhead(reader *eventstream.Reader, guard *silenceGuard) *ahead {
	begun := &ahead{exchange: e, place: e.place, guard: guard, reader: reader}
	// The timer is known before it fires for the first time.
	begun.timer = time.AfterFunc(time.Hour, begun.look)
	begun.timer.Reset(lagEvery)
	e.room.follow(begun)
	return begun
}

// next returns the next event of the answer. Its bytes are valid until the next call.
func (a *ahead) next(first bool) (eventstream.Event, error) {
	if a.behind {
		return a.dequeue()
	}
	return a.read(first)
}

// write calls a function that writes to the caller. Meanwhile the reader may be taken.
func (a *ahead) write(passOn func() error) error {
	if a.behind {
		return passOn()
	}
	turn := a.turn.Add(1)
	err := passOn()
	a.behind = !a.turn.CompareAndSwap(turn, turn+1)
	return err
}

// close ends the reading.
func (a *ahead) close() {
	last := a.turn.Swap(readerClosed)
	a.timer.Stop()
	a.exchange.room.unfollow(a)
	if last != readerTaken {
		return
	}
	a.place.end()
	<-a.done
	a.held.Release()
}

// read returns the runner's next event, and notes that the runner works. The guard measures the runner: it waits only here.
func (a *ahead) read(first bool) (eventstream.Event, error) {
	if !first {
		a.guard.await()
	}
	next, err := a.reader.Next()
	a.guard.stop()
	if err != nil {
		return next, err
	}
	if a.guard.fired() {
		return next, fmt.Errorf("%w: an event came too late", errUnprovenEnd)
	}
	a.lastRead = a.place.now()
	a.place.flight.Began(a.lastRead)
	return next, nil
}

// look reads on where the caller lags, and looks again otherwise.
func (a *ahead) look() {
	if a.takeReader() {
		a.readOn()
		return
	}
	if a.turn.Load() < readerClosed {
		a.timer.Reset(a.untilNextLook())
	}
}

// lookSooner is a look between those of the timer. It doesn't wait.
func (a *ahead) lookSooner() {
	if a.takeReader() {
		go a.readOn()
	}
}

// takeReader takes the reader where a write is under way, as at the last look. Who took it must read on.
func (a *ahead) takeReader() bool {
	a.looking.Lock()
	defer a.looking.Unlock()
	turn, now := a.turn.Load(), a.place.now()
	switch {
	case turn >= readerClosed:
		return false
	case turn%2 == 0:
		a.writes = time.Time{}
		return false
	case a.writes.IsZero():
		a.writes = now
		return false
	case now.Sub(a.writes) < lagLeast:
		return false
	}
	a.done, a.more, a.room = make(chan struct{}), make(chan struct{}, 1), make(chan struct{}, 1)
	taken := a.turn.CompareAndSwap(turn, readerTaken)
	a.writes = time.Time{}
	return taken
}

func (a *ahead) untilNextLook() time.Duration {
	a.looking.Lock()
	defer a.looking.Unlock()
	if a.writes.IsZero() {
		return lagEvery
	}
	return lagAgain
}

// readOn reads the rest of the answer while the caller takes what was read before.
func (a *ahead) readOn() {
	defer close(a.done)
	defer a.place.free()
	a.place.stood = a.place.now().Sub(a.lastRead)
	// The writer is still about the last event.
	a.reader.Keep()
	a.held = a.exchange.forwarder.Held.Open(heldbytes.Answer, a.exchange.whose())
	for {
		next, err := a.read(false)
		if err == nil {
			next.Raw, next.Data = slices.Clone(next.Raw), nil
			err = a.enqueue(next)
		}
		if err != nil {
			a.end(err)
			return
		}
	}
}

// enqueue keeps an event for the writer, once there is room for it. The error wraps errCallerGone where the caller is cut off.
func (a *ahead) enqueue(next eventstream.Event) error {
	for !a.put(next) {
		if a.heldUp >= heldUpMost {
			return a.cutOff()
		}
		if err := a.awaitRoom(); err != nil {
			return err
		}
	}
	return nil
}

// awaitRoom waits until there may be room in the queue. The error wraps errCallerGone where others want the place more.
func (a *ahead) awaitRoom() error {
	room, began := a.exchange.room, a.place.now()
	held := room.holdUp(began.Add(-a.heldUp))
	defer room.goOn(held)
	// What others held may have been given back after a moment.
	patience := time.NewTimer(min(heldUpMost-a.heldUp, lagAgain))
	defer patience.Stop()
	select {
	case <-a.room:
	case <-patience.C:
	case <-held.cut:
		a.noteHeldUp(began)
		return a.cutOff()
	case <-a.place.ctx.Done():
		return a.place.ctx.Err()
	}
	a.noteHeldUp(began)
	return nil
}

func (a *ahead) noteHeldUp(since time.Time) {
	lasted := a.place.now().Sub(since)
	a.heldUp += lasted
	a.place.stood += lasted
}

// put keeps an event if there is room. One event always has, as far as the node's budget allows.
func (a *ahead) put(next eventstream.Event) bool {
	size := int64(len(next.Raw))
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.bytes > 0 && a.bytes+size > aheadBytes {
		return false
	}
	if a.held.Grow(size) != nil {
		return false
	}
	a.events = append(a.events, next)
	a.bytes += size
	wake(a.more)
	return true
}

// dequeue returns the first event that was read ahead, or why there is none.
func (a *ahead) dequeue() (eventstream.Event, error) {
	for {
		if next, found, err := a.first(); found {
			return next, err
		}
		<-a.more
	}
}

// first takes the first event of the queue. Where there is none it is found once the reading has ended.
func (a *ahead) first() (next eventstream.Event, found bool, err error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if len(a.events) == 0 {
		return next, a.ended != nil, a.ended
	}
	next = a.events[0]
	a.events = a.events[1:]
	a.bytes -= int64(len(next.Raw))
	a.held.Shrink(int64(len(next.Raw)))
	wake(a.room)
	return next, true, nil
}

// cutOff ends the writing to a caller for whom the runner would have to wait longer.
func (a *ahead) cutOff() error {
	forwarder := a.exchange.forwarder
	event.CallerCut.Log(forwarder.Logger).Str("request", string(a.exchange.request.ID)).Dur("held_up_ms", a.heldUp).Send()
	forwarder.Held.NoteCut()
	a.place.cut = true
	a.place.end()
	a.exchange.writer.Until(a.place.now().Add(-time.Second))
	return fmt.Errorf("%w: it reads too slowly", errCallerGone)
}

func (a *ahead) end(err error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.ended = err
	wake(a.more)
}

// wake leaves a word for a goroutine that waits for one, now or later.
func wake(waiting chan<- struct{}) {
	select {
	case waiting <- struct{}{}:
	default:
	}
}
