package online

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"mallowlatch.example/mallowlatch/internal/eventstream"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/heldbytes"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// errCallerGone means that the caller does not read any more.
	errCallerGone = failure.Kind("online: caller is gone")
	// errUnprovenEnd means that a stream ended without proof that it is whole.
	errUnprovenEnd = failure.Kind("online: stream ended without its last piece")
	// errOutOfOrder means that an event does not follow the one before.
	errOutOfOrder = failure.Kind("online: event out of order")
)

// relay passes an answer on as it comes.
func (e *exchange) relay(flight *runnertable.Flight, reply *work.Reply, guard *silenceGuard) error {
	if isStream(reply) {
		return e.relayEvents(reply, guard)
	}
	guard.stop()
	return e.relayBody(flight, reply)
}

// isStream says whether an answer is a series of events.
func isStream(reply *work.Reply) bool {
	return reply.Head.Status == http.StatusOK && strings.HasPrefix(reply.Head.Headers.Get("Content-Type"), "text/event-stream")
}

// relayBody passes a whole body on. It is read before the head is sent where it has no length, so that a body cut
// short is never taken for a whole one. The error wraps heldbytes.ErrOver where the node has no room for it.
func (e *exchange) relayBody(flight *runnertable.Flight, reply *work.Reply) error {
	held, err := e.forwarder.Held.Reserve(heldbytes.Answer, e.whose(), min(max(reply.Length, 0), maximumBodyBytes))
	if err != nil {
		return fmt.Errorf("keeping the runner's answer: %w", err)
	}
	defer held.Release()
	body, err := ReadHeld(io.LimitReader(reply.Body, maximumBodyBytes+1), held, min(max(reply.Length, 0), maximumBodyBytes))
	if err != nil {
		return fmt.Errorf("reading the runner's answer: %w", err)
	}
	if len(body) > maximumBodyBytes {
		return fmt.Errorf("%w: body over %d bytes", errUnsound, maximumBodyBytes)
	}
	e.place.free()
	if !erred(reply) {
		flight.Began(e.forwarder.Now())
		e.noteAnswered()
	}
	if err := e.begin(reply.Head, int64(len(body))); err != nil {
		return err
	}
	return e.write(body)
}

// maximumBodyBytes bounds an answer that is not a stream.
const maximumBodyBytes = 8 << 20

// whose names for whom the node holds the request and its answer.
func (e *exchange) whose() heldbytes.Whose {
	return heldbytes.Whose{Tenant: e.request.Tenant, Connection: e.request.Connection}
}

// relayEvents passes whole events on. The head goes out with the first event: until then another runner can still be
// asked from the start.
func (e *exchange) relayEvents(reply *work.Reply, guard *silenceGuard) error {
	source := e.readAhead(eventstream.NewReader(reply.Body), guard)
	defer source.close()
	for first := true; ; first = false {
		next, err := source.next(first)
		if errors.Is(err, io.EOF) {
			return e.streamEnded(reply)
		}
		if err != nil {
			return fmt.Errorf("reading the runner's stream: %w", err)
		}
		if first {
			e.noteAnswered()
		}
		if err := source.write(func() error { return e.passOn(next, reply) }); err != nil {
			return err
		}
	}
}

// passOn sends one event that follows the last one.
func (e *exchange) passOn(next eventstream.Event, reply *work.Reply) error {
	if next.HasID {
		if next.ID <= e.lastEvent || (e.lastEvent > 0 && next.ID != e.lastEvent+1) {
			return fmt.Errorf("%w: %d after %d", errOutOfOrder, next.ID, e.lastEvent)
		}
	}
	if err := e.begin(reply.Head, -1); err != nil {
		return err
	}
	if err := e.write(next.Raw); err != nil {
		return err
	}
	if next.HasID {
		e.lastEvent = next.ID
	}
	return nil
}

// streamEnded decides whether an end without error is the end of the whole stream.
func (e *exchange) streamEnded(reply *work.Reply) error {
	if !reply.Framed {
		return errUnprovenEnd
	}
	return e.begin(reply.Head, -1)
}

// begin sends the head once: a resumed answer keeps the head of its first runner.
func (e *exchange) begin(head work.Head, length int64) error {
	if e.begun {
		return nil
	}
	e.begun = true
	if err := e.writer.Begin(head, length); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	return nil
}

func (e *exchange) write(bytes []byte) error {
	if err := e.writer.Write(bytes); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	return nil
}
