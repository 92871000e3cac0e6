package runnertable

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/pace"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// directReportLifetime is how long a pace that a runner reported to this node directly is passed on: twice the
	// time of a lost call and the pause after it.
	directReportLifetime = 1500 * time.Millisecond
	// paceReporterLifetime is how long after the last direct report the runners of a service count as reporting their
	// pace.
	paceReporterLifetime = time.Minute
	// defaultFirstEvent is the typical time to the first event before any was measured.
	defaultFirstEvent = 60 * time.Millisecond
	// pauseCost is added for a runner that can't keep the maximum pause between events. It exceeds all other costs, so
	// that any other eligible runner is preferred.
	pauseCost = 1e5
	// recentShareAge is the age up to which an owner's report counts as recent; owners report every 50 ms to nodes
	// with work at their runners. staleShareCost is added for a runner with an older report, for the short queue that
	// may have built up there.
	recentShareAge = 150 * time.Millisecond
	staleShareCost = 2 * queueCost
)

// serviceTimings are the times that requests of a service take at the typical pace, as measured by this node.
type serviceTimings struct {
	// firstEvent and firstEventNoPrompt are the time to the first event of requests with and without a prompt, which
	// differ in the work they need.
	firstEvent, firstEventNoPrompt pace.Median
	// gap is the time between two events.
	gap pace.Median
	// paceReported is when a runner of this node's zone last reported its pace.
	paceReported time.Time
}

// firstEventTime returns the typical time to the first event of requests with or without a prompt.
func (s *serviceTimings) firstEventTime(hasPrompt bool) *pace.Median {
	if hasPrompt {
		return &s.firstEvent
	}
	return &s.firstEventNoPrompt
}

// SlowPhases counts slow phases of runners and the choices made during them.
type SlowPhases struct {
	// Begun and Ended are the numbers of slow phases that started and ended.
	Begun, Ended int
	// Chosen is the number of choices made while a runner of the service was slow, Slow the number of those that
	// selected a slow runner, and PauseExceeded the number that selected a runner that can't keep the maximum pause between
	// events.
	Chosen, Slow, PauseExceeded int
}

// timingsOf returns the timings of a service. The caller holds the mutex.
func (t *Table) timingsOf(service string) *serviceTimings {
	found := t.timings[service]
	if found == nil {
		found = &serviceTimings{}
		t.timings[service] = found
	}
	return found
}

// paceCost is the additional delay of the first event that is expected from the runner's pace, in milliseconds, and
// pauseCost if the runner can't keep the pause; zero at the typical pace. queuedMs is the time that a request spends
// at the runner, at the typical pace, before its own work starts.
func (t *Table) paceCost(candidate *entry, request PickRequest, queuedMs float64, now time.Time) float64 {
	at := candidate.pace.Current(now)
	if at <= 1 {
		return 0
	}
	timings := t.timingsOf(request.Service)
	first := timings.firstEventTime(request.PromptTokens > 0).Or(defaultFirstEvent) + time.Duration(queuedMs*float64(time.Millisecond))
	cost := milliseconds(pace.Cost(first, request.Objective, at))
	if !pace.MeetsPause(timings.gap.Or(0), request.Pause, at) {
		cost += pauseCost
	}
	return cost
}

func milliseconds(duration time.Duration) float64 { return duration.Seconds() * 1000 }

// updatePace stores a report of a runner's pace and says whether a slow phase started or ended with it. The caller
// holds the mutex.
func (t *Table) updatePace(known *entry, report pace.Report, direct bool, now time.Time) (changed bool) {
	changed = known.pace.Update(report, direct, now)
	switch {
	case !changed:
	case report.Pace >= pace.Slow:
		t.slowPhases.Begun++
	default:
		t.slowPhases.Ended++
	}
	return changed
}

// updatePaceFromRunner stores a pace that a runner reported to this node directly, so that it is passed on. The caller
// holds the mutex.
func (t *Table) updatePaceFromRunner(known *entry, reported work.Pace, now time.Time) {
	if !reported.Known() {
		return
	}
	if known.runner.Zone == t.zone {
		t.timingsOf(known.runner.Service).paceReported = now
	}
	known.directPace = pace.Report{Pace: reported, At: now}
	t.use(known)
	if t.updatePace(known, known.directPace, true, now) && t.onlineChanged != nil {
		t.onlineChanged(false)
	}
}

// observeEvent updates the timings of the service. The caller holds the mutex.
func (f *Flight) observeEvent(now time.Time) {
	timings, at := f.table.timingsOf(f.Runner.Service), f.entry.pace.Current(now)
	if f.succeeded {
		timings.gap.Observe(now.Sub(f.lastEvent), at)
	} else {
		timings.firstEventTime(f.hasPrompt).Observe(now.Sub(f.lastEvent), at)
	}
	f.lastEvent = now
}

// countChoice updates the slow-phase counters for the log. The caller holds the mutex.
func (t *Table) countChoice(chosen *entry, entries []*entry, request PickRequest, now time.Time) {
	slow := false
	for _, candidate := range entries {
		slow = slow || candidate.pace.Current(now) >= pace.Slow
	}
	if !slow {
		return
	}
	t.slowPhases.Chosen++
	at := chosen.pace.Current(now)
	if at >= pace.Slow {
		t.slowPhases.Slow++
	}
	if !pace.MeetsPause(t.timingsOf(request.Service).gap.Or(0), request.Pause, at) {
		t.slowPhases.PauseExceeded++
	}
}

// TakeSlowPhases returns and resets the counters, and returns the runners that are slow now.
func (t *Table) TakeSlowPhases(now time.Time) (counted SlowPhases, slow []string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for id, known := range t.runners {
		if known.pace.Current(now) >= pace.Slow {
			slow = append(slow, string(id))
		}
	}
	slices.Sort(slow)
	counted, t.slowPhases = t.slowPhases, SlowPhases{}
	return counted, slow
}

// staleCost is the cost added for a runner whose owner was polled before the choice and has no recent report.
func (e *entry) staleCost(request PickRequest, now time.Time) float64 {
	if request.OwnersPolled && !e.share.Within(recentShareAge, now) {
		return staleShareCost
	}
	return 0
}

// Candidates returns up to most runners that Pick would choose, best first. It starts no flight.
func (t *Table) Candidates(request PickRequest, most int, now time.Time, random *rand.Rand) []work.Runner {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	type priced struct {
		runner work.Runner
		cost   float64
	}
	pick := t.newPickContext(request, now, random)
	var found []priced
	for _, candidate := range pick.entries {
		if !pick.skips(candidate) && candidate.eligible(request, now) && !candidate.full(request, now) {
			found = append(found, priced{candidate.runner, t.cost(candidate, request, pick, now) + jitterCost*random.Float64()})
		}
	}
	slices.SortStableFunc(found, func(first, second priced) int { return cmp.Compare(first.cost, second.cost) })
	runners := make([]work.Runner, 0, most)
	for _, next := range found[:min(most, len(found))] {
		runners = append(runners, next.runner)
	}
	return runners
}

// ReportsPace says whether runners of a service in this node's zone report their pace.
func (t *Table) ReportsPace(service string, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	timings := t.timings[service]
	return timings != nil && !timings.paceReported.IsZero() && now.Sub(timings.paceReported) < paceReporterLifetime
}

// UpdatePaces stores the paces in another node's report, as of its arrival.
func (t *Table) UpdatePaces(counts []demand.Count, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, count := range counts {
		if known := t.runners[count.Runner]; known != nil {
			t.updatePace(known, pace.ReportFromAge(count.Pace, count.PaceAgeMs, now), false, now)
		}
	}
}

// Pace returns the pace that is expected of a runner, or the typical one, 1, if it is unknown.
func (t *Table) Pace(id ident.Incarnation, now time.Time) work.Pace {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.runners[id]; known != nil {
		return known.pace.Current(now)
	}
	return 1
}

// AddPaceUpdate adds the latest pace of a runner to the share that its owner sends to another node, if that node needs it.
// The node already has everything the owner knew at since.
func (t *Table) AddPaceUpdate(share *demand.Share, since, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.runners[share.Runner]
	if known == nil {
		return
	}
	if report, changed := known.pace.ChangedSince(since, now); changed {
		share.Pace, share.PaceAgeMs = report.Pace, max(now.Sub(report.At).Milliseconds(), 0)
	}
}
