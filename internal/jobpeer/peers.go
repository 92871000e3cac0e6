package jobpeer

import (
	"context"
	"fmt"
	"time"

	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jsoncall"
	"mallowlatch.example/mallowlatch/internal/lending"
	"mallowlatch.example/mallowlatch/internal/progress"
)

// Peers makes the calls between workers. It implements jobworker.Mirrors, jobworker.Lenders, jobworker.Readers and
// jobworker.Accounts.
type Peers struct {
	Connect func(address string) (drpc.Conn, error)
	Now     func() time.Time
}

// Send implements jobworker.Mirrors.
func (p *Peers) Send(ctx context.Context, address string, updates []progress.Update) ([]ident.Request, error) {
	reply := &MirrorReply{}
	err := p.call(ctx, address, methodMirror, &MirrorRequest{Updates: updates}, reply)
	return reply.Gaps, err
}

// Fetch implements jobworker.Mirrors.
func (p *Peers) Fetch(ctx context.Context, address string, job ident.Job) ([]progress.Output, error) {
	reply := &RecallReply{}
	err := p.call(ctx, address, methodRecall, &RecallQuery{Job: job}, reply)
	return reply.Outputs, err
}

// Borrow implements jobworker.Lenders.
func (p *Peers) Borrow(ctx context.Context, address string, request *lending.Request) (*lending.Reply, error) {
	reply := &lending.Reply{}
	err := p.call(ctx, address, methodLend, request, reply)
	return reply, err
}

// Recall implements jobworker.Lenders.
func (p *Peers) Recall(ctx context.Context, address string, recall lending.Recall) error {
	return p.call(ctx, address, methodTakeBack, &recall, &TakeBackReply{})
}

func (p *Peers) call(ctx context.Context, address, method string, in, out any) error {
	connection, err := p.Connect(address)
	if err == nil {
		err = connection.Invoke(ctx, method, jsoncall.Encoding{}, in, out)
	}
	if err != nil {
		return fmt.Errorf("calling worker at %s: %w", address, err)
	}
	return nil
}
