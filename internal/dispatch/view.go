package dispatch

import (
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/schedule"
)

// expectedCopies is an estimate of the number of runners that have a model loaded. It sets the initial size of a snapshot.
const expectedCopies = 64

// Snapshot returns the runners that have the model loaded, for one decision on a prompt of the given blocks.
func (t *Table) Snapshot(zone ident.Zone, distance map[ident.Zone]float64, model string, blocks []uint64, now time.Time) *schedule.Snapshot {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	snapshot := &schedule.Snapshot{Zone: zone, Distance: distance}
	t.decidedAt = now
	matched := t.prefixes.match(blocks, now)
	snapshot.Runners = make([]schedule.Runner, 0, min(len(t.ordered), expectedCopies))
	for _, known := range t.ordered {
		if !hasModel(known.report, model) {
			continue
		}
		snapshot.Runners = append(snapshot.Runners, known.view(now, matched.depth(known.id)))
	}
	return snapshot
}

// hasModel reports whether the report lists the model as loaded.
func hasModel(report *engine.LoadReport, model string) bool {
	if report == nil {
		return false
	}
	for _, loaded := range report.Models {
		if loaded.Name == model {
			return true
		}
	}
	return false
}

// view returns the scheduler's view of the runner.
func (e *entry) view(now time.Time, prefixBlocks int) schedule.Runner {
	peers, since := e.readCounts(now)
	return schedule.Runner{
		ID:            e.id,
		Zone:          e.zone,
		Leaving:       e.leaving.active(now),
		Ejected:       e.health.ejected,
		SlowStart:     e.health.share(now),
		BusyUntil:     e.busyUntil,
		OwnInFlight:   e.own,
		PeersInFlight: peers,
		SinceReport:   since,
		Report:        e.report,
		PrefixBlocks:  prefixBlocks,
	}
}

// known returns the online requests in flight on the runner from this node and, as reported, from its peers.
func (e *entry) known(now time.Time) int { return e.own + e.peers.sum(now) }

// recordCount adds the current count of known online requests to the history. It is called whenever the count is read or a
// report arrives; changes that were never read influenced no decision and need not be recorded.
func (e *entry) recordCount(now time.Time) { e.counts.add(now, e.known(now)) }

// readCounts returns the online requests reported by peers and the change of the known online requests since the report was
// measured. It also records the current count.
func (e *entry) readCounts(now time.Time) (peers, sinceReport int) {
	peers = e.peers.sum(now)
	known := e.own + peers
	e.counts.add(now, known)
	return peers, known - e.knownAtReport
}

// Capacity returns the total limit of online requests of the available runners that have the model loaded, in the given
// zones. Empty zones mean all.
func (t *Table) Capacity(model string, zones []ident.Zone, now time.Time) float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	total := 0.0
	for _, known := range t.ordered {
		if !hasModel(known.report, model) || (len(zones) > 0 && !slices.Contains(zones, known.zone)) {
			continue
		}
		runner := known.view(now, 0)
		total += runner.OnlineLimit()
	}
	return total
}

// RunnerView is a node's view of one runner, for batch credits and for operators.
type RunnerView struct {
	ID      ident.Runner
	Zone    ident.Zone
	Address string
	Leaving bool
	Ejected bool
	// ProbeDue is true if the runner is ejected and should be probed.
	ProbeDue bool
	// OwnInFlight and PeersInFlight count the online requests in flight of this node and of its peers.
	OwnInFlight, PeersInFlight int
	// SinceReport is the change of the sum of these counts since the report was measured.
	SinceReport int
	// Report is the newest report, or nil; it must not be modified. ReportAge is its age.
	Report    *engine.LoadReport
	ReportAge time.Duration
}

// Runner returns the view of one runner, or false if it is not listed.
func (t *Table) Runner(runner ident.Runner, now time.Time) (RunnerView, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, found := t.runners[runner]
	if !found {
		return RunnerView{}, false
	}
	return known.describe(now), true
}

// Runners returns the views of all runners, ordered by identifier.
func (t *Table) Runners(now time.Time) []RunnerView {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	views := make([]RunnerView, 0, len(t.runners))
	for _, known := range t.ordered {
		views = append(views, known.describe(now))
	}
	return views
}

// Reported returns the number of runners with a load report. A node that has none refuses every request.
func (t *Table) Reported() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	count := 0
	for _, known := range t.runners {
		if known.report != nil {
			count++
		}
	}
	return count
}

// RunnersOf returns the views of the given runners in the given order, without those not listed.
func (t *Table) RunnersOf(runners []ident.Runner, now time.Time) []RunnerView {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	views := make([]RunnerView, 0, len(runners))
	for _, runner := range runners {
		if known, found := t.runners[runner]; found {
			views = append(views, known.describe(now))
		}
	}
	return views
}

// describe returns the view of the runner.
func (e *entry) describe(now time.Time) RunnerView {
	peers, since := e.readCounts(now)
	view := RunnerView{
		ID: e.id, Zone: e.zone, Address: e.address,
		Leaving: e.leaving.active(now), Ejected: e.health.ejected,
		ProbeDue:    e.health.probeDue(now),
		OwnInFlight: e.own, PeersInFlight: peers,
		SinceReport: since,
		Report:      e.report,
	}
	if e.report != nil {
		view.ReportAge = max(0, now.Sub(e.report.Measured))
	}
	return view
}

// HasModel reports whether the last report lists the model as loaded, and the adapter unless it is empty.
func (v *RunnerView) HasModel(model, adapter string) bool {
	return hasModel(v.Report, model) && (adapter == "" || slices.Contains(v.Report.Adapters, adapter))
}

// ReportToShare returns the report as the owner of a runner sends it to peers, with its online requests updated to the current
// count. Requests that ended are subtracted from the waiting ones first; new requests are counted as running.
func (v *RunnerView) ReportToShare() engine.LoadReport {
	report := *v.Report
	before := report.RunningOnline + report.WaitingOnline
	online := max(v.OwnInFlight+v.PeersInFlight, before+v.SinceReport)
	if online >= before {
		report.RunningOnline += online - before
		return report
	}
	fewerWaiting := min(report.WaitingOnline, before-online)
	report.WaitingOnline -= fewerWaiting
	report.RunningOnline -= before - online - fewerWaiting
	return report
}
