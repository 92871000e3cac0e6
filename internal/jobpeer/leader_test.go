package jobpeer_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/fleetfeed"
	"mallowlatch.example/mallowlatch/internal/follower"
	"mallowlatch.example/mallowlatch/internal/jobpeer"
)

// heldConn holds each call until it is given up.
type heldConn struct{ drpc.Conn }

func (heldConn) Invoke(ctx context.Context, _ string, _ drpc.Encoding, _, _ drpc.Message) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestWorkerThatIsToReadGivesItsQuestionUp has a worker become the one that reads while it asks another: the others wait for it.
func TestWorkerThatIsToReadGivesItsQuestionUp(t *testing.T) {
	var reads atomic.Bool
	source := &jobpeer.LeaderFeed{
		Reader:  func(func(string) bool) (string, bool) { return "a", !reads.Load() },
		InLine:  reads.Load,
		Connect: func(string) (drpc.Conn, error) { return heldConn{}, nil }, Now: time.Now,
	}
	ended := make(chan error, 1)
	go func() {
		_, err := source.Next(context.Background(), &fleetfeed.Known{})
		ended <- err
	}()
	for range 20 {
		source.Changed()
		time.Sleep(5 * time.Millisecond)
	}
	select {
	case err := <-ended:
		t.Fatalf("given up though another one reads: %v", err)
	default:
	}
	reads.Store(true)
	source.Changed()
	assert.ErrorIs(t, <-ended, follower.ErrReadAlone)
}
