// Package pace estimates the current pace of a runner, that is, how long work takes there relative to its typical
// speed, and what the pace means for a request. Runners that share machines slow down and recover with their
// neighbours, mostly within a second, sometimes after many. A runner reports its pace in the head of a response, to
// this node or to another one. The package is pure: times are arguments.
package pace

import (
	"math"
	"time"

	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// halfLife is the time in which half of a runner's slowness decays without a new report. The median slow phase
	// lasts 0.7 s.
	halfLife = 700 * time.Millisecond
	// refreshAfter is how much newer a report with the same pace has to be to be passed on: within this time, the
	// estimates of other nodes decay by less than a fifth of the slowness.
	refreshAfter = 200 * time.Millisecond
	// ReportLifetime is how long a report is used, the length of a long slow phase. An eighth of the slowness is left
	// at its end.
	ReportLifetime = 3 * halfLife
)

// Slow is the pace from which a runner counts as slow in slow phases and metrics. Smaller differences are noise of a
// machine in use.
const Slow work.Pace = 1.25

// Report is a pace reported by a runner, and when, by the clock of the node that stores it.
type Report struct {
	Pace work.Pace
	At   time.Time
}

// ReportFromAge returns a report of another node whose age counts from a time on this node's clock.
func ReportFromAge(pace work.Pace, ageMs int64, asOf time.Time) Report {
	return Report{Pace: pace, At: asOf.Add(-time.Duration(max(ageMs, 0)) * time.Millisecond)}
}

// Estimate is a node's view of one runner's pace. The zero value has no report and returns the typical pace.
type Estimate struct {
	report Report
	// direct says that the runner reported to this node itself.
	direct bool
	// staleUntil is until when some node may still use a report of a slow phase that is over.
	staleUntil time.Time
	// passedOn is the latest report that is worth passing on, and passedOnAt when it was received.
	passedOn   Report
	passedOnAt time.Time
}

// Update stores a report received now, and says whether a slow phase started or ended with it. The latest report
// counts, whoever received it; of two with the same time the slower one, so that nodes that get both in any order
// agree.
func (e *Estimate) Update(report Report, direct bool, now time.Time) (changed bool) {
	if !report.Pace.Known() || !e.olderThan(report) {
		return false
	}
	wasSlow := e.slowAt(report.At)
	if e.slow() {
		e.staleUntil = e.expiry()
	}
	e.report, e.direct = report, direct
	changed = wasSlow != e.slow()
	if changed || e.worthPassingOn() {
		e.passedOn, e.passedOnAt = report, now
	}
	return changed
}

// worthPassingOn says whether a node that has the report passed on last needs the latest one: not if both are of the
// typical pace.
func (e *Estimate) worthPassingOn() bool {
	differs := math.Abs(float64(e.report.Pace-e.passedOn.Pace)) > float64(e.passedOn.Pace)*sameWithin
	return differs || e.slow() && e.report.At.Sub(e.passedOn.At) >= refreshAfter
}

// overlap is how long before a response a report may have been received that the response lacks, because both were
// handled at the same time.
const overlap = 20 * time.Millisecond

// sameWithin is the relative difference up to which two paces count as the same.
const sameWithin = 0.2

func (e *Estimate) olderThan(report Report) bool {
	return report.At.After(e.report.At) || report.At.Equal(e.report.At) && report.Pace > e.report.Pace
}

// expiry is when the report expires.
func (e *Estimate) expiry() time.Time { return e.report.At.Add(ReportLifetime) }

func (e *Estimate) slow() bool { return e.report.Pace >= Slow }

// slowAt says whether the runner counts as being in a slow phase.
func (e *Estimate) slowAt(now time.Time) bool { return e.slow() && now.Before(e.expiry()) }

// Current returns the expected pace: the typical one, 1, if there is no recent report or the runner is faster than
// usual. A slow pace decays towards the typical one as the report ages, so that there is no moment at which all nodes
// turn to the runner at once.
func (e *Estimate) Current(now time.Time) work.Pace {
	excess := float64(e.report.Pace) - 1
	if excess <= 0 || !now.Before(e.expiry()) {
		return 1
	}
	age := max(now.Sub(e.report.At), 0)
	return work.Pace(1 + excess*math.Exp2(-age.Seconds()/halfLife.Seconds()))
}

// Latest returns the latest report, and whether the runner sent it to this node itself.
func (e *Estimate) Latest() (report Report, direct bool) { return e.report, e.direct }

// ChangedSince returns the latest report if another node that was sent everything up to a time needs it: a slow one as
// long as it is valid, and a typical one as long as some node may still use the slow phase before it.
func (e *Estimate) ChangedSince(since, now time.Time) (report Report, needed bool) {
	if e.passedOn.Pace.Known() && e.passedOnAt.After(since.Add(-overlap)) && (e.slowAt(now) || now.Before(e.staleUntil)) {
		return e.report, true
	}
	return Report{}, false
}
