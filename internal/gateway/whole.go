package gateway

import (
	"context"
	"errors"
	"strconv"

	"mallowlatch.example/mallowlatch/internal/dispatch/answer"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/ledger"
	"mallowlatch.example/mallowlatch/internal/outcome"
)

// wholeAnswer joins an answer and sends it at once.
func (e *exchange) wholeAnswer(ctx context.Context, decoded *inference.Request) error {
	sink := &wholeSink{aggregate: answer.NewAggregate(decoded.Endpoint), timing: e.gateway.metrics.timing(e)}
	err := e.dispatch(ctx, decoded, sink, &sink.finisher, e.answerFailure)
	if errors.Is(err, errAnswered) {
		return nil
	}
	if err != nil {
		return err
	}
	whole, err := sink.aggregate.Answer()
	if err != nil {
		return failure.New(failure.CodeStreamInterrupted, "the answer was cut short").WithCause(err).WithOutcome(outcome.Ran)
	}
	e.writeJSON(whole.Status, whole.Body)
	return nil
}

// wholeSink keeps an answer until it is whole. It passes nothing on, so the dispatcher may start over.
type wholeSink struct {
	finisher
	aggregate *answer.Aggregate
	timing    timing
}

// Chunk implements Sink.
func (s *wholeSink) Chunk(chunk inference.Chunk) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.final {
		return errAnswered
	}
	s.timing.chunk(chunk.Tokens)
	return s.aggregate.Chunk(chunk)
}

// Stored takes a stored whole answer in place of chunks.
func (s *wholeSink) Stored(stored ledger.Answer) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.final {
		return errAnswered
	}
	return s.aggregate.Stored(stored)
}

// Reset forgets every chunk received so far, and reports whether it could.
func (s *wholeSink) Reset() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.final && s.aggregate.Reset()
}

// writeJSON answers with a JSON object.
func (e *exchange) writeJSON(status int, body []byte) {
	e.Header().Set("Content-Type", "application/json")
	e.Header().Set("Content-Length", strconv.Itoa(len(body)))
	e.WriteHeader(status)
	err := e.writePieces(body)
	if err == nil {
		err = e.flush()
	}
	if err != nil {
		e.callerFailed(err)
	}
}

// pieceBytes is what a caller must take within one write deadline: a long answer over a weak link only has to move on.
const pieceBytes = 64 << 10

// writePieces writes the content, giving each piece a deadline of its own.
func (e *exchange) writePieces(content []byte) error {
	for len(content) > 0 {
		e.extendWriteDeadline()
		count, err := e.Write(content[:min(pieceBytes, len(content))])
		if err != nil {
			return err
		}
		content = content[count:]
	}
	return nil
}
