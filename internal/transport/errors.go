package transport

import (
	"context"
	"errors"
	"fmt"
	"io"

	"storj.io/drpc/drpcerr"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// Codes of drpc errors on the wire. An error with a code was returned by the peer; an error without one
// comes from the connection.
const (
	codeRemote  uint64 = 1
	codeRefused uint64 = 2
)

func isAny(err error, kinds ...failure.Kind) bool {
	for _, kind := range kinds {
		if errors.Is(err, kind) {
			return true
		}
	}
	return false
}

// withCode ensures that a handler's error has a code, so that the client can see that the call ran.
func withCode(err error) error {
	if err == nil || drpcerr.Code(err) != 0 {
		return err
	}
	return drpcerr.WithCode(err, codeRemote)
}

// classify wraps an error of a drpc call in its failure kind. drpc reports a lost connection as io.EOF or
// context.Canceled. Neither may reach the caller, who would take it for the end of the stream or its own cancellation.
func classify(ctx context.Context, err error) error {
	if err == nil || err == io.EOF {
		return err
	}
	switch drpcerr.Code(err) {
	case 0:
		if ctx.Err() != nil {
			return fmt.Errorf("%w: %w", ErrBroken, ctx.Err())
		}
		return fmt.Errorf("%w: %s", ErrBroken, err.Error())
	case codeRefused:
		return fmt.Errorf("%w", ErrRefused)
	default:
		return fmt.Errorf("%w: %w", ErrRemote, err)
	}
}
