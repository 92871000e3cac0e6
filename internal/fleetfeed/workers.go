package fleetfeed

import (
	"context"
	"fmt"

	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/jsoncall"
)

// WorkersRequest requests the workers that a node knows, and nothing else. A node that starts asks this of a seed, and then asks
// one of the workers for its first snapshot: a snapshot for each starting node would take the link of the few seeds for seconds.
type WorkersRequest struct{}

// WorkersAnswer holds the workers last seen by the answering node.
type WorkersAnswer struct {
	Workers []Worker `json:"workers,omitempty"`
}

// KnownWorkers answers at once, also before the feed has a reading.
func (f *Feed) KnownWorkers(context.Context, *WorkersRequest) (*WorkersAnswer, error) {
	if f.Workers == nil {
		return &WorkersAnswer{}, nil
	}
	return &WorkersAnswer{Workers: f.Workers()}, nil
}

// FetchWorkers requests the workers that the node behind a connection knows. A node of an older build answers with an error.
func FetchWorkers(ctx context.Context, connection drpc.Conn) ([]Worker, error) {
	answer := &WorkersAnswer{}
	if err := connection.Invoke(ctx, methodWorkers, jsoncall.Encoding{}, &WorkersRequest{}, answer); err != nil {
		return nil, fmt.Errorf("asking a feed for the workers: %w", err)
	}
	return answer.Workers, nil
}

func receiveWorkers(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
	return server.(Server).KnownWorkers(ctx, in.(*WorkersRequest))
}
