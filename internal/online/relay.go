package online

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"mallowlatch.example/mallowlatch/internal/eventstream"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/memorybudget"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// errCallerGone means that the caller does not read the answer any more.
	errCallerGone = failure.Kind("online: caller does not read the answer")
	// errUnprovenEnd means that a stream ended without proof that it is complete, or was given up as too late.
	errUnprovenEnd = failure.Kind("online: stream not proven complete")
	// errOutOfOrder means that an event does not follow the previous one.
	errOutOfOrder = failure.Kind("online: event out of order")
)

// relay passes an answer on to the caller.
func (e *exchange) relay(flight *runnertable.Flight, reply *work.Reply, guard *silenceGuard) error {
	if isStream(reply) {
		return e.relayEvents(reply, guard)
	}
	guard.stop()
	return e.relayBody(flight, reply)
}

// isStream reports whether an answer is an event stream.
func isStream(reply *work.Reply) bool {
	return reply.Head.Status == http.StatusOK && strings.HasPrefix(reply.Head.Headers.Get("Content-Type"), "text/event-stream")
}

// relayBody relays an answer that is not a stream. The whole body is read before the head is sent, so that a truncated body is
// never taken for a complete one. The error wraps memorybudget.ErrOver if the node lacks the memory for it.
func (e *exchange) relayBody(flight *runnertable.Flight, reply *work.Reply) error {
	held, err := e.forwarder.MemoryBudget.Reserve(memorybudget.Answer, e.memoryOwner(), min(max(reply.Length, 0), maximumBodyBytes))
	if err != nil {
		return fmt.Errorf("reserving memory for the runner's answer: %w", err)
	}
	defer held.Release()
	body, err := ReadBody(io.LimitReader(reply.Body, maximumBodyBytes+1), held, min(max(reply.Length, 0), maximumBodyBytes))
	if err != nil {
		return fmt.Errorf("reading the runner's answer: %w", err)
	}
	if len(body) > maximumBodyBytes {
		return fmt.Errorf("%w: body exceeds %d bytes", errUnverified, maximumBodyBytes)
	}
	e.slot.release()
	if !erred(reply) {
		flight.EventReceived(e.forwarder.Now())
		e.recordFirstEvent()
	}
	if err := e.sendHead(reply.Head, int64(len(body))); err != nil {
		return err
	}
	return e.write(body)
}

// maximumBodyBytes limits an answer that is not a stream.
const maximumBodyBytes = 8 << 20

// memoryOwner returns the owner to whom the memory for the request and its answer is charged.
func (e *exchange) memoryOwner() memorybudget.Whose {
	return memorybudget.Whose{Tenant: e.request.Tenant, Connection: e.request.Connection}
}

// maxHeldComments bounds the comments that are held until a stream's first event, in bytes.
const maxHeldComments = 4 << 10

// errOnlyComments means that a stream begins with more comments than are held.
const errOnlyComments = failure.Kind("online: stream begins with too many comments")

// relayEvents relays whole events. The head, and comments before the first event, are sent with that event: until then another runner can still be
// asked from the start.
func (e *exchange) relayEvents(reply *work.Reply, guard *silenceGuard) error {
	source := e.bufferStream(eventstream.NewReader(reply.Body), guard)
	defer source.close()
	var comments []byte
	for first := true; ; {
		next, err := source.next(first)
		if errors.Is(err, io.EOF) {
			return e.streamEnded(reply, comments, first)
		}
		if err != nil {
			return fmt.Errorf("reading the runner's stream: %w", err)
		}
		if !e.headSent && !next.HasID && next.Data == nil {
			if comments = append(comments, next.Raw...); len(comments) > maxHeldComments {
				return errOnlyComments
			}
			continue
		}
		if first {
			e.recordFirstEvent()
			first = false
		}
		if len(comments) > 0 {
			next.Raw = append(comments, next.Raw...)
			comments = nil
		}
		if err := source.write(func() error { return e.relayEvent(next, reply) }); err != nil {
			return err
		}
	}
}

// relayEvent sends one event after checking that it follows the last one.
func (e *exchange) relayEvent(next eventstream.Event, reply *work.Reply) error {
	if next.HasID {
		if next.ID <= e.lastEvent || (e.lastEvent > 0 && next.ID != e.lastEvent+1) {
			return fmt.Errorf("%w: %d after %d", errOutOfOrder, next.ID, e.lastEvent)
		}
	}
	if !e.headSent {
		e.recordOrigin(e.slot.flight)
	}
	if err := e.sendHead(reply.Head, -1); err != nil {
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

// streamEnded decides whether the end of a body between two events is the end of the whole stream. An answer without a length or chunks ends
// with its connection: it is whole unless nothing came, because a runner that breaks off does so inside an event.
func (e *exchange) streamEnded(reply *work.Reply, comments []byte, empty bool) error {
	if !reply.Framed && empty {
		return errUnprovenEnd
	}
	if err := e.sendHead(reply.Head, -1); err != nil || len(comments) == 0 {
		return err
	}
	return e.write(comments)
}

// sendHead sends the head unless it was sent already: a resumed answer keeps the head of its first runner.
func (e *exchange) sendHead(head work.Head, length int64) error {
	if e.headSent {
		return nil
	}
	e.headSent = true
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
