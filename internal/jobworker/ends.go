package jobworker

import (
	"context"
	"errors"
	"net/http"
	"time"

	"mallowlatch.example/mallowlatch/internal/poison"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

// heldBackFor is how long an item that may not run now is left alone.
const heldBackFor = time.Second

// holdsBack says whether an item waits because runners ended under it. It is not given up before its retention is over: it may only
// have run beside a request that ends its runners, and an item's result is final.
func (w *Worker) holdsBack(item *itemRun, now time.Time) bool {
	if w.Ends.Idle() {
		return false
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if item.print == "" {
		item.print = w.Key.Of(w.requestOf(item))
	}
	if !w.Ends.Refused(item.print) {
		return false
	}
	ends, last := w.Ends.Book.Ends(item.print)
	if poison.ItemMayRun(ends, now.Sub(last)) {
		return false
	}
	item.notBefore = now.Add(heldBackFor)
	return true
}

// noteEnd notes whether a runner lived through an item, or its output broke off. A run that this node ended says nothing.
func (w *Worker) noteEnd(ctx context.Context, flight *runnertable.Flight, request *work.Request, status int, err error) {
	switch {
	case w.Ends == nil:
	case err == nil && status == http.StatusOK:
		if !w.Ends.Idle() {
			w.Ends.Well(w.Key.Of(request))
		}
	case err != nil && !errors.Is(err, errRefused) && ctx.Err() == nil && failureOf(err) == runnertable.NoAnswer:
		w.Ends.Broken(flight.Runner, w.Key.Of(request))
	}
}
