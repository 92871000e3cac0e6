package schedule

import (
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/inference"
)

// overloadFactor bounds a runner's online work as a multiple of the sequences it can run at once. Above one, some
// requests wait on the engine; the bound keeps that wait short, so that goodput does not fall under overload.
const overloadFactor = 1.15

// filter returns the runners that may take the request, or why there is none. A later stage's reason is the better
// explanation, because the runner got further.
func filter(snapshot *Snapshot, request *inference.Request, now time.Time, options Options) ([]Candidate, *Refusal) {
	candidates := make([]Candidate, 0, len(snapshot.Runners))
	reason := ReasonNoRunner
	for index := range snapshot.Runners {
		runner := &snapshot.Runners[index]
		found := check(runner, request, now, options)
		if found == 0 {
			candidates = append(candidates, Candidate{Runner: runner.ID, index: index})
			continue
		}
		reason = max(reason, found)
	}
	if len(candidates) == 0 {
		return nil, refuse(reason)
	}
	return preferAdapter(snapshot, request, candidates), nil
}

// check returns why a runner may not take the request, or zero.
func check(runner *Runner, request *inference.Request, now time.Time, options Options) Reason {
	switch {
	case !runner.hasModel(request.Model):
		return ReasonNoRunner
	case len(options.AllowedZones) > 0 && !slices.Contains(options.AllowedZones, runner.Zone):
		return ReasonNoRunner
	case runner.Leaving:
		return ReasonLeaving
	case runner.Ejected:
		return ReasonUnhealthy
	case options.Exclude != nil && options.Exclude(runner.ID):
		return ReasonUnhealthy
	case now.Before(runner.BusyUntil) || overloaded(runner, now):
		return ReasonOverloaded
	case !feasible(runner, request, now):
		return ReasonDeadline
	}
	return 0
}

func overloaded(runner *Runner, now time.Time) bool {
	capacity := runner.capacity()
	return capacity > 0 && runner.online(now) >= takes(capacity)
}

func takes(capacity float64) float64 { return max(1, capacity*overloadFactor) }

// Takes returns how many online requests the runner takes at once, or zero if it takes none or that is not known.
func (r *Runner) Takes() float64 {
	capacity := r.capacity()
	if r.Leaving || r.Ejected || capacity == 0 {
		return 0
	}
	return takes(capacity)
}

// preferAdapter keeps only runners that have the request's adapter, if any has. If none has, all stay: the reports
// lag, and a runner without the adapter refuses the request without running it.
func preferAdapter(snapshot *Snapshot, request *inference.Request, candidates []Candidate) []Candidate {
	if request.Adapter == "" {
		return candidates
	}
	hasIt := func(candidate Candidate) bool {
		return snapshot.Runners[candidate.index].hasAdapter(request.Adapter)
	}
	if !slices.ContainsFunc(candidates, hasIt) {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(candidate Candidate) bool { return !hasIt(candidate) })
}
