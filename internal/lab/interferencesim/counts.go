package interferencesim

import "time"

// told is what one node tells a runner's owner of its own requests there, by the rules of the exchange between nodes: a
// count that rises at once, otherwise within coalesceTime.
type told struct {
	current, last int
	waiting       bool
	link          *link
}

// count changes the requests that a node has under way on a runner.
func (f *fleet) count(changed *runner, node, by int) {
	changed.online += by
	if len(f.workers) == 0 {
		return
	}
	owner := changed.index % f.options.Nodes
	state := f.workers[owner].states[changed.index]
	if node == owner {
		f.workers[owner].setOnline(state, node, state.counts[node]+by)
		return
	}
	telling := &changed.told[node]
	telling.current += by
	if telling.current > telling.last {
		f.tell(telling, state, node, 0)
		return
	}
	if !telling.waiting {
		telling.waiting = true
		f.tell(telling, state, node, coalesceTime)
	}
}

// tell sends the count that stands after the wait.
func (f *fleet) tell(telling *told, state *runnerState, node int, wait time.Duration) {
	f.clock.After(wait, func() {
		telling.waiting = telling.waiting && wait == 0
		telling.last = telling.current
		count := telling.current
		telling.link.send(func() { state.worker.setOnline(state, node, count) })
	})
}
