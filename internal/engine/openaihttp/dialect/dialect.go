// Package dialect holds the names and message shapes that the engine adapter and the stand-in engine share: the
// OpenAI HTTP API plus the headers, control calls and error codes that this project asks of an engine.
package dialect

// Request headers sent with a generation call. The name Idempotency-Key is left out on purpose: net/http replays a
// POST that carries it, which could run a request twice.
const (
	// HeaderRequest carries ident.Request; it is the same for every attempt.
	HeaderRequest = "X-Mallowlatch-Request"
	// HeaderAttempt numbers the attempts at the request, from one.
	HeaderAttempt = "X-Mallowlatch-Attempt"
	// HeaderPriority is PriorityOnline or PriorityBatch.
	HeaderPriority = "X-Mallowlatch-Priority"
	// HeaderOwnerEpoch fences batch work.
	HeaderOwnerEpoch = "X-Mallowlatch-Owner-Epoch"
	// HeaderResumeOffset continues a kept request from this many tokens.
	HeaderResumeOffset = "X-Mallowlatch-Resume-Offset"
	// HeaderAdapter names the adapter to apply.
	HeaderAdapter = "X-Mallowlatch-Adapter"
	// HeaderIdempotency carries the caller's idempotency key, for the engine's own records.
	HeaderIdempotency = "X-Mallowlatch-Idempotency"
)

// Response headers of a refusal.
const (
	// HeaderNotRun is "true" when the engine has not run the request and never will.
	HeaderNotRun = "X-Mallowlatch-Not-Run"
	// HeaderCode is one of the Code constants.
	HeaderCode = "X-Mallowlatch-Code"
)

// Values of HeaderPriority.
const (
	PriorityOnline = "online"
	PriorityBatch  = "batch"
)

// Codes of refusals.
const (
	CodeBusy           = "busy"
	CodeLeaving        = "leaving"
	CodeFenced         = "fenced"
	CodeModelNotLoaded = "model_not_loaded"
	CodeRejected       = "rejected"
	CodeGone           = "gone"
)

// Paths of the control calls.
const (
	PathLoad        = "/load"
	PathAbort       = "/abort"
	PathOrders      = "/orders"
	PathStreams     = "/v1/streams/"
	PathCacheEvents = "/cache_events"
	PathCacheBlocks = "/cache_blocks"
	PathModels      = "/v1/models"
	PathHealth      = "/healthz"
)

// Load is the answer to GET /load.
type Load struct {
	// AgeMilliseconds is how long ago the figures were taken.
	AgeMilliseconds      float64  `json:"age_ms"`
	RunningOnline        int      `json:"running_online"`
	RunningBatch         int      `json:"running_batch"`
	WaitingOnline        int      `json:"waiting_online"`
	WaitingBatch         int      `json:"waiting_batch"`
	MaxSequences         int      `json:"max_sequences"`
	MemoryUsed           float64  `json:"memory_used"`
	MemoryTokens         int      `json:"memory_tokens"`
	StepTimeMilliseconds float64  `json:"step_time_ms"`
	Models               []Model  `json:"models"`
	Adapters             []string `json:"adapters"`
	Role                 string   `json:"role"`
	Leaving              bool     `json:"leaving"`
	OwnerEpoch           uint64   `json:"owner_epoch"`
	Owner                string   `json:"owner"`
	// Incarnation differs between any two starts of the engine.
	Incarnation string `json:"incarnation"`
}

// Model is a loaded model.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// Abort is the body of POST /abort.
type Abort struct {
	Request string `json:"request"`
	// Keep asks the engine to hold the generated tokens.
	Keep bool `json:"keep"`
}

// Order is the body of POST /orders.
type Order struct {
	Kind    string `json:"kind"`
	Epoch   uint64 `json:"epoch"`
	Node    string `json:"node"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// OrderReply is the answer to POST /orders.
type OrderReply struct {
	Epoch uint64 `json:"epoch"`
	Owner string `json:"owner"`
}

// CacheEvent tells that a prefix block entered or left the cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block"`
	Stored   bool   `json:"stored"`
}

// CacheEvents is the answer to GET /cache_events?after=N&sample_bits=B: the events above N that are published by now, of
// blocks whose hash ends in B zero bits. There may be gaps.
type CacheEvents struct {
	// Incarnation is that of Load; sequence numbers of two incarnations have nothing to do with each other.
	Incarnation string `json:"incarnation"`
	// Newest is the number of the last event published, lost ones included.
	Newest uint64 `json:"newest"`
	// Held counts the events above N and up to Newest, of all blocks, that the engine has: fewer than their numbers say means
	// that some are missing.
	Held   uint64       `json:"held"`
	Events []CacheEvent `json:"events"`
}

// CacheBlocks is the answer to GET /cache_blocks?sample_bits=N: the cached blocks whose hash ends in N zero bits.
type CacheBlocks struct {
	Incarnation string `json:"incarnation"`
	// Sequence is the number of the last event that the listing includes.
	Sequence   uint64   `json:"sequence"`
	SampleBits uint     `json:"sample_bits"`
	Blocks     []uint64 `json:"blocks"`
}

// ErrorBody is the OpenAI error envelope.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the content of an ErrorBody.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	NotRun  string `json:"not_run"`
}
