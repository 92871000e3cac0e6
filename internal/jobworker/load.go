package jobworker

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/work"
)

// loadEvery is the time between two lines of the batch load, a tenth of the time in which items are usually due: rare
// enough to cost nothing beside the runs.
const loadEvery = 2 * time.Second

// placesUse says what becomes of the places of the runners that a worker owns. Their sum is slots: whatever is neither
// online nor batch nor room is kept free.
type placesUse struct {
	runners, slots int
	// online is the work that nodes tell of, batch the runs of items and the places lent, room what more items could start
	// now.
	online, batch, room int
}

// itemsUse counts the unfinished items of the jobs that a worker runs.
type itemsUse struct {
	// running have a runner, waiting have none; late are those of the waiting that cannot be in time any more.
	running, waiting, late int
}

// logLoad writes how many items wait and what becomes of the places that they could take, so that a lack of places can be
// told from a lack of reach and from places that are kept free. It writes nothing while no job is open.
func (w *Worker) logLoad(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.open) == 0 || now.Sub(w.loadLogged) < loadEvery {
		return
	}
	w.loadLogged = now
	items, places := w.itemsInUse(now), w.placesInUse(now)
	held, all := w.Budget.Load()
	event.BatchLoad.Log(w.Logger).Int("jobs", len(w.jobs)).
		Int("waiting", items.waiting).Int("late", items.late).Int("running", items.running).
		Int("runners", places.runners).Int("slots", places.slots).
		Int("online", places.online).Int("batch", places.batch).Int("room", places.room).
		Int64("run_ms", w.duration.Milliseconds()).Int64("held_bytes", held).Int64("may_hold_bytes", all).Send()
}

// itemsInUse counts the items. The caller holds the mutex.
func (w *Worker) itemsInUse(now time.Time) itemsUse {
	var use itemsUse
	for _, job := range w.jobs {
		for _, item := range job.items {
			switch {
			case item.finished:
			case item.running:
				use.running++
			default:
				use.waiting++
				if w.prospect(item, now).hopeless {
					use.late++
				}
			}
		}
	}
	return use
}

// placesInUse adds up the runners that this node owns for batch routes. The caller holds the mutex.
func (w *Worker) placesInUse(now time.Time) placesUse {
	var use placesUse
	for _, service := range w.batchServices() {
		owned := w.owned(service)
		use.room += w.spare(owned, now)
		for _, runner := range owned {
			use.add(runner, w.demand.Online(runner.ID, "", now), w.batchAt(runner.ID, now))
		}
	}
	return use
}

func (u *placesUse) add(runner work.Runner, online, batch int) {
	u.runners++
	u.slots += runner.Slots
	u.online += online
	u.batch += batch
}
