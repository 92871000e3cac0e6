package jobworker

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/pace"
)

// paced is the room at a runner, less by its pace: items are begun at runners of the usual pace first.
func (w *Worker) paced(room int, id ident.Incarnation, now time.Time) float64 {
	return float64(room) / float64(w.Runners.Pace(id, now))
}

// moveSlow ends one run at a runner that has been slow for long, where one of the usual pace has the most room: the item goes on there after
// its last event. It ends none while items wait, whose places those are, and one in a round, so that the next sees what became of it.
func (w *Worker) moveSlow(waiting int, now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if waiting > 0 || w.draining {
		return
	}
	for _, job := range w.jobs {
		for _, item := range job.items {
			if !item.running || !w.movePays(item, now) || !w.usualRoom(item, now) {
				continue
			}
			event.ItemMoved.Log(w.Logger).Str("job", string(job.header.ID)).Str("item", string(item.item.ID)).Str("runner", string(item.runner)).
				Int64("last_event", item.lastEvent).Dur("ran_ms", now.Sub(item.started)).Send()
			item.cancel()
			return
		}
	}
}

// movePays says whether an item would clearly be done sooner at a runner of the usual pace. The caller holds the mutex.
func (w *Worker) movePays(item *itemRun, now time.Time) bool {
	if w.events <= 0 {
		return false
	}
	done := float64(item.lastEvent-item.resumed) / w.events
	usually := time.Duration(done * float64(w.duration))
	return pace.MovePays(now.Sub(item.started), usually, w.remaining(item), w.Runners.Pace(item.runner, now))
}

// usualRoom says whether the next run of an item would begin at a runner of the usual pace. The caller holds the mutex.
func (w *Worker) usualRoom(item *itemRun, now time.Time) bool {
	runner, known := w.Runners.Runner(item.runner)
	if !known {
		return false
	}
	best, found := w.roomiestOf(w.owned(runner.Service), item.avoid, now)
	return found && best != item.runner && w.Runners.Pace(best, now) < pace.Slow
}
