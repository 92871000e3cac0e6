package online

import (
	"io"
	"math/rand/v2"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/heldbytes"
)

// NoRoom is the answer to what the node cannot hold beside all else. It has not run.
func NoRoom(err error) *failure.Error {
	return failure.New(failure.CodeOverloaded, "the node holds as much as it can").WithCause(err).
		WithRetryAfter(heldbytes.ReturnAfter(rand.Float64()))
}

// firstBodyStep is the first buffer of a body that does not tell its length, in bytes.
const firstBodyStep = 8 << 10

// ReadHeld reads a body whole. Its length is reserved already, zero where it is not known; each further step of the buffer is reserved
// before it is made. The error wraps heldbytes.ErrOver where one does not fit.
func ReadHeld(source io.Reader, held *heldbytes.Held, length int64) ([]byte, error) {
	// One byte more shows the end without another step.
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
		step := max(cap(body), firstBodyStep)
		if err := held.Grow(int64(step)); err != nil {
			return nil, err
		}
		body = append(make([]byte, 0, cap(body)+step), body...)
	}
}
