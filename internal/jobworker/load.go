package jobworker

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/work"
)

// loadLogEvery is the time between two log lines of the batch load. It is a tenth of the time in which items are usually
// due, which keeps the cost negligible beside the runs.
const loadLogEvery = 2 * time.Second

// slotUse counts the slots, by use, of the runners that a worker owns. Their total is slots; those that are neither
// online, batch nor free are reserved for online work.
type slotUse struct {
	runners, slots int
	// online is the work that nodes report, batch the runs of items and the lent slots, free what more items could start
	// now.
	online, batch, free int
}

// itemUse counts the unfinished items of the jobs that a worker runs.
type itemUse struct {
	// running items have a runner, waiting items have none; late counts the waiting items that can no longer be done in
	// time.
	running, waiting, late int
}

// logLoad logs how many items wait and how the slots that they could take are used, so that a lack of slots can be
// distinguished from unreachable runners and from slots kept free. It logs nothing while no job is open.
func (w *Worker) logLoad(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.open) == 0 || now.Sub(w.loadLogged) < loadLogEvery {
		return
	}
	w.loadLogged = now
	items, slotTotals := w.countItems(now), w.countSlots(now)
	heldBytes, limit := w.Budget.Load()
	event.BatchLoad.Log(w.Logger).Int("jobs", len(w.jobs)).
		Int("waiting", items.waiting).Int("late", items.late).Int("running", items.running).
		Int("runners", slotTotals.runners).Int("slots", slotTotals.slots).
		Int("online", slotTotals.online).Int("batch", slotTotals.batch).Int("room", slotTotals.free).
		Int64("run_ms", w.duration.Milliseconds()).Int64("held_bytes", heldBytes).Int64("may_hold_bytes", limit).Send()
}

// countItems counts the items. The caller must hold the mutex.
func (w *Worker) countItems(now time.Time) itemUse {
	var use itemUse
	for _, job := range w.jobs {
		for _, item := range job.items {
			switch {
			case item.finished:
			case item.running:
				use.running++
			default:
				use.waiting++
				if w.urgency(item, now).tooLate {
					use.late++
				}
			}
		}
	}
	return use
}

// countSlots sums up the runners that this node owns for batch routes. The caller must hold the mutex.
func (w *Worker) countSlots(now time.Time) slotUse {
	var use slotUse
	for _, service := range w.batchServices() {
		owned := w.owned(service)
		use.free += w.spareSlots(owned, now)
		for _, runner := range owned {
			use.add(runner, w.demand.Online(runner.ID, "", now), w.batchRunsAt(runner.ID, now))
		}
	}
	return use
}

func (u *slotUse) add(runner work.Runner, online, batch int) {
	u.runners++
	u.slots += runner.Slots
	u.online += online
	u.batch += batch
}
