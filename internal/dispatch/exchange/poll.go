package exchange

import (
	"cmp"
	"context"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/dispatch"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
)

const (
	// minTick and maxTick limit the interval at which the frequently polled runners are checked. All runners are checked at
	// fullCheckInterval, because a check of 880 runners (the design size) takes 0.3 ms.
	minTick           = 25 * time.Millisecond
	maxTick           = 100 * time.Millisecond
	fullCheckInterval = time.Second
	// maxPolls limits the polls in flight.
	maxPolls = 32
	// pollTimeout limits one poll.
	pollTimeout = 2 * time.Second
)

// pollPlan decides which runners are polled for their load. It does no I/O.
type pollPlan struct {
	intervals Intervals
	polling   map[ident.Runner]bool
	last      map[ident.Runner]time.Time
}

func newPollPlan(intervals Intervals) pollPlan {
	return pollPlan{intervals: intervals, polling: map[ident.Runner]bool{}, last: map[ident.Runner]time.Time{}}
}

// due returns the runners to poll now, those of the own zone first.
func (p *pollPlan) due(views []dispatch.RunnerView, zone ident.Zone, owns func(ident.Runner) (own, ownerless bool), now time.Time) []ident.Runner {
	var wanted []dispatch.RunnerView
	for _, view := range views {
		if !p.polling[view.ID] && p.isDue(&view, zone, owns, now) {
			wanted = append(wanted, view)
		}
	}
	slices.SortStableFunc(wanted, func(a, b dispatch.RunnerView) int {
		return cmp.Compare(rank(a.Zone == zone), rank(b.Zone == zone))
	})
	var chosen []ident.Runner
	for _, view := range wanted[:min(len(wanted), max(0, maxPolls-len(p.polling)))] {
		p.polling[view.ID] = true
		p.last[view.ID] = now
		chosen = append(chosen, view.ID)
	}
	return chosen
}

// rank returns 0 if first is true and 1 if not.
func rank(first bool) int {
	if first {
		return 0
	}
	return 1
}

// polledFrequently returns the runners that are polled at PollOwned or may be polled before the next full check.
func (p *pollPlan) polledFrequently(views []dispatch.RunnerView, zone ident.Zone, owns func(ident.Runner) (own, ownerless bool)) []ident.Runner {
	var frequent []ident.Runner
	for _, view := range views {
		own, ownerless := owns(view.ID)
		if own || view.Ejected || (view.Zone == zone && (ownerless || view.Report == nil)) {
			frequent = append(frequent, view.ID)
		}
	}
	return frequent
}

// isDue reports whether the runner is to be polled by the age of its report and the time since its last poll.
func (p *pollPlan) isDue(view *dispatch.RunnerView, zone ident.Zone, owns func(ident.Runner) (own, ownerless bool), now time.Time) bool {
	since := now.Sub(p.last[view.ID])
	own, ownerless := owns(view.ID)
	if own || view.ProbeDue || (ownerless && view.Zone == zone) {
		return since >= p.intervals.PollOwned
	}
	if view.Report == nil {
		return p.firstIsDue(view, zone, now)
	}
	stale := p.intervals.StaleFar
	if view.Zone == zone {
		stale = p.intervals.StaleNear
	}
	return view.ReportAge >= stale && since >= stale
}

const (
	// retryUnknownNear and retryUnknownFar are the intervals of polls of a runner that this node does not own and has no
	// report of, in the same and in other zones.
	retryUnknownNear = time.Second
	retryUnknownFar  = 15 * time.Second
)

// firstIsDue reports whether a runner without a report is to be polled. Runners of other zones are first polled after
// retryUnknownFar, so that their owners can share the reports. Otherwise every node would poll every runner when the fleet
// starts.
func (p *pollPlan) firstIsDue(view *dispatch.RunnerView, zone ident.Zone, now time.Time) bool {
	last, polled := p.last[view.ID]
	if view.Zone == zone {
		return now.Sub(last) >= retryUnknownNear
	}
	if !polled {
		p.last[view.ID] = now
		return false
	}
	return now.Sub(last) >= retryUnknownFar
}

// removeUnlisted removes the runners that are no longer listed.
func (p *pollPlan) removeUnlisted(views []dispatch.RunnerView) {
	if len(p.last) <= len(views) {
		return
	}
	listed := map[ident.Runner]bool{}
	for _, view := range views {
		listed[view.ID] = true
	}
	for runner := range p.last {
		if !listed[runner] {
			delete(p.last, runner)
		}
	}
}

// periodicLoop polls runners and shares their states.
func (e *Exchange) periodicLoop() error {
	ticker := time.NewTicker(e.core.TickInterval())
	defer ticker.Stop()
	for {
		select {
		case <-e.tomb.Dying():
			return nil
		case <-ticker.C:
		}
		e.runDue()
	}
}

// runDue sends the shares and polls that are due.
func (e *Exchange) runDue() {
	e.mutex.Lock()
	shares, polls := e.core.Due(e.config.Now())
	e.mutex.Unlock()
	for _, share := range shares {
		e.tomb.Go(func() error {
			e.share(share)
			return nil
		})
	}
	for _, runner := range polls {
		e.tomb.Go(func() error {
			e.poll(runner)
			return nil
		})
	}
}

// poll reads the load report of one runner, and of an owned runner also the changes of its cache. For an ejected runner the
// poll is the probe.
func (e *Exchange) poll(runner ident.Runner) {
	defer func() {
		e.mutex.Lock()
		e.core.Polled(runner)
		e.mutex.Unlock()
	}()
	target, found := e.config.Engines.Engine(runner)
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(e.tomb.Context(context.Background()), pollTimeout)
	defer cancel()
	report, err := target.Load(ctx)
	now := e.config.Now()
	e.metrics.polled(err)
	if e.config.Table.ObserveProbe(runner, now, err == nil) {
		event.RunnerRecovered.Log(e.config.Logger).Str("runner", string(runner)).Send()
	}
	if err != nil {
		e.pollFailed(runner, err, now)
		return
	}
	e.config.Table.ObserveReport(runner, report, now)
	if own, _ := e.core.owns(runner); own {
		e.updateCache(ctx, runner, target)
	}
}

// pollFailed records a failed poll as a failure of the runner, unless this node is stopping.
func (e *Exchange) pollFailed(runner ident.Runner, err error, now time.Time) {
	if e.tomb.Alive() && e.config.Table.ObserveFailure(runner, now) {
		event.RunnerEjected.Log(e.config.Logger).Str("runner", string(runner)).Err(err).Send()
	}
}
