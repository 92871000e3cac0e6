package enginesim

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
)

type sequenceState uint8

const (
	stateWaiting sequenceState = iota
	stateRunning
	stateFinished
	stateKept
	stateAborted
)

// sequence is one request inside the engine. All fields below the first group are guarded by the engine's lock.
type sequence struct {
	request  ident.Request
	attempt  int
	class    inference.Class
	endpoint inference.Endpoint
	// idempotency is the caller's key, or empty.
	idempotency string
	prompt      Prompt
	blocks      []uint64
	nonce       uint64
	created     time.Time

	state sequenceState
	// counted says that the start of the execution stands in the run ledger.
	counted bool
	// generated is the number of tokens of the answer so far. Tokens are a function of their number, so this is all
	// the state an answer needs.
	generated int
	// pending is the number of prompt tokens still to compute before the next token.
	pending int
	// prefill is the share of pending in the current step.
	prefill int
	// idleSince is when the last reader left or the sequence ended.
	idleSince time.Time
	readers   map[chan struct{}]struct{}
}

// memory returns the KV memory the sequence needs, in tokens.
func (s *sequence) memory() int { return s.prompt.Tokens + s.generated }

func (s *sequence) ended() bool { return s.state >= stateFinished }

// notify wakes the readers.
func (s *sequence) notify() {
	for reader := range s.readers {
		select {
		case reader <- struct{}{}:
		default:
		}
	}
}
