package work

import (
	"context"
	"io"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// Attempt is one sending of a request to one runner.
type Attempt struct {
	Request *Request
	Runner  Runner
	// Budget is the time the runner may take.
	Budget time.Duration
	// ResumeAfter is the id of the last event already had; zero asks for the whole answer.
	ResumeAfter int64
}

// Reply is a runner's answer to one attempt. Body must be closed; closing it before its end tells the runner to stop.
type Reply struct {
	Head Head
	// NotRun says that the runner did not and will not run the request.
	NotRun bool
	// Replaced says that the address belongs to another runner, which did not run the request.
	Replaced bool
	// Sealed says that the answer carries the runner's signature, without which a success does not count.
	Sealed bool
	// Encoded says that the body is not the runner's own bytes.
	Encoded bool
	// Framed says that the end of the body is proven by its framing and not only by the end of the connection.
	Framed bool
	// Length is the length of the body, or negative where the answer does not tell.
	Length int64
	Body   io.ReadCloser
}

// ErrOtherIncarnation means that another incarnation answers at the address of the one that was asked, which has ended.
const ErrOtherIncarnation = failure.Kind("work: another incarnation answers")

// Caller sends attempts to runners. Its errors wrap connpool.ErrNotSent or connpool.ErrNoAnswer.
type Caller interface {
	Send(ctx context.Context, attempt Attempt) (*Reply, error)
	// Report reads a runner's own account of its work. Its error wraps ErrOtherIncarnation where another one has the address.
	Report(ctx context.Context, runner Runner) (Load, error)
	// Forget drops the connections kept to a runner.
	Forget(runner Runner)
}

// Retirement asks that a worker be emptied.
type Retirement struct {
	Node ident.Node
	// Within is how long that may take, counted from the order.
	Within time.Duration
}

// Orders are what operators want.
type Orders struct {
	// Catalog is the newest configuration, or nil where none came.
	Catalog *Catalog
	// Retire holds the workers to be emptied.
	Retire []Retirement
}

// Registry lists the runners and reads the operators' orders.
type Registry interface {
	// Runners returns all runners the registry lists, of the revision or later.
	Runners(ctx context.Context) (runners []Runner, revision int64, err error)
	// Orders returns all orders and the revision to ask for newer ones after.
	Orders(ctx context.Context) (Orders, int64, error)
	// NextOrders waits for orders newer than the revision. It returns none, and a revision to go on from, when none
	// came within the wait.
	NextOrders(ctx context.Context, after int64, wait time.Duration) (Orders, int64, error)
	// Probe makes the cheapest call there is, to see whether the registry answers at all.
	Probe(ctx context.Context) error
	// ReportRetired tells the operators how far a worker is emptied.
	ReportRetired(ctx context.Context, node ident.Node, emptied bool) error
}

// AnswerWriter passes an answer on to the caller. Its errors mean that the caller is gone.
type AnswerWriter interface {
	// Until says when writing to the caller ends in any case: a caller that does not read must not hold the node.
	Until(deadline time.Time)
	// Begin sends the head. length is the length of the body, or negative for a body that ends by itself.
	Begin(head Head, length int64) error
	// Write sends bytes of the body at once.
	Write(bytes []byte) error
}
