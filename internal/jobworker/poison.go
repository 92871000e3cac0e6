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

// withheldRetryPause is how long an item that may not run now is skipped.
const withheldRetryPause = time.Second

// withholds reports whether an item must wait because runners terminated while they ran it. The item is not given up
// before its retention is over: it may only have run beside the request that terminates its runners, and an item's result
// is final.
func (w *Worker) withholds(item *itemRun, service string, now time.Time) bool {
	if w.PoisonWatch.Idle() {
		return false
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if item.fingerprint == "" {
		item.fingerprint = w.Key.Of(w.requestOf(item))
	}
	if w.PoisonWatch.Withheld(w.Key.OfParts(w.promptOf(item)), service) {
		item.notBefore = now.Add(withheldRetryPause)
		return true
	}
	if !w.PoisonWatch.Refused(item.fingerprint) {
		return false
	}
	ends, last := w.PoisonWatch.Book.Crashes(item.fingerprint)
	if poison.ItemMayRun(ends, now.Sub(last)) {
		return false
	}
	item.notBefore = now.Add(withheldRetryPause)
	return true
}

// recordRunEnd records whether a runner survived an item or its output broke off. A run that this node cancelled is no
// evidence either way. began says whether the runner had begun to answer.
func (w *Worker) recordRunEnd(ctx context.Context, flight *runnertable.Flight, request *work.Request, began bool, status int, err error) {
	switch {
	case w.PoisonWatch == nil:
	case err == nil && status == http.StatusOK:
		if !w.PoisonWatch.Idle() {
			w.PoisonWatch.RecordCompleted(w.Key.Of(request))
		}
	case err != nil && !errors.Is(err, errRefused) && ctx.Err() == nil && failureOf(err) == runnertable.NoAnswer:
		suspects := []poison.Fingerprint{w.Key.Of(request)}
		if !began {
			suspects = append(suspects, w.Key.OfParts(request.Prefix)...)
		}
		w.PoisonWatch.RecordBroken(flight.Runner, suspects...)
	}
}
