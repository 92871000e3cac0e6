// Package schedule decides which runner takes a request. It is pure: a snapshot, a request, the time and a source of
// randomness go in; an ordered list of candidates or a typed refusal comes out. The pipeline is filter, score, pick.
package schedule

import (
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// Snapshot is what one dispatcher knows at the time of one decision. It may be stale and incomplete.
type Snapshot struct {
	// Zone is the dispatcher's own zone.
	Zone ident.Zone
	// Distance is the one-way delay in milliseconds from Zone to other zones.
	Distance map[ident.Zone]float64
	// Runners are the runners to choose from.
	Runners []Runner
}

// Runner is what a dispatcher knows of one runner.
type Runner struct {
	ID   ident.Runner
	Zone ident.Zone
	// Leaving is true once any source said that the runner takes no new work.
	Leaving bool
	// Ejected is true while the runner's failures keep it out of use.
	Ejected bool
	// SlowStart is the share of its capacity a fresh or recovered runner may use, above 0 to 1.
	SlowStart float64
	// BusyUntil is the end of a pause the runner asked for by refusing work; zero means none.
	BusyUntil time.Time
	// OwnInFlight counts online requests this dispatcher has on the runner.
	OwnInFlight int
	// PeersInFlight counts online requests other dispatchers have told of.
	PeersInFlight int
	// SinceReport is by how much the two counts have changed since the report was measured.
	SinceReport int
	// Report is the newest load report, or nil if none was ever seen. It must not be changed.
	Report *engine.LoadReport
	// PrefixBlocks counts the leading blocks of the request's prompt that the runner probably has in its cache.
	PrefixBlocks int
}

// reportAge returns the age of the runner's report, or false if there is none.
func (r *Runner) reportAge(now time.Time) (time.Duration, bool) {
	if r.Report == nil {
		return 0, false
	}
	return max(0, now.Sub(r.Report.Measured)), true
}

// capacity returns the number of sequences the runner may run at once, at least one, or zero if it is not known.
func (r *Runner) capacity() float64 {
	if r.Report == nil || r.Report.MaxSequences <= 0 {
		return 0
	}
	return max(1, float64(r.Report.MaxSequences)*r.SlowStart)
}

// knownOnline returns the online requests known to be on the runner without its report.
func (r *Runner) knownOnline() float64 { return float64(r.OwnInFlight + r.PeersInFlight) }

// online returns the best estimate of online sequences running or waiting on the runner: the report with the known
// changes since. Without them a runner that was full would look full for as long as reports lag, and stand half empty.
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
