package online

import (
	"io"
	"math/rand/v2"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/memorybudget"
)

// OutOfMemory returns the error for a request that exceeds the node's free memory. The request has not run.
func OutOfMemory(err error) *failure.Error {
	return failure.New(failure.CodeOverloaded, "the node holds as much as it can").WithCause(err).
		WithRetryAfter(memorybudget.RetryAfter(rand.Float64()))
}

// initialBodyBuffer is the size of the first buffer, in bytes, for a body of unknown length.
const initialBodyBuffer = 8 << 10

// ReadBody reads a whole body. The given length, zero if unknown, is reserved already; each growth of the buffer is reserved
// before it is allocated. The error wraps memorybudget.ErrBudgetExceeded if a reservation fails.
func ReadBody(source io.Reader, held *memorybudget.Held, length int64) ([]byte, error) {
	// One extra byte lets the read of EOF succeed without growing the buffer.
	body := make([]byte, 0, length+1)
	for {
		count, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		if len(body) < cap(body) {
			continue
		}
		step := max(cap(body), initialBodyBuffer)
		if err := held.Grow(int64(step)); err != nil {
			return nil, err
		}
		body = append(make([]byte, 0, cap(body)+step), body...)
	}
}
