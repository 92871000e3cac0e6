package batch

import "time"

// Uses of a runner's sequences, as label values of the slot time metric.
const (
	// useRunning counts batch items that generate tokens, usePrefill those that have produced no token yet.
	useRunning = "running"
	usePrefill = "prefill"
	// useOnline is the number of sequences that online work uses or is estimated to use.
	useOnline = "online"
	// useReserve is the number of sequences that the controller leaves free in addition.
	useReserve = "reserve"
	// idlePaused, idlePrefill and idleEmpty are reasons for unused credits: no item may be started on the runner; the
	// prefill limits are reached or the queued items may not start yet; the queue is empty.
	idlePaused  = "idle_paused"
	idlePrefill = "idle_prefill"
	idleEmpty   = "idle_empty"
)

// slotUse counts the sequences of one runner by their use.
type slotUse struct {
	running, prefilling, online, reserve, idle int
	// idleFor is the reason for unused credits.
	idleFor string
}

// slotUse computes the use of a runner's sequences at the end of a loop iteration.
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
	case w.registry.queued() > 0:
		use.idleFor = idlePrefill
	}
	return use
}

// countSlotTime adds the time since the last loop iteration to the slot time metric, by the uses recorded in that iteration.
func (w *Worker) countSlotTime(now time.Time) {
	elapsed := now.Sub(w.slotTimeSince).Seconds()
	first := w.slotTimeSince.IsZero()
	w.slotTimeSince = now
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

// slots adds the slot time of count sequences in a use. Negative counts, which occur while runs in excess of the credits
// end, add nothing.
func (m *metrics) slots(use string, count int, seconds float64) {
	m.slotTime.WithLabelValues(use).Add(float64(max(0, count)) * seconds)
}
