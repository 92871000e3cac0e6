package batch

import "time"

// Uses of a runner's sequences, as a label of the slot time.
const (
	// useRunning and usePrefill are batch items that generate, and that have given no token yet.
	useRunning = "running"
	usePrefill = "prefill"
	// useOnline is what online work holds, or is thought to.
	useOnline = "online"
	// useReserve is what the controller keeps free beyond that.
	useReserve = "reserve"
	// idlePaused, idlePrefill and idleEmpty are credits left unused: the runner may not be started on, too much prefill is
	// outstanding or under way too fast (or what is queued may not start yet), no leased item suits.
	idlePaused  = "idle_paused"
	idlePrefill = "idle_prefill"
	idleEmpty   = "idle_empty"
)

// slotUse counts the sequences of one runner by their use.
type slotUse struct {
	running, prefilling, online, reserve, idle int
	// idleFor is why credits are left unused.
	idleFor string
}

// slotUse reads what a turn left the sequences of a runner in.
func (w *Worker) slotUse(granted *grant, now time.Time) slotUse {
	state, report := granted.state, granted.view.Report
	if report == nil {
		return slotUse{}
	}
	use := slotUse{
		online:  report.MaxSequences - granted.credits.MaxRunning,
		reserve: granted.credits.MaxRunning - max(granted.credits.MaxWhenStarting, len(state.running)),
		idle:    max(0, granted.credits.MaxWhenStarting-len(state.running)),
		idleFor: idleEmpty,
	}
	for running := range state.running {
		if running.prefilling {
			use.prefilling++
			continue
		}
		use.running++
	}
	switch {
	case !granted.mayStart(now):
		use.idleFor = idlePaused
	case w.book.queued() > 0:
		use.idleFor = idlePrefill
	}
	return use
}

// countSlotTime adds the time since the last turn to the uses that it left.
func (w *Worker) countSlotTime(now time.Time) {
	elapsed := now.Sub(w.usedSince).Seconds()
	first := w.usedSince.IsZero()
	w.usedSince = now
	if first || elapsed <= 0 {
		return
	}
	for _, state := range w.runners {
		use := state.use
		w.metrics.slots(useRunning, use.running, elapsed)
		w.metrics.slots(usePrefill, use.prefilling, elapsed)
		w.metrics.slots(useOnline, use.online, elapsed)
		w.metrics.slots(useReserve, use.reserve, elapsed)
		if use.idle > 0 {
			w.metrics.slots(use.idleFor, use.idle, elapsed)
		}
	}
}

// slots adds sequences in a use for some seconds. Counts below zero, while runs above the credits end, add nothing.
func (m *metrics) slots(use string, count int, seconds float64) {
	m.slotTime.WithLabelValues(use).Add(float64(max(0, count)) * seconds)
}
