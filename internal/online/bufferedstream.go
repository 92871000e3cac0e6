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
	"mallowlatch.example/mallowlatch/internal/memorybudget"
)

const (
	// lagCheckInterval is the time between two checks whether a write to the caller is blocked. Most streams end before the
	// first check, which costs a wake-up. After a check during a write the next one follows within lagRecheckInterval, and if
	// a write is in progress again the caller is considered slow: to a caller that keeps up a write takes some microseconds.
	// Runners wait some seconds before they cut off an answer that is not read.
	lagCheckInterval   = 250 * time.Millisecond
	lagRecheckInterval = 50 * time.Millisecond
	// minLagCheckGap is the least time between two checks that count as separate observations.
	minLagCheckGap = 10 * time.Millisecond
	// maxBufferedBytes limits the events buffered for a slow caller; a single event may exceed it. It is many times the size
	// of a usual stream, and small enough for hundreds of slow callers to fit into a node's memory budget.
	maxBufferedBytes = 64 << 10
	// maxRunnerBlocked limits the total time for which a caller may block the reading of its stream while nobody else wants
	// the slot. It is below the seconds after which a runner cuts off an answer that is not read.
	maxRunnerBlocked = time.Second
)

// bufferedStream reads the events of a runner's answer. While the caller keeps up, the goroutine that writes to the caller
// also reads from the runner. When a write blocks, another goroutine takes over the reading for the rest of the answer and
// buffers the events, so that a slow caller does not occupy the runner.
type bufferedStream struct {
	exchange *exchange
	slot     *slot
	guard    *silenceGuard
	reader   *eventstream.Reader
	timer    *time.Timer
	// readerState is even while the writer owns the reader, and odd, with a new number each time, during a write. Only the
	// writer increments it. It ends at readerTaken or readerClosed.
	readerState atomic.Uint64
	// writeSince is the time of the first of the consecutive checks that each found a write in progress; zero if the last
	// check found none. checkMutex guards it, because the service's queue checks too.
	checkMutex sync.Mutex
	writeSince time.Time
	// detached is set once the reader was taken; only the writer accesses it.
	detached bool
	// done is closed when the reading goroutine has ended. eventReady wakes the writer and spaceFree the reading goroutine;
	// each buffers one signal. They are made when the reader is taken.
	done, eventReady, spaceFree chan struct{}
	// blocked is how long the reading has waited for the caller; only the reading goroutine accesses it.
	blocked time.Duration
	// lastRead is when the last event was read; whoever owns the reader owns it.
	lastRead time.Time

	mutex  sync.Mutex
	events []eventstream.Event
	// bytes is the total size of the buffered events, for which the reservation holds memory.
	bytes       int64
	reservation *memorybudget.Held
	// endError is why the reading ended; io.EOF at the end of the answer.
	endError error
}

const (
	// readerTaken is the state once another goroutine owns the reader, readerClosed the state after the answer.
	readerTaken  = math.MaxUint64
	readerClosed = math.MaxUint64 - 1
)

// bufferStream starts reading the events of an answer.
func (e *exchange) bufferStream(reader *eventstream.Reader, guard *silenceGuard) *bufferedStream {
	stream := &bufferedStream{exchange: e, slot: e.slot, guard: guard, reader: reader}
	// The long first interval ensures that the field is set before the timer fires for the first time.
	stream.timer = time.AfterFunc(time.Hour, stream.checkLag)
	stream.timer.Reset(lagCheckInterval)
	e.queue.addStream(stream)
	return stream
}

// next returns the next event of the answer. Its bytes are valid until the next call.
func (s *bufferedStream) next(first bool) (eventstream.Event, error) {
	if s.detached {
		return s.dequeue()
	}
	return s.read(first)
}

// write calls a function that writes to the caller. The reader may be taken during the call.
func (s *bufferedStream) write(send func() error) error {
	if s.detached {
		return send()
	}
	readerState := s.readerState.Add(1)
	err := send()
	s.detached = !s.readerState.CompareAndSwap(readerState, readerState+1)
	return err
}

// close ends the reading.
func (s *bufferedStream) close() {
	last := s.readerState.Swap(readerClosed)
	s.timer.Stop()
	s.exchange.queue.removeStream(s)
	if last != readerTaken {
		return
	}
	s.slot.abort()
	<-s.done
	s.reservation.Release()
}

// read returns the runner's next event, and records that the runner has begun to answer. The guard runs only during this call,
// so that it measures the runner and not the caller.
func (s *bufferedStream) read(first bool) (eventstream.Event, error) {
	if !first {
		s.guard.watchPause()
	}
	next, err := s.reader.Next()
	s.guard.stop()
	if err != nil {
		return next, err
	}
	if s.guard.fired() {
		return next, fmt.Errorf("%w: event arrived after the time-out", errUnprovenEnd)
	}
	s.lastRead = s.slot.now()
	s.slot.flight.EventReceived(s.lastRead)
	return next, nil
}

// checkLag takes over the reading if the caller is slow, and schedules the next check otherwise.
func (s *bufferedStream) checkLag() {
	if s.takeReader() {
		s.readRest()
		return
	}
	if s.readerState.Load() < readerClosed {
		s.timer.Reset(s.nextCheckDelay())
	}
}

// checkLagNow checks between two ticks of the timer. It does not block.
func (s *bufferedStream) checkLagNow() {
	if s.takeReader() {
		go s.readRest()
	}
}

// takeReader takes the reader if a write is in progress now and was at the last check. A caller that gets true must read the
// rest of the answer.
func (s *bufferedStream) takeReader() bool {
	s.checkMutex.Lock()
	defer s.checkMutex.Unlock()
	readerState, now := s.readerState.Load(), s.slot.now()
	switch {
	case readerState >= readerClosed:
		return false
	case readerState%2 == 0:
		s.writeSince = time.Time{}
		return false
	case s.writeSince.IsZero():
		s.writeSince = now
		return false
	case now.Sub(s.writeSince) < minLagCheckGap:
		return false
	}
	s.done, s.eventReady, s.spaceFree = make(chan struct{}), make(chan struct{}, 1), make(chan struct{}, 1)
	taken := s.readerState.CompareAndSwap(readerState, readerTaken)
	s.writeSince = time.Time{}
	return taken
}

func (s *bufferedStream) nextCheckDelay() time.Duration {
	s.checkMutex.Lock()
	defer s.checkMutex.Unlock()
	if s.writeSince.IsZero() {
		return lagCheckInterval
	}
	return lagRecheckInterval
}

// readRest reads the rest of the answer into the buffer while the writer sends buffered events to the caller.
func (s *bufferedStream) readRest() {
	defer close(s.done)
	defer s.slot.release()
	s.slot.unreadFor = s.slot.now().Sub(s.lastRead)
	// The writer still uses the bytes of the last event.
	s.reader.Keep()
	s.reservation = s.exchange.forwarder.MemoryBudget.Open(memorybudget.Answer, s.exchange.memoryOwner())
	for {
		next, err := s.read(false)
		if err == nil {
			next.Raw, next.Data = slices.Clone(next.Raw), nil
			err = s.enqueue(next)
		}
		if err != nil {
			s.endReading(err)
			return
		}
	}
}

// enqueue buffers an event for the writer once there is space. The error wraps errCallerGone if the caller is cut off.
func (s *bufferedStream) enqueue(next eventstream.Event) error {
	for !s.tryEnqueue(next) {
		if s.blocked >= maxRunnerBlocked {
			return s.cutCaller()
		}
		if err := s.awaitSpace(); err != nil {
			return err
		}
	}
	return nil
}

// awaitSpace waits until there may be space in the buffer. The error wraps errCallerGone if the slot is needed for other
// requests.
func (s *bufferedStream) awaitSpace() error {
	queue, began := s.exchange.queue, s.slot.now()
	runner := queue.beginBlocked(began.Add(-s.blocked))
	defer queue.endBlocked(runner)
	// Memory reserved for other callers may be released without a signal to this stream, so it retries after a short while.
	recheck := time.NewTimer(min(maxRunnerBlocked-s.blocked, lagRecheckInterval))
	defer recheck.Stop()
	select {
	case <-s.spaceFree:
	case <-recheck.C:
	case <-runner.cut:
		s.addBlocked(began)
		return s.cutCaller()
	case <-s.slot.ctx.Done():
		return s.slot.ctx.Err()
	}
	s.addBlocked(began)
	return nil
}

func (s *bufferedStream) addBlocked(since time.Time) {
	lasted := s.slot.now().Sub(since)
	s.blocked += lasted
	s.slot.unreadFor += lasted
}

// tryEnqueue buffers an event if there is space. An empty buffer accepts an event of any size, as far as the node's memory
// budget allows.
func (s *bufferedStream) tryEnqueue(next eventstream.Event) bool {
	size := int64(len(next.Raw))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.bytes > 0 && s.bytes+size > maxBufferedBytes {
		return false
	}
	if s.reservation.Grow(size) != nil {
		return false
	}
	s.events = append(s.events, next)
	s.bytes += size
	notify(s.eventReady)
	return true
}

// dequeue waits for the first buffered event and returns it, or the error that ended the reading.
func (s *bufferedStream) dequeue() (eventstream.Event, error) {
	for {
		if next, found, err := s.tryDequeue(); found {
			return next, err
		}
		<-s.eventReady
	}
}

// tryDequeue removes the first buffered event. If there is none, found is true once the reading has ended, and err is why.
func (s *bufferedStream) tryDequeue() (next eventstream.Event, found bool, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.events) == 0 {
		return next, s.endError != nil, s.endError
	}
	next = s.events[0]
	s.events = s.events[1:]
	s.bytes -= int64(len(next.Raw))
	s.reservation.Shrink(int64(len(next.Raw)))
	notify(s.spaceFree)
	return next, true, nil
}

// cutCaller ends the answer to a caller for which the runner would have to wait longer.
func (s *bufferedStream) cutCaller() error {
	forwarder := s.exchange.forwarder
	event.CallerCut.Log(forwarder.Logger).Str("request", string(s.exchange.request.ID)).Dur("held_up_ms", s.blocked).Send()
	forwarder.MemoryBudget.CountDisconnected()
	s.slot.callerCut = true
	s.slot.abort()
	s.exchange.writer.Until(s.slot.now().Add(-time.Second))
	return fmt.Errorf("%w: cut off for reading too slowly", errCallerGone)
}

func (s *bufferedStream) endReading(err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.endError = err
	notify(s.eventReady)
}

// notify buffers one signal for a goroutine that waits for it now or later.
func notify(waiting chan<- struct{}) {
	select {
	case waiting <- struct{}{}:
	default:
	}
}
