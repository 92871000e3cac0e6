package dispatch

import "sync"

// Parameters of the retry budget.
const (
	// DefaultRetryShare is the number of retries a node may make for each request it dispatches.
	DefaultRetryShare = 0.2
	// retryReserve is the most retries it may save up; it also is what a node starts with.
	retryReserve = 20.0
)

// RetryBudget limits retries to a share of traffic, so that they cannot multiply an overload. Safe for concurrent use.
type RetryBudget struct {
	share float64
	mutex sync.Mutex
	left  float64
}

// NewRetryBudget returns a budget with a full reserve that earns a share of a retry for each request.
func NewRetryBudget(share float64) *RetryBudget {
	return &RetryBudget{share: share, left: retryReserve}
}

// Earn adds the share of one request.
func (b *RetryBudget) Earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.left = min(retryReserve, b.left+b.share)
}

// Spend takes one retry, or reports that there is none left.
func (b *RetryBudget) Spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
