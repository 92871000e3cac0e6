package dispatch

import (
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/schedule"
)

// usualCopies is a guess at the runners that hold a model.
const usualCopies = 64

// Snapshot returns the runners that have the model, for one decision.
func (t *Table) Snapshot(zone ident.Zone, distance map[ident.Zone]float64, model string, blocks []uint64, now time.Time) *schedule.Snapshot {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	snapshot := &schedule.Snapshot{Zone: zone, Distance: distance}
	matched := t.prefixes.Match(blocks)
	snapshot.Runners = make([]schedule.Runner, 0, min(len(t.ordered), usualCopies))
	for _, known := range t.ordered {
		if !holds(known.report, model) {
			continue
		}
		snapshot.Runners = append(snapshot.Runners, known.view(now, matched[known.id]))
	}
	return snapshot
}

func holds(report *engine.LoadReport, model string) bool {
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

func (e *entry) view(now time.Time, prefixBlocks int) schedule.Runner {
	peers, since := e.lookAtCounts(now)
	return schedule.Runner{
		ID:            e.id,
		Zone:          e.zone,
		Leaving:       e.leaving.is(now),
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

// known returns the online requests on the runner that this node knows of without a report.
func (e *entry) known(now time.Time) int { return e.own + e.peers.sum(now) }

// noteCount records the known online requests, whenever anyone looks: a change without a look decided nothing.
func (e *entry) noteCount(now time.Time) { e.counts.add(now, e.known(now)) }

// lookAtCounts returns the requests that peers told of, and by how much the known online requests have changed since the
// report was measured.
func (e *entry) lookAtCounts(now time.Time) (peers, sinceReport int) {
	peers = e.peers.sum(now)
	known := e.own + peers
	e.counts.add(now, known)
	return peers, known - e.knownAtReport
}

// Capacity returns how many online requests the runners with the model that may take work take at once, all together.
// Empty zones mean all.
func (t *Table) Capacity(model string, zones []ident.Zone, now time.Time) float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	total := 0.0
	for _, known := range t.ordered {
		if !holds(known.report, model) || (len(zones) > 0 && !slices.Contains(zones, known.zone)) {
			continue
		}
		runner := known.view(now, 0)
		total += runner.Takes()
	}
	return total
}

// RunnerView is what a node knows of one runner, for batch credits and for operators.
type RunnerView struct {
	ID      ident.Runner
	Zone    ident.Zone
	Address string
	Leaving bool
	Ejected bool
	// ProbeDue says that the runner is ejected and should be probed.
	ProbeDue bool
	// OwnInFlight and PeersInFlight count online requests of this node and of its peers.
	OwnInFlight, PeersInFlight int
	// SinceReport is by how much these counts have changed since the report was measured.
	SinceReport int
	// Report is the newest report, or nil; it must not be changed. ReportAge is its age.
	Report    *engine.LoadReport
	ReportAge time.Duration
}

// Runner returns what is known of one runner.
func (t *Table) Runner(runner ident.Runner, now time.Time) (RunnerView, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, found := t.runners[runner]
	if !found {
		return RunnerView{}, false
	}
	return known.describe(now), true
}

// Runners returns what is known of every runner, ordered by identifier.
func (t *Table) Runners(now time.Time) []RunnerView {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	views := make([]RunnerView, 0, len(t.runners))
	for _, known := range t.ordered {
		views = append(views, known.describe(now))
	}
	return views
}

// Reported returns the number of runners of which a load report is known. A node without any refuses every request.
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

// RunnersOf returns what is known of the given runners, in their order, without those not listed.
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

func (e *entry) describe(now time.Time) RunnerView {
	peers, since := e.lookAtCounts(now)
	view := RunnerView{
		ID: e.id, Zone: e.zone, Address: e.address,
		Leaving: e.leaving.is(now), Ejected: e.health.ejected,
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

// Holds reports whether the runner had the model, and the adapter unless it is empty, at its last report.
func (v *RunnerView) Holds(model, adapter string) bool {
	return holds(v.Report, model) && (adapter == "" || slices.Contains(v.Report.Adapters, adapter))
}

// Shared returns the report as the owner of a runner passes it on: with its online requests brought up to now. What ended
// since is taken from the waiting ones first, what came is counted as running.
func (v *RunnerView) Shared() engine.LoadReport {
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
