package dispatch

import "sync"

// Parameters of the retry budget.
const (
	// retryShare is the number of retries a node may make for each request it dispatches.
	retryShare = 0.2
	// retryReserve is the most retries it may save up; it also is what a node starts with.
	retryReserve = 20.0
)

// RetryBudget limits retries to a share of traffic, so that they cannot multiply an overload. Safe for concurrent use.
type RetryBudget struct {
	mutex sync.Mutex
	left  float64
}

// NewRetryBudget returns a budget with a full reserve.
func NewRetryBudget() *RetryBudget { return &RetryBudget{left: retryReserve} }

// Earn adds the share of one request.
func (b *RetryBudget) Earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.left = min(retryReserve, b.left+retryShare)
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
