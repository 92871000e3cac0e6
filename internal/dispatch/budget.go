package dispatch

import "sync"

// Parameters of the retry budget.
const (
	// retryShare is the number of retries a node may make for each request it dispatches.
	retryShare = 0.2
	// retryReserve is the most retries it may save up; it also is what a node starts with.
	retryReserve = 20.0
)

// retryBudget limits retries to a share of traffic, so that they cannot multiply an overload. Safe for concurrent use.
type retryBudget struct {
	mutex sync.Mutex
	left  float64
}

func newRetryBudget() *retryBudget { return &retryBudget{left: retryReserve} }

// earn adds the share of one request.
func (b *retryBudget) earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.left = min(retryReserve, b.left+retryShare)
}

// spend takes one retry, or reports that there is none left.
func (b *retryBudget) spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
