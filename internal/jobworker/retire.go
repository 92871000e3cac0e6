package jobworker

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/queuecapacity"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// retirePollEvery is the time between two checks for workers to retire.
	retirePollEvery = 300 * time.Millisecond
	// drainFraction of the time given may be used to finish what runs.
	drainFraction = 0.5
	// absentAfter is how long a worker must be unregistered before another one reports it as emptied. By then a worker that
	// restarts has registered again, and the others have handed over the copies of the jobs on its disk.
	absentAfter = doubtPeriod
)

// retirement is an order to empty a worker.
type retirement struct {
	within time.Duration
	// acting is set when this node drains, or has reported that another one is gone.
	acting bool
	// absent is since when the worker has been unregistered, and the store reachable.
	absent time.Time
	// address is where the worker was last registered; empty if this node has not seen it registered.
	address string
}

// Retire accepts an order to empty a worker. The same order may be repeated.
func (w *Worker) Retire(order work.Retirement) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.retirements[order.Node] != nil {
		return
	}
	w.retirements[order.Node] = &retirement{within: order.Within}
}

// retireLoop empties this node on request. A worker that is gone counts as empty; any other worker reports that. A worker
// that answers is not gone: one that drains, or whose lease expired in an outage, is unregistered and may still have jobs
// on its disk.
func (w *Worker) retireLoop() error {
	for w.pause(retirePollEvery) {
		for node, order := range w.dueRetirements() {
			if node == w.Node {
				w.tomb.Go(func() error { w.retireSelf(order); return nil })
				continue
			}
			if w.answers(order.address) || !w.reportRetired(node) {
				w.postpone(order)
			}
		}
	}
	return nil
}

// postpone has this node check again whether the worker of an order is gone, after it was absent once more.
func (w *Worker) postpone(order *retirement) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	order.acting, order.absent = false, time.Time{}
}

// answers reports whether the worker at an address answers a call. It is false for an empty address.
func (w *Worker) answers(address string) bool {
	if w.Accounts == nil || address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(w.ctx, accountReportTimeout)
	defer cancel()
	return w.Accounts.ReportQueueUse(ctx, address, &queuecapacity.Report{}) == nil
}

// dueRetirements returns the orders on which this node has to act now, and marks them as acted on.
func (w *Worker) dueRetirements() map[ident.Node]*retirement {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.retirements) == 0 {
		return nil
	}
	due := map[ident.Node]*retirement{}
	now := w.Now()
	mayMiss := w.mayMissWorkers(now)
	for node, order := range w.retirements {
		worker, registered := w.workers[node]
		if registered {
			order.address = worker.Address
		}
		if registered || mayMiss || node == w.Node || len(w.workers) == 0 {
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
