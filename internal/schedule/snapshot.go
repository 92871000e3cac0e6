// Package schedule chooses the runner for a request. From a snapshot of the runners, the request, the time and a random
// source it computes an ordered list of candidates or a typed refusal, in three stages: filter, score and pick. It also
// keeps the history of prompt blocks sent to runners, from which callers estimate prefix cache hits. It does no I/O.
package schedule

import (
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// Snapshot is one dispatcher's view of the runners at the time of a decision. It may be stale and incomplete.
type Snapshot struct {
	// Zone is the dispatcher's own zone.
	Zone ident.Zone
	// Distance is the one-way delay in milliseconds from Zone to other zones.
	Distance map[ident.Zone]float64
	// Runners are the runners that may be chosen.
	Runners []Runner
}

// Runner is a dispatcher's view of one runner.
type Runner struct {
	ID   ident.Runner
	Zone ident.Zone
	// Leaving is true once any source reported that the runner accepts no new work.
	Leaving bool
	// Ejected is true while the runner is excluded because of its failures.
	Ejected bool
	// SlowStart is the share of its capacity that a new or recovered runner may use, greater than 0 and at most 1.
	SlowStart float64
	// BusyUntil is the end of the pause that the runner requested when it refused work; zero means none.
	BusyUntil time.Time
	// OwnInFlight counts this dispatcher's online requests in flight on the runner.
	OwnInFlight int
	// PeersInFlight counts the online requests in flight on the runner that other dispatchers reported.
	PeersInFlight int
	// SinceReport is the change of the sum of the two counts since the report was measured.
	SinceReport int
	// Report is the newest load report, or nil if none was received. It must not be modified.
	Report *engine.LoadReport
	// PrefixBlocks counts the leading blocks of the request's prompt that the runner probably has in its cache.
	PrefixBlocks int
	// imbalanced is true if the runner has much more online work than the mean of its zone; see markImbalanced.
	imbalanced bool
}

// reportAge returns the age of the runner's report, or false if there is none.
func (r *Runner) reportAge(now time.Time) (time.Duration, bool) {
	if r.Report == nil {
		return 0, false
	}
	return max(0, now.Sub(r.Report.Measured)), true
}

// capacity returns the number of sequences the runner may run at once, at least one, or zero if it is unknown.
func (r *Runner) capacity() float64 {
	if r.Report == nil || r.Report.MaxSequences <= 0 {
		return 0
	}
	return max(1, float64(r.Report.MaxSequences)*r.SlowStart)
}

// knownOnline returns the number of online requests that dispatchers have in flight on the runner, without its report.
func (r *Runner) knownOnline() float64 { return float64(r.OwnInFlight + r.PeersInFlight) }

// online estimates the online sequences running or waiting on the runner: the report plus the changes since it was
// measured, and at least the known requests in flight. Without the changes a runner whose requests have ended would count
// as full until its next report and be left underused.
func (r *Runner) online(now time.Time) float64 {
	known := r.knownOnline()
	age, reported := r.reportAge(now)
	if !reported || age > maxReportAge {
		return known
	}
	return max(known, float64(r.Report.RunningOnline+r.Report.WaitingOnline+r.SinceReport))
}

// hasModel reports whether the runner had the model loaded at its last report.
func (r *Runner) hasModel(model string) bool {
	return r.Report != nil && slices.ContainsFunc(r.Report.Models, func(loaded engine.LoadedModel) bool {
		return loaded.Name == model
	})
}

// hasAdapter reports whether the runner had the adapter loaded at its last report.
func (r *Runner) hasAdapter(adapter string) bool {
	return r.Report != nil && slices.Contains(r.Report.Adapters, adapter)
}
