package endwatch

import (
	"errors"

	"mallowlatch.example/mallowlatch/internal/connpool"
	"mallowlatch.example/mallowlatch/internal/work"
)

// verdict says what is known of a runner whose answers broke off.
type verdict uint8

const (
	// unknown: it was not reached. It may be cut off, silent or gone.
	unknown verdict = iota
	// lives: the same incarnation answered, so that only its connections or answers were at fault.
	lives
	// ended: its process is gone, or another incarnation has its address.
	ended
)

// judge reads the answer to a question that was sent to a runner after its answers broke off. Only a machine that says itself
// that nobody listens, or another incarnation, proves an end: what cannot be reached may live behind a cut.
func judge(err error) verdict {
	switch {
	case err == nil:
		return lives
	case errors.Is(err, connpool.ErrNobodyListens), errors.Is(err, work.ErrOtherIncarnation):
		return ended
	}
	return unknown
}
