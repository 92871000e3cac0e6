package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
)

const (
	// firstBodyBytes is reserved for a body of unstated length; it doubles as the body grows.
	firstBodyBytes = 16 << 10
)

// heldBody is a request body in memory, counted against the node's budget until release.
type heldBody struct {
	content []byte
	held    int64
	budget  *byteBudget
}

func (b *heldBody) release() { b.budget.give(b.held) }

// readBody reads the whole body within the limits of size, time and memory. The caller must release it.
func (e *exchange) readBody() (*heldBody, error) {
	limit := e.gateway.limits.BodyBytes
	if e.request.ContentLength > limit {
		return nil, bodyFailure(&http.MaxBytesError{Limit: limit})
	}
	_ = e.control.SetReadDeadline(time.Now().Add(e.gateway.limits.BodyTimeout))
	body := &heldBody{budget: &e.gateway.buffered}
	if err := body.read(http.MaxBytesReader(e.response, e.request.Body, limit), e.request.ContentLength, limit); err != nil {
		body.release()
		return nil, err
	}
	// The server takes the deadline back at the end of the body, where it begins to watch for the caller's going.
	return body, nil
}

func (b *heldBody) read(source io.Reader, stated, limit int64) error {
	// One byte more than stated, so that the end is seen without growing.
	size := stated + 1
	if stated < 0 {
		size = min(firstBodyBytes, limit+1)
	}
	if !b.grow(size) {
		return errMemory()
	}
	for {
		if len(b.content) == cap(b.content) && !b.extend(limit) {
			return errMemory()
		}
		count, err := source.Read(b.content[len(b.content):cap(b.content)])
		b.content = b.content[:len(b.content)+count]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return bodyFailure(err)
		}
	}
}

// extend makes room for more, one byte beyond the limit included so that the excess is seen.
func (b *heldBody) extend(limit int64) bool {
	return b.grow(min(max(2*int64(cap(b.content)), firstBodyBytes), limit+1))
}

// grow reserves the budget before it allocates.
func (b *heldBody) grow(size int64) bool {
	more := size - b.held
	if more > 0 && !b.budget.take(more) {
		return false
	}
	b.held += max(more, 0)
	grown := make([]byte, len(b.content), size)
	copy(grown, b.content)
	b.content = grown
	return true
}

func errMemory() error {
	return failure.New(failure.CodeOverloaded, "this node holds as many request bodies as it may").WithRetryAfter(time.Second)
}
