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
	// PlanTick and longestTick bound how often the runners this node polls often are looked at, and wholeTick is how often
	// all are: a look at the 880 runners of the design size takes 0.3 ms.
	PlanTick    = 25 * time.Millisecond
	longestTick = 100 * time.Millisecond
	wholeTick   = time.Second
	// maxPolls bounds the load requests on their way at once.
	maxPolls = 32
	// pollTimeout bounds one load request.
	pollTimeout = 2 * time.Second
)

// pollPlan decides which runners are asked for their load. It is pure but for its own state.
type pollPlan struct {
	intervals Intervals
	polling   map[ident.Runner]bool
	last      map[ident.Runner]time.Time
}

func newPollPlan(intervals Intervals) pollPlan {
	return pollPlan{intervals: intervals, polling: map[ident.Runner]bool{}, last: map[ident.Runner]time.Time{}}
}

// due returns the runners to ask now, those of the own zone first.
func (p *pollPlan) due(views []dispatch.RunnerView, zone ident.Zone, owns func(ident.Runner) (own, ownerless bool), now time.Time) []ident.Runner {
	var wanted []dispatch.RunnerView
	for _, view := range views {
		if !p.polling[view.ID] && p.wants(&view, zone, owns, now) {
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

func rank(first bool) int {
	if first {
		return 0
	}
	return 1
}

// polledOften returns the runners that are asked every PollOwned, or may soon be.
func (p *pollPlan) polledOften(views []dispatch.RunnerView, zone ident.Zone, owns func(ident.Runner) (own, ownerless bool)) []ident.Runner {
	var often []ident.Runner
	for _, view := range views {
		own, ownerless := owns(view.ID)
		if own || view.Ejected || (view.Zone == zone && (ownerless || view.Report == nil)) {
			often = append(often, view.ID)
		}
	}
	return often
}

// wants reports whether a runner's report is older than this node may let it be.
func (p *pollPlan) wants(view *dispatch.RunnerView, zone ident.Zone, owns func(ident.Runner) (own, ownerless bool), now time.Time) bool {
	since := now.Sub(p.last[view.ID])
	own, ownerless := owns(view.ID)
	if own || view.ProbeDue || (ownerless && view.Zone == zone) {
		return since >= p.intervals.PollOwned
	}
	if view.Report == nil {
		return p.wantsFirst(view, zone, now)
	}
	stale := p.intervals.StaleFar
	if view.Zone == zone {
		stale = p.intervals.StaleNear
	}
	return view.ReportAge >= stale && since >= stale
}

const (
	// retryUnknownNear and retryUnknownFar are the times between tries to get the first report of a runner this node does
	// not own.
	retryUnknownNear = time.Second
	retryUnknownFar  = 15 * time.Second
)

// wantsFirst reports whether a runner of which there is no report is to be asked. Those of other zones are given the time in
// which their owners share, else each start of the fleet would have every node ask every runner.
func (p *pollPlan) wantsFirst(view *dispatch.RunnerView, zone ident.Zone, now time.Time) bool {
	last, asked := p.last[view.ID]
	if view.Zone == zone {
		return now.Sub(last) >= retryUnknownNear
	}
	if !asked {
		p.last[view.ID] = now
		return false
	}
	return now.Sub(last) >= retryUnknownFar
}

// forget drops the runners that are listed no more.
func (p *pollPlan) forget(views []dispatch.RunnerView) {
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
	ticker := time.NewTicker(e.core.Tick())
	defer ticker.Stop()
	for {
		select {
		case <-e.tomb.Dying():
			return nil
		case <-ticker.C:
		}
		e.look()
	}
}

// look sends the shares and polls that are due.
func (e *Exchange) look() {
	e.mutex.Lock()
	shares, polls := e.core.Look(e.config.Now())
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

// poll asks one runner for its load. For an ejected runner this is the probe.
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
		e.followCache(ctx, runner, target)
	}
}

// pollFailed counts a failed poll against the runner, unless this node is stopping.
func (e *Exchange) pollFailed(runner ident.Runner, err error, now time.Time) {
	if e.tomb.Alive() && e.config.Table.ObserveFailure(runner, now) {
		event.RunnerEjected.Log(e.config.Logger).Str("runner", string(runner)).Err(err).Send()
	}
}
