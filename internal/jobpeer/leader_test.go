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

// heldConn blocks each call until its context ends.
type heldConn struct{ drpc.Conn }

func (heldConn) Invoke(ctx context.Context, _ string, _ drpc.Encoding, _, _ drpc.Message) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestNewReaderCancelsItsCall makes a worker the reader while it calls another worker: it must cancel the call,
// because the other workers wait for it.
func TestNewReaderCancelsItsCall(t *testing.T) {
	var reads atomic.Bool
	source := &jobpeer.LeaderFeed{
		Reader:   func(func(string) bool) (string, bool) { return "a", !reads.Load() },
		Eligible: reads.Load,
		Connect:  func(string) (drpc.Conn, error) { return heldConn{}, nil }, Now: time.Now,
	}
	ended := make(chan error, 1)
	go func() {
		_, err := source.Next(context.Background(), &fleetfeed.SnapshotRequest{})
		ended <- err
	}()
	for range 20 {
		source.Changed()
		time.Sleep(5 * time.Millisecond)
	}
	select {
	case err := <-ended:
		t.Fatalf("call cancelled although another worker reads: %v", err)
	default:
	}
	reads.Store(true)
	source.Changed()
	assert.ErrorIs(t, <-ended, follower.ErrNoSource)
}
