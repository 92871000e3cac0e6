package schedule

import (
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/inference"
)

// overloadFactor limits a runner's online work to a multiple of the sequences it can run at once. A factor above one lets
// some requests queue in the engine; the limit keeps that queue short, so that goodput does not drop under overload.
const overloadFactor = 1.15

// filter returns the runners that may take the request, or a refusal if there is none. The refusal states the reason of
// the latest check that any runner reached, because it describes the obstacle closest to success.
func filter(snapshot *Snapshot, request *inference.Request, now time.Time, options Options) ([]Candidate, *Refusal) {
	candidates := make([]Candidate, 0, len(snapshot.Runners))
	reason := ReasonNoRunner
	for index := range snapshot.Runners {
		runner := &snapshot.Runners[index]
		rejection := rejectionReason(runner, request, now, options)
		if rejection == 0 {
			candidates = append(candidates, Candidate{Runner: runner.ID, index: index})
			continue
		}
		reason = max(reason, rejection)
	}
	if len(candidates) == 0 {
		return nil, refuse(reason)
	}
	return preferAdapter(snapshot, request, candidates), nil
}

// rejectionReason returns why the runner may not take the request, or zero if it may.
func rejectionReason(runner *Runner, request *inference.Request, now time.Time, options Options) Reason {
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
	return capacity > 0 && runner.online(now) >= onlineLimit(capacity)
}

// onlineLimit returns the limit of online work on a runner of the given capacity, in requests.
func onlineLimit(capacity float64) float64 { return max(1, capacity*overloadFactor) }

// OnlineLimit returns the limit of online requests on the runner, or zero if it accepts none or its capacity is unknown.
func (r *Runner) OnlineLimit() float64 {
	capacity := r.capacity()
	if r.Leaving || r.Ejected || capacity == 0 {
		return 0
	}
	return onlineLimit(capacity)
}

// preferAdapter returns only the candidates that have the request's adapter loaded, or all of them if none has. Reports
// lag, so a runner may have loaded the adapter since; one that has not refuses the request without running it.
func preferAdapter(snapshot *Snapshot, request *inference.Request, candidates []Candidate) []Candidate {
	if request.Adapter == "" {
		return candidates
	}
	hasLoaded := func(candidate Candidate) bool {
		return snapshot.Runners[candidate.index].hasAdapter(request.Adapter)
	}
	if !slices.ContainsFunc(candidates, hasLoaded) {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(candidate Candidate) bool { return !hasLoaded(candidate) })
}
