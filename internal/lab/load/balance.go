package load

import "sync"

// balance counts this generator's requests under way on each target.
type balance struct {
	mu       sync.Mutex
	inFlight []int
}

// least books a request on the target with the fewest and returns its index.
func (b *balance) least() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	chosen := 0
	for index, count := range b.inFlight {
		if count < b.inFlight[chosen] {
			chosen = index
		}
	}
	b.inFlight[chosen]++
	return chosen
}

func (b *balance) release(index int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight[index]--
}

// target returns where an attempt at an online request goes, and what to call once it has ended.
func (r *Run) target(arrival Arrival, attempt int) (string, func()) {
	if !r.options.LeastInFlight {
		return r.options.Targets[(arrival.Number+attempt)%len(r.options.Targets)], func() {}
	}
	index := r.balance.least()
	return r.options.Targets[index], func() { r.balance.release(index) }
}
