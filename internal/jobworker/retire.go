package jobworker

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// retireEvery is the time between two looks at the workers to be emptied.
	retireEvery = 300 * time.Millisecond
	// retireShare of the time given may be used to end what runs.
	retireShare = 0.5
	// absentAfter is how long a worker must not be registered before another one reports it emptied.
	absentAfter = 1500 * time.Millisecond
)

// retirement is a worker to be emptied.
type retirement struct {
	within time.Duration
	asked  time.Time
	// begun says that this node drains, or told that another one is gone.
	begun bool
	// absent is since when the worker is not registered.
	absent time.Time
}

// Retire takes an order to empty a worker. The same order may come again.
func (w *Worker) Retire(order work.Retirement) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.retirements[order.Node] != nil {
		return
	}
	w.retirements[order.Node] = &retirement{within: order.Within, asked: w.Now()}
}

// retireLoop empties this node when that is asked. A worker keeps nothing on its disk, so that a node that is gone is
// empty: any other one reports that.
func (w *Worker) retireLoop() error {
	for w.pause(retireEvery) {
		for node, order := range w.dueRetirements() {
			if node == w.Node {
				w.tomb.Go(func() error { w.retireSelf(order); return nil })
				continue
			}
			if !w.reportEmptied(node) {
				w.mutex.Lock()
				order.begun = false
				w.mutex.Unlock()
			}
		}
	}
	return nil
}

// dueRetirements returns the orders this node has to act on now, and marks them as begun.
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
		if !order.begun && (node == w.Node || gone) {
			order.begun = true
			due[node] = order
		}
	}
	return due
}

// retireSelf ends what runs, gives up the jobs and reports.
func (w *Worker) retireSelf(order *retirement) {
	w.Drain(time.Duration(retireShare * float64(order.within)))
	for w.keepsJobs() || !w.reportEmptied(w.Node) {
		if !w.pause(w.Options.RetryAfter) {
			return
		}
	}
}

func (w *Worker) reportEmptied(node ident.Node) bool {
	ctx, cancel := w.call()
	defer cancel()
	if err := w.Registry.ReportRetired(ctx, node, true); err != nil {
		w.logStore("reporting that "+string(node)+" is emptied", err)
		return false
	}
	event.WorkerRetired.Log(w.Logger).Str("worker", string(node)).Send()
	return true
}
