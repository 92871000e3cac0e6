package shardsim

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/shard"
)

// store is the simulated key-value service: one key, with outages, lost answers and late effects.
type store struct {
	simulation *Simulation
	history    []shard.Configuration
	downUntil  time.Duration
	// loseUntil is the time until which answers get lost, before or after the change took effect.
	loseUntil   time.Duration
	unreachable map[ident.Node]time.Duration
	// pending counts the swaps of a node that may still take effect.
	pending map[ident.Node]int
}

func (k *store) current() (shard.Configuration, int64) {
	if len(k.history) == 0 {
		return shard.Configuration{}, 0
	}
	return k.history[len(k.history)-1], int64(len(k.history))
}

func (k *store) write(configuration shard.Configuration) {
	s := k.simulation
	if previous, revision := k.current(); revision > 0 {
		s.Swaps++
		s.checker.successor(s, previous, configuration)
		s.strikeAfterSwap(configuration)
	}
	k.history = append(k.history, configuration)
	revision := int64(len(k.history))
	for _, watcher := range s.nodes {
		s.After(s.between(time.Millisecond, 100*time.Millisecond), func() {
			if k.reachable(watcher.name) {
				watcher.input(func() error { watcher.driver.Observe(configuration, revision); return nil })
			}
		})
	}
}

func (k *store) reachable(from ident.Node) bool {
	now := k.simulation.now
	return now >= k.downUntil && now >= k.unreachable[from]
}

// call serves a request of a node and gives the outcome to its driver.
func (k *store) call(caller *node, request shard.StoreRequest) {
	s := k.simulation
	lives := caller.lives
	if request.Swap != nil {
		k.pending[caller.name]++
	}
	answer := func(result shard.StoreResult) {
		s.After(s.between(time.Millisecond, 30*time.Millisecond), func() {
			if caller.lives == lives {
				caller.input(func() error { return caller.driver.StoreResult(caller.clock(), request, result) })
			}
		})
	}
	s.After(s.between(time.Millisecond, 30*time.Millisecond), func() {
		if !k.reachable(caller.name) {
			if request.Swap != nil {
				k.pending[caller.name]--
			}
			answer(shard.StoreResult{Outcome: shard.StoreFailed})
			return
		}
		if request.Swap == nil {
			configuration, revision := k.current()
			answer(shard.StoreResult{Configuration: configuration, Revision: revision})
			return
		}
		k.swap(caller.name, request, answer)
	})
}

func (k *store) swap(caller ident.Node, request shard.StoreRequest, answer func(shard.StoreResult)) {
	s := k.simulation
	s.strikeBeforeSwap(*request.Swap)
	attempt := func() shard.StoreResult {
		_, revision := k.current()
		if revision != request.Revision {
			return shard.StoreResult{Outcome: shard.StoreConflict}
		}
		k.write(*request.Swap)
		return shard.StoreResult{Revision: revision + 1}
	}
	if s.now >= k.loseUntil || s.chance(0.3) {
		k.pending[caller]--
		answer(attempt())
		return
	}
	switch s.random.IntN(3) {
	case 0: // took effect, answer lost
		k.pending[caller]--
		attempt()
	case 1: // takes effect long after the caller gave up
		s.After(s.between(time.Second, 5*time.Second), func() {
			k.pending[caller]--
			attempt()
		})
	default: // lost on the way
		k.pending[caller]--
	}
	answer(shard.StoreResult{Outcome: shard.StoreUnknown})
}
