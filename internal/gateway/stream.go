package gateway

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"os"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/outcome"
)

var (
	eventPrefix = []byte("data: ")
	eventEnd    = []byte("\n\n")
	eventDone   = []byte("data: [DONE]\n\n")
)

const errTruncated = failure.Kind("gateway: the dispatcher ended without a final chunk")

// streamAnswer relays an answer as server-sent events. The status line is sent with the first chunk, so that a request
// that fails before it gets a plain error answer. A failure after it becomes a last event with the error object, and
// no [DONE]: a caller can never take a part for the whole.
func (e *exchange) streamAnswer(ctx context.Context, decoded *inference.Request) error {
	sink := &streamSink{exchange: e, timing: e.gateway.metrics.timing(e)}
	err := e.dispatch(ctx, decoded, sink, &sink.finisher, sink.fail)
	switch {
	case errors.Is(err, errAnswered):
		return nil
	case err != nil && !e.began:
		return err
	case err != nil:
		failed := failure.As(err)
		e.note(failed)
		sink.fail(failed)
		return nil
	case !sink.complete:
		failed := failure.New(failure.CodeStreamInterrupted, "the answer was cut short").WithCause(errTruncated).WithOutcome(outcome.Ran)
		e.note(failed)
		sink.fail(failed)
		return nil
	}
	return sink.done()
}

// streamSink writes each chunk as one event and flushes it, or leaves it in the connection's buffer for those that
// follow at once. It holds no chunk: a caller that does not read holds up its own stream, until the write deadline ends
// it.
type streamSink struct {
	finisher
	exchange *exchange
	timing   timing
	complete bool
}

// Chunk implements Sink.
func (s *streamSink) Chunk(chunk inference.Chunk) error { return s.take(chunk, false) }

// Buffer implements answer.BufferedSink. The first event goes out at once all the same.
func (s *streamSink) Buffer(chunk inference.Chunk) error { return s.take(chunk, true) }

// Flush implements answer.BufferedSink.
func (s *streamSink) Flush() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.final {
		return errAnswered
	}
	if err := s.exchange.flush(); err != nil {
		return s.callerFailed(err)
	}
	return nil
}

// take writes a chunk; mayKeep leaves it unsent unless it is the first.
func (s *streamSink) take(chunk inference.Chunk, mayKeep bool) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.final {
		return errAnswered
	}
	flush := !mayKeep || !s.exchange.began
	s.begin()
	if err := s.writeEvent(chunk.Data, flush); err != nil {
		return s.callerFailed(err)
	}
	s.timing.chunk(chunk.Tokens)
	s.complete = chunk.Final
	return nil
}

// begin sends the status line with the first event.
func (s *streamSink) begin() {
	if s.exchange.began {
		return
	}
	header := s.exchange.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set("X-Accel-Buffering", "no")
	s.exchange.WriteHeader(http.StatusOK)
}

// writeEvent writes one event, and flushes it if asked to: the pieces go straight into the connection's buffer.
func (s *streamSink) writeEvent(data []byte, flush bool) error {
	if bytes.IndexByte(data, '\n') >= 0 || bytes.IndexByte(data, '\r') >= 0 {
		data = oneLine(data)
	}
	response := s.exchange.response
	s.exchange.extendWriteDeadline()
	if _, err := response.Write(eventPrefix); err != nil {
		return err
	}
	if err := s.exchange.writePieces(data); err != nil {
		return err
	}
	if _, err := response.Write(eventEnd); err != nil || !flush {
		return err
	}
	return s.exchange.flush()
}

// oneLine replaces line breaks, which in JSON can only be white space and would end the event's line.
func oneLine(data []byte) []byte {
	return bytes.Map(func(character rune) rune {
		if character == '\n' || character == '\r' {
			return ' '
		}
		return character
	}, data)
}

// callerFailed ends the stream of a caller that cannot be written to.
func (s *streamSink) callerFailed(err error) error {
	s.final = true
	s.exchange.callerFailed(err)
	return err
}

// fail ends the stream with an error: as a plain answer if nothing was sent, else as the last event.
func (s *streamSink) fail(failed *failure.Error) {
	if !s.exchange.began {
		s.exchange.answerFailure(failed)
		return
	}
	if err := s.writeEvent(newEnvelope(failed).encode(), true); err != nil {
		s.exchange.callerFailed(err)
	}
}

// done marks the answer whole.
func (s *streamSink) done() error {
	s.exchange.extendWriteDeadline()
	_, err := s.exchange.response.Write(eventDone)
	if err == nil {
		err = s.exchange.flush()
	}
	if err != nil {
		s.exchange.callerFailed(err)
	}
	return nil
}

// callerFailed notes that an answer could not be written: the caller is gone, or too slow.
func (e *exchange) callerFailed(err error) {
	e.code = failure.CodeCancelled
	e.gateway.metrics.callersFailed.Inc()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		event.CallerSlow.Log(e.gateway.options.Logger).Str("request", string(e.id)).Str("tenant", string(e.key.Tenant)).Err(err).Send()
	}
}
