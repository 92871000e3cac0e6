package jobworker

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// retirePollEvery is the time between two checks for workers to retire.
	retirePollEvery = 300 * time.Millisecond
	// drainFraction of the time given may be used to finish what runs.
	drainFraction = 0.5
	// absentAfter is how long a worker must be unregistered before another one reports it as emptied.
	absentAfter = 1500 * time.Millisecond
)

// retirement is an order to empty a worker.
type retirement struct {
	within    time.Duration
	requested time.Time
	// acting is set when this node drains, or has reported that another one is gone.
	acting bool
	// absent is since when the worker has been unregistered.
	absent time.Time
}

// Retire accepts an order to empty a worker. The same order may be repeated.
func (w *Worker) Retire(order work.Retirement) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.retirements[order.Node] != nil {
		return
	}
	w.retirements[order.Node] = &retirement{within: order.Within, requested: w.Now()}
}

// retireLoop empties this node on request. A worker that is no longer registered counts as empty; any other worker reports
// that.
func (w *Worker) retireLoop() error {
	for w.pause(retirePollEvery) {
		for node, order := range w.dueRetirements() {
			if node == w.Node {
				w.tomb.Go(func() error { w.retireSelf(order); return nil })
				continue
			}
			if !w.reportRetired(node) {
				w.mutex.Lock()
				order.acting = false
				w.mutex.Unlock()
			}
		}
	}
	return nil
}

// dueRetirements returns the orders on which this node has to act now, and marks them as acted on.
func (w *Worker) dueRetirements() map[ident.Node]*retirement {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	due := map[ident.Node]*retirement{}
	now := w.Now()
	for node, order := range w.retirements {
		_, registered := w.workers[node]
		if registered || node == w.Node || len(w.workers) == 0 {
			order.absent = time.Time{}
		} else if order.absent.IsZero() {
			order.absent = now
		}
		gone := !order.absent.IsZero() && now.Sub(order.absent) > absentAfter
		if !order.acting && (node == w.Node || gone) {
			order.acting = true
			due[node] = order
		}
	}
	return due
}

// retireSelf drains this node, waits until its stored jobs are handed over, and reports it as emptied.
func (w *Worker) retireSelf(order *retirement) {
	w.Drain(time.Duration(drainFraction * float64(order.within)))
	for w.hasPendingHandoffs() || !w.reportRetired(w.Node) {
		if !w.pause(w.Options.RetryAfter) {
			return
		}
	}
}

func (w *Worker) reportRetired(node ident.Node) bool {
	ctx, cancel := w.callContext()
	defer cancel()
	if err := w.Registry.ReportRetired(ctx, node, true); err != nil {
		w.logStore("reporting that "+string(node)+" is emptied", err)
		return false
	}
	event.WorkerRetired.Log(w.Logger).Str("worker", string(node)).Send()
	return true
}
