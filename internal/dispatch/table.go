package dispatch

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/machine"
)

// Table is a node's view of all runners. It is safe for concurrent use. Methods that depend on the time take it as an
// argument.
type Table struct {
	mutex   sync.Mutex
	runners map[ident.Runner]*entry
	// ordered holds the same entries ordered by identifier, so that decisions are deterministic.
	ordered  []*entry
	prefixes *prefixes
	drained  map[ident.Runner]bool
	// decidedAt is the time of the last snapshot. Requests started after it are recorded with this time.
	decidedAt time.Time
	// started is true once the machine list was read. Runners that appear later are new and get a slow start.
	started bool
	// onlineChanged are called, without the lock, when this node's online work on a runner changed.
	onlineChanged []func(runner ident.Runner, inFlight int)
	// onlineRose are called, without the lock, when the online work of this node or a peer on a runner increased.
	onlineRose []func(runner ident.Runner)
	// leavingDetected are called, without the lock, when this node itself detects that a runner is leaving.
	leavingDetected []func(runner ident.Runner)
}

// entry is the state of one runner.
type entry struct {
	id        ident.Runner
	zone      ident.Zone
	address   string
	leaving   leaving
	health    health
	busyUntil time.Time
	own       int
	peers     peerCounts
	report    *engine.LoadReport
	// reportedAt is when the report arrived, according to this node's clock.
	reportedAt time.Time
	// counts is the history of the known online requests, and knownAtReport their count when the report was measured.
	counts        countHistory
	knownAtReport int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		runners:  map[ident.Runner]*entry{},
		prefixes: newPrefixes(),
		drained:  map[ident.Runner]bool{},
	}
}

// OnOnlineChange registers a function called whenever this node's online work on a runner changes. It must not block
// and must be registered before the table is used.
func (t *Table) OnOnlineChange(changed func(runner ident.Runner, inFlight int)) {
	t.onlineChanged = append(t.onlineChanged, changed)
}

// OnOnlineRise registers a function called whenever the online work of this node or a peer on a runner increased. It must
// not block and must be registered before the table is used.
func (t *Table) OnOnlineRise(rose func(runner ident.Runner)) {
	t.onlineRose = append(t.onlineRose, rose)
}

// OnLeaving registers a function called when this node itself detects that a runner is leaving: from the machine list, a
// report or a refusal, not from a peer. It must not block and must be registered before the table is used.
func (t *Table) OnLeaving(detected func(runner ident.Runner)) {
	t.leavingDetected = append(t.leavingDetected, detected)
}

// SetMachines updates the table from the machine list. Runners not listed are removed.
func (t *Table) SetMachines(list machine.List, now time.Time) {
	t.mutex.Lock()
	listed := map[ident.Runner]bool{}
	var detected []ident.Runner
	for _, runner := range list.Runners {
		listed[runner.ID] = true
		if t.setMachine(runner, now) {
			detected = append(detected, runner.ID)
		}
	}
	for id := range t.runners {
		if !listed[id] {
			delete(t.runners, id)
			t.prefixes.forget(id)
		}
	}
	t.started = true
	t.sortRunners()
	t.mutex.Unlock()
	t.notifyLeaving(detected)
}

// sortRunners rebuilds the ordered list.
func (t *Table) sortRunners() {
	t.ordered = make([]*entry, 0, len(t.runners))
	for _, known := range t.runners {
		t.ordered = append(t.ordered, known)
	}
	slices.SortFunc(t.ordered, func(a, b *entry) int { return cmp.Compare(a.id, b.id) })
}

// setMachine updates one runner and reports whether this newly marks it as leaving.
func (t *Table) setMachine(runner machine.Runner, now time.Time) bool {
	known, found := t.runners[runner.ID]
	if !found {
		known = &entry{id: runner.ID}
		known.leaving.drained = t.drained[runner.ID]
		if t.started {
			known.health.startedAt = now
		}
		t.runners[runner.ID] = known
	}
	known.zone, known.address = runner.Zone, runner.Address
	before := known.leaving.active(now)
	known.leaving.listed = runner.State == machine.Leaving
	return !before && known.leaving.active(now)
}

// drainPrefix is the prefix of the name of a catalog drain of a runner.
const drainPrefix = "runner/"

// SetDrains sets the operator's drains from the catalog. Peers are not notified because every node reads the catalog.
func (t *Table) SetDrains(drains map[string]catalog.Drain) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.drained = map[ident.Runner]bool{}
	for name := range drains {
		if len(name) > len(drainPrefix) && name[:len(drainPrefix)] == drainPrefix {
			t.drained[ident.Runner(name[len(drainPrefix):])] = true
		}
	}
	for id, known := range t.runners {
		known.leaving.drained = t.drained[id]
	}
}

// ObserveReport records a load report that this node received from the runner.
func (t *Table) ObserveReport(runner ident.Runner, report engine.LoadReport, now time.Time) {
	t.observeReport(runner, report, true, now)
}

// ObserveShared records a load report shared by a peer. It does not report a leaving runner to the OnLeaving functions,
// because the runner's owner notifies all nodes.
func (t *Table) ObserveShared(runner ident.Runner, report engine.LoadReport, now time.Time) {
	t.observeReport(runner, report, false, now)
}

// reportJitter is the tolerance for the measuring times of reports, which are computed from ages and so vary with message
// delays. Peers share the same report several times with newer counts of online requests; the last to arrive must be used.
const reportJitter = 100 * time.Millisecond

func (t *Table) observeReport(runner ident.Runner, report engine.LoadReport, direct bool, now time.Time) {
	t.mutex.Lock()
	known, found := t.runners[runner]
	if !found || (known.report != nil && report.Measured.Before(known.report.Measured.Add(-reportJitter))) {
		t.mutex.Unlock()
		return
	}
	before := known.leaving.active(now)
	known.recordCount(now)
	known.report = &report
	known.reportedAt = now
	known.knownAtReport = known.known(now)
	if direct {
		known.knownAtReport = known.counts.at(report.Measured)
	}
	known.leaving.report(report.Leaving, report.Measured)
	detected := direct && !before && known.leaving.active(now)
	t.mutex.Unlock()
	if detected {
		t.notifyLeaving([]ident.Runner{runner})
	}
}

// ObserveLeaving records that the runner refused work because it is leaving (direct), or that a peer sent a notification.
func (t *Table) ObserveLeaving(runner ident.Runner, direct bool, now time.Time) {
	t.mutex.Lock()
	known, found := t.runners[runner]
	detected := false
	if found {
		detected = direct && !known.leaving.active(now)
		if direct {
			known.leaving.refused(now)
		} else {
			known.leaving.notified(now)
		}
	}
	t.mutex.Unlock()
	if detected {
		t.notifyLeaving([]ident.Runner{runner})
	}
}

// ObservePeer records a peer's count of its online requests on a runner.
func (t *Table) ObservePeer(peer ident.Node, sequence uint64, runner ident.Runner, inFlight int, now time.Time) {
	rose := false
	t.with(runner, func(known *entry) {
		rose = known.peers.set(peer, sequence, inFlight, now)
		known.recordCount(now)
	})
	if rose {
		t.notifyRise(runner)
	}
}

// ObservePeerGone records that a peer is no longer a member. Its counts expire soon unless it renews them.
func (t *Table) ObservePeerGone(peer ident.Node, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, known := range t.ordered {
		known.peers.departed(peer, now)
	}
}

// ObserveBusy records that the runner refused work because it is full and gets no requests until the given time.
func (t *Table) ObserveBusy(runner ident.Runner, until time.Time) {
	t.with(runner, func(known *entry) { known.busyUntil = until })
}

// ObserveNotLoaded removes the adapter, or without one the model, from the newest report, after the runner refused a request
// because it is not loaded.
func (t *Table) ObserveNotLoaded(runner ident.Runner, model, adapter string) {
	t.with(runner, func(known *entry) {
		if known.report == nil {
			return
		}
		corrected := *known.report
		if adapter != "" && slices.Contains(corrected.Adapters, adapter) {
			corrected.Adapters = slices.DeleteFunc(slices.Clone(corrected.Adapters), func(name string) bool { return name == adapter })
		} else if adapter == "" {
			corrected.Models = slices.DeleteFunc(slices.Clone(corrected.Models), func(loaded engine.LoadedModel) bool { return loaded.Name == model })
		}
		known.report = &corrected
	})
}

// ObserveFailure records a failure caused by the runner or by the connection to it, and reports whether the runner was
// ejected.
func (t *Table) ObserveFailure(runner ident.Runner, now time.Time) (ejected bool) {
	t.with(runner, func(known *entry) {
		before := known.health.ejected
		known.health.failed(now)
		ejected = !before && known.health.ejected
	})
	return ejected
}

// ObserveSuccess records a request that the runner answered.
func (t *Table) ObserveSuccess(runner ident.Runner) {
	t.with(runner, func(known *entry) { known.health.succeeded() })
}

// ObserveProbe records the result of a probe of the runner, and reports whether it ended an ejection.
func (t *Table) ObserveProbe(runner ident.Runner, now time.Time, succeeded bool) (recovered bool) {
	t.with(runner, func(known *entry) {
		before := known.health.ejected
		known.health.probed(now, succeeded)
		recovered = before && !known.health.ejected
	})
	return recovered
}

// Start records that an online request is sent to the runner.
func (t *Table) Start(runner ident.Runner, prefixBlocks []uint64) {
	t.changeInFlight(runner, 1, prefixBlocks)
}

// End records that an online request on the runner ended.
func (t *Table) End(runner ident.Runner) { t.changeInFlight(runner, -1, nil) }

func (t *Table) changeInFlight(runner ident.Runner, by int, prefixBlocks []uint64) {
	t.mutex.Lock()
	known, found := t.runners[runner]
	inFlight := 0
	if found {
		known.own = max(0, known.own+by)
		inFlight = known.own
	}
	if len(prefixBlocks) > 0 {
		t.prefixes.sent(runner, prefixBlocks, t.decidedAt)
	}
	t.mutex.Unlock()
	if !found {
		return
	}
	for _, changed := range t.onlineChanged {
		changed(runner, inFlight)
	}
	if by > 0 {
		t.notifyRise(runner)
	}
}

func (t *Table) notifyRise(runner ident.Runner) {
	for _, rose := range t.onlineRose {
		rose(runner)
	}
}

func (t *Table) notifyLeaving(runners []ident.Runner) {
	for _, runner := range runners {
		for _, detected := range t.leavingDetected {
			detected(runner)
		}
	}
}

// with calls visit with the entry of a listed runner, under the lock.
func (t *Table) with(runner ident.Runner, visit func(*entry)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known, found := t.runners[runner]; found {
		visit(known)
	}
}
