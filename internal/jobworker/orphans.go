package jobworker

import (
	"time"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/orphans"
	"mallowlatch.example/mallowlatch/internal/work"
)

// commonLoss is what a worker knows of the runs at its runners that no living node tells of, after all nodes lost their power. The
// worker's mutex guards it. The zero commonLoss looks for none.
type commonLoss struct {
	watch  orphans.Watch
	ration orphans.Ration
	// reading are the runners of which a reading beside the usual ones is on its way.
	reading map[ident.Incarnation]bool
	counts  map[ident.Incarnation]*orphans.Count
	// readings counts those made; unsettled is how many owned runners were not read, or had orphans, in the last round.
	readings, unsettled int
	// found says that the log was told what was found, gone that it was told that there are none any more.
	found, gone bool
}

// heard notes how long a node that tells of its work has lived. One that has lived longer than the common loss knows what the
// runners have: then there was none.
func (l *commonLoss) heard(report *demand.Report, now time.Time) {
	if !l.watch.Heard(report.Age(), now) {
		*l = commonLoss{}
	}
}

// heardFirst takes requests of a node that tells for the first time out of the orphans, as far as they were sent before the runners were
// read.
func (l *commonLoss) heardFirst(report *demand.Report, now time.Time) {
	if !l.watch.Open(now) {
		return
	}
	for _, told := range report.Counts {
		if told.Old <= 0 {
			continue
		}
		count := l.counts[told.Runner]
		if count == nil {
			count = l.add(told.Runner)
		}
		count.Learn(min(told.Old, told.Online), now)
	}
}

// read takes in the report of a runner.
func (l *commonLoss) read(id ident.Incarnation, load work.Load, now time.Time) {
	if count := l.counts[id]; count != nil && l.watch.Open(now) {
		count.Read(load.Running+load.Waiting, now)
		l.readings++
	}
}

// at is how many orphans a runner has.
func (l *commonLoss) at(id ident.Incarnation, now time.Time) int {
	if count := l.counts[id]; count != nil && l.watch.Open(now) {
		return count.Runs(now)
	}
	return 0
}

// unread says whether nothing is known of a runner, and told of it, because this node has just started: its places may all be taken.
func (l *commonLoss) unread(id ident.Incarnation, now time.Time) bool {
	count := l.counts[id]
	return l.watch.Settling(now) && (count == nil || !count.WasRead())
}

// startShare of the room for items is used while nodes that have just started have not told of their work: the rest is for requests,
// which are there at once. Items can't wait for all of them: those of the jobs in progress have lost time already.
const startShare = 0.5

// roomFor is how many items more may begin at a runner that has room for some.
func (l *commonLoss) roomFor(id ident.Incarnation, room int, now time.Time) int {
	switch {
	case l.unread(id, now):
		return 0
	case l.watch.Settling(now) && l.unsettled > 0:
		return int(startShare * float64(room))
	}
	return room
}

// followOrphans notes the work at the owned runners that is known of, so that their reports can be held against it. The caller
// holds the mutex.
func (w *Worker) followOrphans(now time.Time) {
	loss := &w.loss
	if !loss.watch.Open(now) {
		return
	}
	owned := w.allOwned(now)
	runs, read := 0, 0
	loss.unsettled = max(len(owned), 1)
	for _, runner := range owned {
		count := loss.counts[runner.ID]
		if count == nil {
			count = loss.add(runner.ID)
		}
		count.Know(w.demand.Online(runner.ID, "", now)+w.batchAt(runner.ID, now), now)
		runs += count.Runs(now)
		if count.WasRead() {
			read++
		}
		if count.Gone() {
			loss.unsettled--
		}
	}
	loss.tell(w.Logger, lossFigures{runners: len(owned), read: read, runs: runs, age: now.Sub(w.started)}, loss.watch.Settling(now))
}

func (l *commonLoss) add(id ident.Incarnation) *orphans.Count {
	if l.counts == nil {
		l.counts = map[ident.Incarnation]*orphans.Count{}
	}
	l.counts[id] = &orphans.Count{}
	return l.counts[id]
}

// orphaned returns the owned runners whose reports are read because they may have orphans. The caller holds the mutex.
func (w *Worker) orphaned(now time.Time) []work.Runner {
	if !w.loss.watch.Open(now) {
		return nil
	}
	var found []work.Runner
	for _, runner := range w.allOwned(now) {
		if count := w.loss.counts[runner.ID]; count != nil && !count.Gone() {
			found = append(found, runner)
		}
	}
	return found
}

// lossFigures are those of the log: the owned runners, how many of them were read, their orphans, and the age of this process.
type lossFigures struct {
	runners, read, runs int
	age                 time.Duration
}

// tell writes what was found, once all runners were read or the time for it is over, and that the orphans are gone.
func (l *commonLoss) tell(logger zerolog.Logger, figures lossFigures, settling bool) {
	whole := figures.runners > 0 && figures.read == figures.runners
	if !l.found && (whole || !settling) {
		l.found, l.gone = true, figures.runs == 0
		event.OrphansFound.Log(logger).Int("runners", figures.runners).Int("read", figures.read).
			Int("runs", figures.runs).Int64("age_ms", figures.age.Milliseconds()).Send()
	}
	if l.found && !l.gone && figures.runs == 0 {
		l.gone = true
		event.OrphansGone.Log(logger).Int("readings", l.readings).Int64("age_ms", figures.age.Milliseconds()).Send()
	}
}
