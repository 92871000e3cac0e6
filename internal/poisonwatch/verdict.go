package poisonwatch

import (
	"errors"

	"mallowlatch.example/mallowlatch/internal/connpool"
	"mallowlatch.example/mallowlatch/internal/work"
)

// verdict is what is known of a runner whose answers broke off.
type verdict uint8

const (
	// unknown: the runner was not reached. It may be partitioned, unresponsive or gone.
	unknown verdict = iota
	// alive: the same incarnation answered, so only its connections or answers failed.
	alive
	// ended: its process is gone, or another incarnation has its address.
	ended
)

// classify returns the verdict for the result of a probe sent to a runner after its answers broke off. Only a machine
// that refuses the connection, or another incarnation, proves an end: a runner that cannot be reached may be alive behind
// a partition.
func classify(err error) verdict {
	switch {
	case err == nil:
		return alive
	case errors.Is(err, connpool.ErrConnectionRefused), errors.Is(err, work.ErrOtherIncarnation):
		return ended
	}
	return unknown
}
