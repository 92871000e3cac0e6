package jobworker

import (
	"time"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/orphans"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

// orphanState is what a worker knows of orphaned runs at its runners: runs that no living node accounts for after a
// simultaneous restart of all nodes. The worker's mutex guards it. The zero value looks for none.
type orphanState struct {
	watch  orphans.Watch
	ration orphans.Ration
	// polling are the runners with an orphan poll in flight, beside the usual reports.
	polling map[ident.Incarnation]bool
	counts  map[ident.Incarnation]*orphans.Count
	// reports counts the reports read; unsettled is how many owned runners were not read, or had orphans, in the last
	// round.
	reports, unsettled int
	// foundLogged is set when the findings were logged, goneLogged when it was logged that there are no orphans any more.
	foundLogged, goneLogged bool
}

// observeAge records the age of a node that reports its work. A node that started before the supposed restart of all nodes
// shows that there was none, because it accounts for its runs.
func (s *orphanState) observeAge(report *demand.Report, now time.Time) {
	if !s.watch.RecordUptime(report.Age(), now) {
		*s = orphanState{}
	}
}

// subtractKnown subtracts the requests in a node's first report from the orphans, as far as they were sent before the
// runners were read.
func (s *orphanState) subtractKnown(report *demand.Report, now time.Time) {
	if !s.watch.Open(now) {
		return
	}
	for _, reported := range report.Counts {
		if reported.Old <= 0 {
			continue
		}
		count := s.counts[reported.Runner]
		if count == nil {
			count = s.addCount(reported.Runner)
		}
		count.AddLateReported(min(reported.Old, reported.Online), now)
	}
}

// recordReport records a runner's report.
func (s *orphanState) recordReport(id ident.Incarnation, load work.Load, now time.Time) {
	if count := s.counts[id]; count != nil && s.watch.Open(now) {
		count.RecordReading(load.Running+load.Waiting, now)
		s.reports++
	}
}

// runsAt returns how many orphans a runner has.
func (s *orphanState) runsAt(id ident.Incarnation, now time.Time) int {
	if count := s.counts[id]; count != nil && s.watch.Open(now) {
		return count.Runs(now)
	}
	return 0
}

// unknown reports whether the load of a runner is unknown because this node has just started: all its slots may be taken.
func (s *orphanState) unknown(id ident.Incarnation, now time.Time) bool {
	count := s.counts[id]
	return s.watch.Settling(now) && (count == nil || !count.WasRead())
}

// startupFraction of the free slots is used for items while nodes that have just started have not reported their work; the
// rest is for requests, which arrive at once. Items cannot wait for all reports, because those of the jobs in progress
// have already lost time.
const startupFraction = 0.5

// limitFree returns how many more items may start at a runner with a number of free slots.
func (s *orphanState) limitFree(id ident.Incarnation, free int, now time.Time) int {
	switch {
	case s.unknown(id, now):
		return 0
	case s.watch.Settling(now) && s.unsettled > 0:
		return int(startupFraction * float64(free))
	}
	return free
}

// updateOrphans records the known work at the owned runners, to be compared with their reports. The caller must hold the
// mutex.
func (w *Worker) updateOrphans(now time.Time) {
	orphanRuns := &w.orphanRuns
	if !orphanRuns.watch.Open(now) {
		return
	}
	owned := w.allOwned()
	runs, read := 0, 0
	orphanRuns.unsettled = max(len(owned), 1)
	for _, runner := range owned {
		count := orphanRuns.counts[runner.ID]
		if count == nil {
			count = orphanRuns.addCount(runner.ID)
		}
		w.recordAccounted(runner.ID, now)
		runs += count.Runs(now)
		if count.WasRead() {
			read++
		}
		if count.Ended() {
			orphanRuns.unsettled--
		}
	}
	orphanRuns.logState(w.Logger, orphanFigures{
		runners: len(owned), read: read, runs: runs, age: now.Sub(w.started),
	}, orphanRuns.watch.Settling(now))
}

// recordAccounted records the known work at a runner after a change of it, if the runner has a count of orphans. A lent slot
// counts only if the borrower has an item there: an idle one would look like an orphaned run that ended. The caller must
// hold the mutex.
func (w *Worker) recordAccounted(id ident.Incarnation, now time.Time) {
	if count := w.orphanRuns.counts[id]; count != nil && w.orphanRuns.watch.Open(now) {
		count.RecordAccounted(w.demand.Online(id, "", now)+w.knownItems(id, now), now)
	}
}

// knownItems returns the items known to run at a runner: this node's, and those of borrowers as of their last requests. The
// caller must hold the mutex.
func (w *Worker) knownItems(id ident.Incarnation, now time.Time) int {
	_, borrowersItems := w.lent.LentAt(id, now)
	return w.Runners.Own(id, runnertable.Batch) + borrowersItems
}

// recordOrphanReading records a runner's report. Requests of nodes that have not reported since the moment that it shows may
// have ended before, and are not accounted for. The caller must hold the mutex.
func (w *Worker) recordOrphanReading(id ident.Incarnation, load work.Load, now time.Time) {
	if count := w.orphanRuns.counts[id]; count != nil && w.orphanRuns.watch.Open(now) {
		count.RecordAccounted(w.demand.OnlineSince(id, now.Add(-reportDelay))+w.knownItems(id, now), now)
	}
	w.orphanRuns.recordReport(id, load, now)
	w.recordAccounted(id, now)
}

func (s *orphanState) addCount(id ident.Incarnation) *orphans.Count {
	if s.counts == nil {
		s.counts = map[ident.Incarnation]*orphans.Count{}
	}
	s.counts[id] = &orphans.Count{}
	return s.counts[id]
}

// orphanedRunners returns the owned runners whose reports are read because they may have orphans. The caller must hold the
// mutex.
func (w *Worker) orphanedRunners(now time.Time) []work.Runner {
	if !w.orphanRuns.watch.Open(now) {
		return nil
	}
	var found []work.Runner
	for _, runner := range w.allOwned() {
		if count := w.orphanRuns.counts[runner.ID]; count != nil && !count.Ended() {
			found = append(found, runner)
		}
	}
	return found
}

// orphanFigures are the logged figures: the owned runners, how many of them were read, their orphans, and the age of this
// process.
type orphanFigures struct {
	runners, read, runs int
	age                 time.Duration
}

// logState logs what was found, once all runners were read or the time for it is over, and when the orphans are gone.
func (s *orphanState) logState(logger zerolog.Logger, figures orphanFigures, settling bool) {
	allRead := figures.runners > 0 && figures.read == figures.runners
	if !s.foundLogged && (allRead || !settling) {
		s.foundLogged, s.goneLogged = true, figures.runs == 0
		event.OrphansFound.Log(logger).Int("runners", figures.runners).Int("read", figures.read).
			Int("runs", figures.runs).Int64("age_ms", figures.age.Milliseconds()).Send()
	}
	if s.foundLogged && !s.goneLogged && figures.runs == 0 {
		s.goneLogged = true
		event.OrphansGone.Log(logger).Int("readings", s.reports).Int64("age_ms", figures.age.Milliseconds()).Send()
	}
}
