// Package engine is the interface to a model engine (a runner). Each dialect is one package below it; nothing above
// knows the wire format.
package engine

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// Failures of an engine call. Attempt failures are AttemptError, which states the outcome.
const (
	// ErrFenced means the engine has seen a newer epoch than the order or batch request carried.
	ErrFenced = failure.Kind("engine: stale epoch")
	// ErrLeaving means the engine takes no new work.
	ErrLeaving = failure.Kind("engine: leaving")
	// ErrBusy means the engine's waiting queue is full.
	ErrBusy = failure.Kind("engine: busy")
	// ErrModelNotLoaded means the model or adapter is not loaded there.
	ErrModelNotLoaded = failure.Kind("engine: model not loaded")
	// ErrRejected means the engine found the request itself at fault (a 4xx answer); a retry elsewhere is useless.
	ErrRejected = failure.Kind("engine: request rejected")
	// ErrUnreachable means no connection could be made: nothing was sent.
	ErrUnreachable = failure.Kind("engine: unreachable")
	// ErrBroken means the connection or stream failed after the request may have been received.
	ErrBroken = failure.Kind("engine: connection broken")
	// ErrGone means the engine no longer holds the stream that was to be resumed.
	ErrGone = failure.Kind("engine: stream gone")
)

// Engine talks to one runner. Implementations are safe for concurrent use.
type Engine interface {
	// Generate starts a request. An error wraps *AttemptError, which says whether the engine may have run it.
	Generate(ctx context.Context, call Call) (Stream, error)
	// Resume reads on from a stream the engine still holds, from the given token offset. Errors: ErrGone,
	// ErrUnreachable, ErrBroken.
	Resume(ctx context.Context, request ident.Request, offset int) (Stream, error)
	// Abort stops a request and frees its memory. Aborting an unknown request is no error. keep asks the engine to
	// hold the generated tokens so that Generate with Call.ResumeOffset can continue the request later.
	Abort(ctx context.Context, request ident.Request, keep bool) error
	// Load returns the engine's own, lagging report.
	Load(ctx context.Context) (LoadReport, error)
	// Order gives a fenced order. It returns ErrFenced if the engine has seen a newer epoch for the order's subject.
	Order(ctx context.Context, order Order) (OrderReply, error)
	// CacheEvents returns the cache events after a sequence number; there may be gaps.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
}

// Call is one attempt at a request on one engine.
type Call struct {
	Request *inference.Request
	// Attempt numbers the attempts at the request, from one.
	Attempt int
	// OwnerEpoch fences batch work: the engine refuses a Batch call below the highest epoch it has granted.
	OwnerEpoch uint64
	// ResumeOffset continues a request the engine has kept after Abort, from this many tokens.
	ResumeOffset int
}

// Stream reads the answer to one call, always chunk by chunk; callers who want a whole answer aggregate it.
type Stream interface {
	// Next returns the next chunk, or io.EOF after the final chunk. Any other error wraps ErrBroken: the answer is
	// truncated.
	Next() (inference.Chunk, error)
	// Close releases the connection. It does not abort the request on the engine.
	Close() error
}

// ReadyStream is a Stream that knows whether its next chunk is at hand.
type ReadyStream interface {
	Stream
	// Ready reports whether Next returns without waiting for the engine. It is asked between calls of Next.
	Ready() bool
}

// LoadReport is an engine's view of itself some time ago.
type LoadReport struct {
	// Measured is when the engine took the figures, by its own account of their age.
	Measured time.Time
	// RunningOnline, RunningBatch, WaitingOnline, WaitingBatch count sequences.
	RunningOnline, RunningBatch, WaitingOnline, WaitingBatch int
	// MaxSequences bounds the sequences that run at once.
	MaxSequences int
	// MemoryUsed is the share of the KV cache in use, 0 to 1; MemoryTokens is the cache's size in tokens.
	MemoryUsed   float64
	MemoryTokens int
	// StepTime is the recent duration of one decode step.
	StepTime time.Duration
	// Models and Adapters lists what is loaded.
	Models   []LoadedModel
	Adapters []string
	// Leaving says the engine takes no new work.
	Leaving bool
	// OwnerEpoch is the highest ownership epoch the engine has granted.
	OwnerEpoch uint64
	// Owner is the node that holds OwnerEpoch.
	Owner ident.Node
	// Incarnation differs between any two starts of the engine, or is empty if the engine does not say. A new one means
	// that epochs, streams and kept tokens of the last are gone.
	Incarnation string
}

// LoadedModel is a model the engine holds.
type LoadedModel struct {
	Name    string
	Version string
}

// OrderKind names what an order changes.
type OrderKind string

// The kinds of order.
const (
	// OrderOwn claims batch ownership for Order.Node at Order.Epoch.
	OrderOwn OrderKind = "own"
	// OrderLoadModel and OrderUnloadModel change the loaded models.
	OrderLoadModel   OrderKind = "load_model"
	OrderUnloadModel OrderKind = "unload_model"
	// OrderLoadAdapter and OrderUnloadAdapter change the loaded adapters.
	OrderLoadAdapter   OrderKind = "load_adapter"
	OrderUnloadAdapter OrderKind = "unload_adapter"
	// OrderRole sets the role: "mixed", "online" or "batch".
	OrderRole OrderKind = "role"
	// OrderLeave marks the engine as leaving; OrderStay takes the mark back.
	OrderLeave OrderKind = "leave"
	OrderStay  OrderKind = "stay"
)

// Order is a fenced order to an engine. The engine keeps the highest epoch it has accepted and refuses lower ones. Orders
// that change models, adapters or the role are the owner's: they carry the epoch of its claim, and the engine refuses
// them below the highest epoch it has granted by OrderOwn, whatever their subject.
type Order struct {
	Kind    OrderKind
	Epoch   uint64
	Node    ident.Node
	Model   string
	Version string
	Adapter string
	Role    string
}

// OrderReply reports the engine's epoch after the order.
type OrderReply struct {
	Epoch uint64
	Owner ident.Node
}

// CacheEvent tells that a prefix block entered or left the engine's cache.
type CacheEvent struct {
	Sequence uint64
	Block    uint64
	Stored   bool
}
