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
	"mallowlatch.example/mallowlatch/internal/schedule"
)

// prefixHistoryBlocks bounds the remembered prompt blocks of a node: about 4 MB.
const prefixHistoryBlocks = 20000

// Table is what a node knows of every runner. It is safe for concurrent use. Methods that depend on time take it.
type Table struct {
	mutex   sync.Mutex
	runners map[ident.Runner]*entry
	// ordered holds the same entries in order of their identifiers, so that decisions depend on nothing but their inputs.
	ordered  []*entry
	prefixes *schedule.PrefixHistory
	drained  map[ident.Runner]bool
	// started is true once the machine list was read: a runner that appears later is fresh and starts slowly.
	started bool
	// onlineChanged is called, without the lock, when this node's online work on a runner changed.
	onlineChanged []func(runner ident.Runner, inFlight int)
	// onlineRose is called, without the lock, when online work on a runner is known to have grown, here or at a peer.
	onlineRose []func(runner ident.Runner)
	// leavingLearned is called, without the lock, when this node is the first to learn that a runner is leaving.
	leavingLearned []func(runner ident.Runner)
}

// entry is one runner.
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
	// reportedAt is when the report arrived, by this node's clock.
	reportedAt time.Time
	// counts is the history of the known online requests, and knownAtReport what was known at the report's moment.
	counts        countHistory
	knownAtReport int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		runners:  map[ident.Runner]*entry{},
		prefixes: schedule.NewPrefixHistory(prefixHistoryBlocks),
		drained:  map[ident.Runner]bool{},
	}
}

// OnOnlineChange registers a function called whenever this node's online work on a runner changes. It must not block
// and must be registered before the table is used.
func (t *Table) OnOnlineChange(changed func(runner ident.Runner, inFlight int)) {
	t.onlineChanged = append(t.onlineChanged, changed)
}

// OnOnlineRise registers a function called whenever online work on a runner is known to have grown, here or at a peer.
// It must not block and must be registered before the table is used.
func (t *Table) OnOnlineRise(rose func(runner ident.Runner)) {
	t.onlineRose = append(t.onlineRose, rose)
}

// OnLeaving registers a function called when this node learns at first hand that a runner is leaving. It must not
// block and must be registered before the table is used.
func (t *Table) OnLeaving(learned func(runner ident.Runner)) {
	t.leavingLearned = append(t.leavingLearned, learned)
}

// SetMachines takes a reading of the machine list. Runners not listed are forgotten.
func (t *Table) SetMachines(list machine.List, now time.Time) {
	t.mutex.Lock()
	listed := map[ident.Runner]bool{}
	var learned []ident.Runner
	for _, runner := range list.Runners {
		listed[runner.ID] = true
		if t.setMachine(runner, now) {
			learned = append(learned, runner.ID)
		}
	}
	for id := range t.runners {
		if !listed[id] {
			delete(t.runners, id)
		}
	}
	t.started = true
	t.order()
	t.mutex.Unlock()
	t.tellLeaving(learned)
}

func (t *Table) order() {
	t.ordered = make([]*entry, 0, len(t.runners))
	for _, known := range t.runners {
		t.ordered = append(t.ordered, known)
	}
	slices.SortFunc(t.ordered, func(a, b *entry) int { return cmp.Compare(a.id, b.id) })
}

// setMachine updates one runner and reports whether it was first learned here that it is leaving.
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
	before := known.leaving.is(now)
	known.leaving.listed = runner.State == machine.Leaving
	return !before && known.leaving.is(now)
}

// drainPrefix begins the name of a catalog drain of a runner.
const drainPrefix = "runner/"

// SetDrains takes the operator's drains from the catalog. They reach every node by themselves, so none is told.
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

// ObserveReport takes a load report that the runner gave this node.
func (t *Table) ObserveReport(runner ident.Runner, report engine.LoadReport, now time.Time) {
	t.observeReport(runner, report, true, now)
}

// ObserveShared takes a load report that a peer passed on. Its owner tells everyone of a leaving runner, so this node
// does not.
func (t *Table) ObserveShared(runner ident.Runner, report engine.LoadReport, now time.Time) {
	t.observeReport(runner, report, false, now)
}

// reportJitter is how much the moments of reports differ for the delays of the messages that carry their ages. Peers pass
// on one report several times, each with newer counts of the online requests; the last to arrive must hold.
const reportJitter = 100 * time.Millisecond

func (t *Table) observeReport(runner ident.Runner, report engine.LoadReport, firstHand bool, now time.Time) {
	t.mutex.Lock()
	known, found := t.runners[runner]
	if !found || (known.report != nil && report.Measured.Before(known.report.Measured.Add(-reportJitter))) {
		t.mutex.Unlock()
		return
	}
	before := known.leaving.is(now)
	known.noteCount(now)
	known.report = &report
	known.reportedAt = now
	known.knownAtReport = known.known(now)
	if firstHand {
		known.knownAtReport = known.counts.at(report.Measured)
	}
	known.leaving.report(report.Leaving, report.Measured)
	learned := firstHand && !before && known.leaving.is(now)
	t.mutex.Unlock()
	if learned {
		t.tellLeaving([]ident.Runner{runner})
	}
}

// ObserveLeaving records that the runner refused work because it is leaving (first-hand), or that a peer said so.
func (t *Table) ObserveLeaving(runner ident.Runner, firstHand bool, now time.Time) {
	t.mutex.Lock()
	known, found := t.runners[runner]
	learned := false
	if found {
		learned = firstHand && !known.leaving.is(now)
		if firstHand {
			known.leaving.refused(now)
		} else {
			known.leaving.told(now)
		}
	}
	t.mutex.Unlock()
	if learned {
		t.tellLeaving([]ident.Runner{runner})
	}
}

// ObservePeer takes a peer's count of its online requests on a runner.
func (t *Table) ObservePeer(peer ident.Node, sequence uint64, runner ident.Runner, inFlight int, now time.Time) {
	rose := false
	t.with(runner, func(known *entry) {
		rose = known.peers.set(peer, sequence, inFlight, now)
		known.noteCount(now)
	})
	if rose {
		t.tellRise(runner)
	}
}

// ObservePeerGone records that a peer takes part no more: its counts run out soon unless it renews them.
func (t *Table) ObservePeerGone(peer ident.Node, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, known := range t.ordered {
		known.peers.gone(peer, now)
	}
}

// ObserveBusy records that the runner refused work because it is full.
func (t *Table) ObserveBusy(runner ident.Runner, until time.Time) {
	t.with(runner, func(known *entry) { known.busyUntil = until })
}

// ObserveNotLoaded corrects the newest report: the runner refused for want of the model or adapter.
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

// ObserveFailure records a failure that points at the runner or the way to it, and reports whether it took the runner
// out of use.
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

// ObserveProbe records the result of a probe of the runner, and reports whether it brought the runner back into use.
func (t *Table) ObserveProbe(runner ident.Runner, now time.Time, succeeded bool) (recovered bool) {
	t.with(runner, func(known *entry) {
		before := known.health.ejected
		known.health.probed(now, succeeded)
		recovered = before && !known.health.ejected
	})
	return recovered
}

// ObserveCache takes cache events, which come late and with gaps and so only correct the own history.
func (t *Table) ObserveCache(runner ident.Runner, events []engine.CacheEvent) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, event := range events {
		if event.Stored {
			t.prefixes.Stored(runner, event.Block)
		} else {
			t.prefixes.Removed(runner, event.Block)
		}
	}
}

// Start records that an online request goes to the runner.
func (t *Table) Start(runner ident.Runner, prefixBlocks []uint64) {
	t.change(runner, 1, prefixBlocks)
}

// End records that an online request has left the runner.
func (t *Table) End(runner ident.Runner) { t.change(runner, -1, nil) }

func (t *Table) change(runner ident.Runner, by int, prefixBlocks []uint64) {
	t.mutex.Lock()
	known, found := t.runners[runner]
	inFlight := 0
	if found {
		known.own = max(0, known.own+by)
		inFlight = known.own
	}
	if len(prefixBlocks) > 0 {
		t.prefixes.Sent(runner, prefixBlocks)
	}
	t.mutex.Unlock()
	if !found {
		return
	}
	for _, changed := range t.onlineChanged {
		changed(runner, inFlight)
	}
	if by > 0 {
		t.tellRise(runner)
	}
}

func (t *Table) tellRise(runner ident.Runner) {
	for _, rose := range t.onlineRose {
		rose(runner)
	}
}

func (t *Table) tellLeaving(runners []ident.Runner) {
	for _, runner := range runners {
		for _, learned := range t.leavingLearned {
			learned(runner)
		}
	}
}

func (t *Table) with(runner ident.Runner, visit func(*entry)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known, found := t.runners[runner]; found {
		visit(known)
	}
}
