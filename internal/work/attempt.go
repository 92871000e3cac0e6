package work

import (
	"context"
	"io"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// Attempt is one attempt to run a request on one runner.
type Attempt struct {
	Request *Request
	Runner  Runner
	// Budget is the maximum time that the runner may take.
	Budget time.Duration
	// ResumeAfter is the id of the last event already received; zero requests the whole answer.
	ResumeAfter int64
	// BeforeSend is called once a connection to the runner is open, right before the request is written. It may be nil. If it returns an
	// error the request is not sent.
	BeforeSend func() error
}

// Reply is a runner's answer to one attempt. Body must be closed; closing it before its end makes the runner stop.
type Reply struct {
	Head Head
	// NotRun means that the runner did not and will not run the request.
	NotRun bool
	// Replaced means that the address belongs to another runner, which did not run the request.
	Replaced bool
	// OtherWeights means that the runner did not run the request because it asks for another version of the weights. It says nothing of the
	// runner's use for others.
	OtherWeights bool
	// Sealed means that the answer has the runner's signature; a success without it is not accepted.
	Sealed bool
	// Encoded means that the body has a content encoding and is not the runner's original bytes.
	Encoded bool
	// Framed means that the framing of the body marks its end. Otherwise the body ends with its connection; a stream that ends so inside an
	// event was broken off.
	Framed bool
	// Length is the length of the body in bytes, or negative if the answer does not specify it.
	Length int64
	Body   io.ReadCloser
}

// ErrOtherIncarnation means that the requested incarnation has ended and another one answers at its address.
const ErrOtherIncarnation = failure.Kind("work: another incarnation answers")

// OtherIncarnation is the error of a call that asked for one incarnation and reached another one. It wraps ErrOtherIncarnation.
type OtherIncarnation struct {
	Asked ident.Incarnation
	// Started is when the other one started; zero if it does not tell.
	Started time.Time
}

// Error implements error.
func (e *OtherIncarnation) Error() string {
	return string(ErrOtherIncarnation) + ": " + string(e.Asked)
}

// Unwrap returns ErrOtherIncarnation.
func (e *OtherIncarnation) Unwrap() error { return ErrOtherIncarnation }

// Caller sends attempts to runners. Its errors wrap connpool.ErrNotSent or connpool.ErrNoResponse.
type Caller interface {
	Send(ctx context.Context, attempt Attempt) (*Reply, error)
	// Report reads a runner's report of its load. Its error wraps ErrOtherIncarnation if another incarnation has the address.
	Report(ctx context.Context, runner Runner) (Load, error)
	// Forget closes the idle connections to a runner.
	Forget(runner Runner)
}

// Retirement is an order to drain a worker.
type Retirement struct {
	Node ident.Node
	// Within is the maximum duration of the drain, counted from the order.
	Within time.Duration
}

// Orders are the operators' orders: the configuration and the workers to drain.
type Orders struct {
	// Catalog is the newest configuration, or nil if there is none.
	Catalog *Catalog
	// Retire lists the workers to drain.
	Retire []Retirement
}

// Registry lists the runners and reads the operators' orders.
type Registry interface {
	// Runners returns all runners in the registry and a revision; the list is of that revision or a later one. callTimeout bounds
	// each of the calls that a list takes.
	Runners(ctx context.Context, callTimeout time.Duration) (runners []Runner, revision int64, err error)
	// Orders returns all orders, and the revision to pass to NextOrders.
	Orders(ctx context.Context) (Orders, int64, error)
	// NextOrders waits for orders newer than the revision. If there are none within the wait, it returns no orders and
	// the revision to pass to the next call.
	NextOrders(ctx context.Context, after int64, wait time.Duration) (Orders, int64, error)
	// Probe makes the cheapest call available, to check whether the registry answers.
	Probe(ctx context.Context) error
	// ReportRetired reports to the operators whether a worker has been drained.
	ReportRetired(ctx context.Context, node ident.Node, emptied bool) error
}

// AnswerWriter sends an answer to the caller. Its errors mean that the caller has disconnected.
type AnswerWriter interface {
	// Until sets the deadline for writes to the caller, so that a caller that does not read cannot tie up the node.
	Until(deadline time.Time)
	// Begin sends the head. length is the length of the body in bytes, or negative if it is not known in advance.
	Begin(head Head, length int64) error
	// Write sends bytes of the body without buffering.
	Write(bytes []byte) error
}
