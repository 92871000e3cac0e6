package dispatch

import "sync"

// Parameters of the retry budget.
const (
	// DefaultRetryShare is the number of retries that a node may make per dispatched request.
	DefaultRetryShare = 0.2
	// retryReserve is the maximum number of retries that a node can accumulate. A node starts with it.
	retryReserve = 20.0
)

// RetryBudget limits retries to a share of the requests, so that retries cannot amplify an overload. It is safe for
// concurrent use.
type RetryBudget struct {
	share float64
	mutex sync.Mutex
	left  float64
}

// NewRetryBudget returns a budget with a full reserve that earns the given share of a retry per request.
func NewRetryBudget(share float64) *RetryBudget {
	return &RetryBudget{share: share, left: retryReserve}
}

// Earn adds the share of one request.
func (b *RetryBudget) Earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.left = min(retryReserve, b.left+b.share)
}

// Spend takes one retry, or returns false if none is left.
func (b *RetryBudget) Spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
