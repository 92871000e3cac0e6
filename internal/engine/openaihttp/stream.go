package openaihttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/inference"
)

const (
	// drainTimeout bounds the wait for the end of a finished answer, after which its connection is not reused.
	drainTimeout = 50 * time.Millisecond
	// drainLimit bounds what is read after the final chunk, in bytes.
	drainLimit = 4 << 10
)

// stream reads the answer to one call. It implements engine.Stream and is used by one goroutine at a time, but Close
// may be called from any.
type stream struct {
	body   io.ReadCloser
	cancel context.CancelFunc
	// decoder reads body.
	decoder *decoder
	// offset is the number of tokens read so far: the offset of a chunk without an id.
	offset   int
	finished atomic.Bool
}

func newStream(body io.ReadCloser, cancel context.CancelFunc, offset int) *stream {
	return &stream{body: body, cancel: cancel, decoder: newDecoder(body), offset: offset}
}

var (
	doneMark   = []byte("[DONE]")
	finishMark = []byte(`"finish_reason":`)
	errorMark  = []byte(`{"error"`)
)

// finalChunk is what is read of the last chunk alone.
type finalChunk struct {
	Choices []struct {
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *inference.Usage `json:"usage"`
}

// Next returns the next chunk, io.EOF after the final one, or an error that wraps engine.ErrBroken.
func (s *stream) Next() (inference.Chunk, error) {
	if s.finished.Load() {
		return inference.Chunk{}, io.EOF
	}
	event, err := s.decoder.next()
	if err != nil {
		return inference.Chunk{}, broken("reading stream", err)
	}
	if bytes.Equal(event.data, doneMark) {
		return inference.Chunk{}, fmt.Errorf("%w: end without a final chunk", engine.ErrBroken)
	}
	if bytes.HasPrefix(event.data, errorMark) {
		return inference.Chunk{}, fmt.Errorf("%w: error in the stream: %.200s", engine.ErrBroken, event.data)
	}
	return s.chunk(event)
}

// Ready implements engine.ReadyStream: it reports whether a whole event was received and not yet read.
func (s *stream) Ready() bool { return !s.finished.Load() && s.decoder.ready() }

func (s *stream) chunk(event lineEvent) (inference.Chunk, error) {
	offset, tokens, err := parseID(event.id, s.offset)
	if err != nil {
		return inference.Chunk{}, err
	}
	chunk := inference.Chunk{Offset: offset, Tokens: tokens, Data: event.data}
	if hasFinishReason(event.data) {
		if err := s.finish(&chunk); err != nil {
			return inference.Chunk{}, err
		}
	}
	s.offset = chunk.Offset + chunk.Tokens
	return chunk, nil
}

// finish decodes the last chunk. Its number of tokens follows from the usage.
func (s *stream) finish(chunk *inference.Chunk) error {
	var final finalChunk
	if err := json.Unmarshal(chunk.Data, &final); err != nil {
		return broken("reading final chunk", err)
	}
	if len(final.Choices) == 0 || final.Choices[0].FinishReason == nil {
		return nil
	}
	s.finished.Store(true)
	chunk.Final = true
	chunk.FinishReason = *final.Choices[0].FinishReason
	chunk.Tokens = 0
	if final.Usage != nil {
		chunk.Usage = *final.Usage
		chunk.Tokens = final.Usage.CompletionTokens - chunk.Offset
	}
	if chunk.Tokens < 0 {
		return fmt.Errorf("%w: final chunk at offset %d of %d tokens", engine.ErrBroken, chunk.Offset, chunk.Usage.CompletionTokens)
	}
	return nil
}

// hasFinishReason says whether a finish reason that is not null stands in the chunk. Within a JSON string every quote
// is escaped, so that the mark cannot be part of the answer's text.
func hasFinishReason(data []byte) bool {
	index := bytes.Index(data, finishMark)
	if index < 0 {
		return false
	}
	rest := bytes.TrimLeft(data[index+len(finishMark):], " \t")
	return len(rest) > 0 && rest[0] == '"'
}

// parseID reads "offset" or "offset+tokens". Without an id the chunk is one token that follows the last.
func parseID(id []byte, follows int) (offset, tokens int, err error) {
	if len(id) == 0 {
		return follows, 1, nil
	}
	offset, rest, ok := leadingNumber(id)
	if ok && len(rest) == 0 {
		return offset, 1, nil
	}
	if !ok || rest[0] != '+' {
		return 0, 0, fmt.Errorf("%w: bad event id %.40q", engine.ErrBroken, id)
	}
	tokens, rest, ok = leadingNumber(rest[1:])
	if !ok || len(rest) > 0 {
		return 0, 0, fmt.Errorf("%w: bad event id %.40q", engine.ErrBroken, id)
	}
	return offset, tokens, nil
}

// maxDigits keeps a number of tokens far from overflow.
const maxDigits = 9

func leadingNumber(text []byte) (number int, rest []byte, ok bool) {
	digits := 0
	for digits < len(text) && text[digits] >= '0' && text[digits] <= '9' {
		number = number*10 + int(text[digits]-'0')
		digits++
		if digits > maxDigits {
			return 0, text, false
		}
	}
	return number, text[digits:], digits > 0
}

// Close releases the connection, for reuse if the answer is finished. It does not abort the request on the engine.
func (s *stream) Close() error {
	defer s.cancel()
	if s.finished.Load() {
		timer := time.AfterFunc(drainTimeout, s.cancel)
		defer timer.Stop()
		_, _ = io.CopyN(io.Discard, s.body, drainLimit)
	}
	if err := s.body.Close(); err != nil {
		return fmt.Errorf("closing stream: %w", err)
	}
	return nil
}

func broken(doing string, err error) error {
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("%s: %w: %w", doing, engine.ErrBroken, err)
}
