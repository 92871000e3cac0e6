package jobworker

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowlatch.example/mallowlatch/internal/clock"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/lending"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// borrowTimeout bounds one call to an owner.
	borrowTimeout = 300 * time.Millisecond
	// maxLendersPerRound is the number of owners in this zone, and of owners in other zones, that are asked in one round.
	// Slots come free between two steps of online work, for about three seconds; with 12 owners a round, a fleet of 45
	// workers is asked within 0.8 s. A worker with waiting items makes at most sixty calls of about 200 bytes a second to
	// each of the two groups.
	maxLendersPerRound = 12
	// refusalBackoff is how long an owner without a free slot is not asked again. Slots come free at the pace of runs,
	// which for many items at once is a few seconds.
	refusalBackoff = 400 * time.Millisecond
	// unresponsiveBackoff is how long an owner that did not answer is not asked again. Other calls between nodes use the
	// same value.
	unresponsiveBackoff = 1500 * time.Millisecond
	// loanExpiryMargin is subtracted from the lifetime of borrowed slots, for network latency and clock drift.
	loanExpiryMargin = 300 * time.Millisecond
)

// borrowed is what this node may use at a runner of another owner.
type borrowed struct {
	slots   int
	expires time.Time
	// recalledAt is when slots were last recalled. An answer to a request sent before then is out of date.
	recalledAt time.Time
}

// lender is the state of calls to another worker that may lend slots.
type lender struct {
	sequence int64
	// calling is set while a request is in flight.
	calling bool
	// calledAt is when the last request was sent.
	calledAt time.Time
	// notBefore is when the worker may be asked for more slots, refusedAt when it last had none or did not answer.
	notBefore, refusedAt time.Time
}

// borrowLoop asks other workers for slots while items wait, and renews the loans in use.
func (w *Worker) borrowLoop() error {
	if w.Lenders == nil {
		return nil
	}
	for w.pause(w.Options.BorrowEvery) {
		now := w.Now()
		w.mutex.Lock()
		calls := w.dueBorrowCalls(now)
		for _, next := range calls {
			w.tomb.Go(func() error { w.borrow(next); return nil })
		}
		w.mutex.Unlock()
	}
	return nil
}

// borrowCall is one request to an owner.
type borrowCall struct {
	node    ident.Node
	address string
	sent    time.Time
	request *lending.Request
}

// dueBorrowCalls returns the calls to make now: one to each owner whose slots are to be renewed or returned, and one to
// each of a few owners that may have free slots. The caller must hold the mutex.
func (w *Worker) dueBorrowCalls(now time.Time) []borrowCall {
	held, wants := w.borrowedSlotsInUse(now), map[ident.Node][]lending.Want{}
	for _, service := range w.servicesInUse() {
		w.addWants(service, wants, now)
	}
	if len(held) == 0 && len(wants) == 0 {
		return nil
	}
	var calls []borrowCall
	for node, worker := range w.workers {
		state := w.lender(node)
		due := len(held[node]) > 0 && now.Sub(state.calledAt) >= lending.RenewInterval
		if node == w.Node || state.calling || (!due && len(wants[node]) == 0) {
			continue
		}
		calls = append(calls, w.newBorrowCall(node, worker.Address, held[node], wants[node], now))
	}
	return calls
}

// newBorrowCall records that an owner is being called. Until the owner answers, nothing new is started at its runners. The
// caller must hold the mutex.
func (w *Worker) newBorrowCall(node ident.Node, address string, held []lending.Count, wants []lending.Want, now time.Time) borrowCall {
	state := w.lender(node)
	state.sequence = max(state.sequence+1, clock.Date().UnixNano())
	state.calling, state.calledAt = true, now
	w.returnUnusedSlots(node)
	return borrowCall{node: node, address: address, sent: now, request: &lending.Request{
		Node: w.Node, Address: w.Address, Sequence: state.sequence, Held: held, Wants: wants,
	}}
}

// returnUnusedSlots reduces the loans of an owner to the slots in which items of this node run. The caller must hold the
// mutex.
func (w *Worker) returnUnusedSlots(owner ident.Node) {
	for id, loan := range w.borrowed {
		runner, known := w.Runners.Runner(id)
		if known && w.ownerOf(runner) == owner {
			loan.slots = min(loan.slots, w.Runners.Own(id, runnertable.Batch))
		}
	}
}

// borrowedSlotsInUse counts the items that run at runners of other owners, by owner. The caller must hold the mutex.
func (w *Worker) borrowedSlotsInUse(now time.Time) map[ident.Node][]lending.Count {
	held := map[ident.Node][]lending.Count{}
	for _, runner := range w.Runners.InFlight(runnertable.Batch, now) {
		if owner := w.ownerOf(runner); owner != w.Node {
			held[owner] = append(held[owner], lending.Count{Runner: runner.ID, Slots: w.Runners.Own(runner.ID, runnertable.Batch)})
		}
	}
	return held
}

// addWants divides the slots that the waiting items of a service could use among the owners to ask. Owners in this zone
// are asked for all waiting items; owners in other zones, where traffic costs money, only for items that would be late
// here. The caller must hold the mutex.
func (w *Worker) addWants(service string, wants map[ident.Node][]lending.Want, now time.Time) {
	waiting := w.waitingItemsOf(service, now)
	free := w.freeSlots(service, now)
	sameZone, otherZones := w.candidateLenders(now)
	divideSlots(service, len(waiting)-free, sameZone, wants)
	if !w.zoneRefused(now) {
		// Slots that this zone can lend are not also requested from other zones.
		return
	}
	late := countLate(shortenDeadlines(w.byUrgency(waiting, now), now), w.usableSlots(service, now), w.duration, now)
	divideSlots(service, min(late, len(waiting)-free), otherZones, wants)
}

// zoneRefusalPeriod is how long a zone counts as full after each of its workers had no free slot. The zone is still asked
// every refusalBackoff in this period. If other zones were asked only between these calls, their slots would be found half
// as fast, and slots are free for a few seconds only.
const zoneRefusalPeriod = time.Second

// zoneRefused reports whether all other workers in this zone refused within zoneRefusalPeriod. The caller must hold the
// mutex.
func (w *Worker) zoneRefused(now time.Time) bool {
	for node, worker := range w.workers {
		if node != w.Node && worker.Zone == w.Zone && now.Sub(w.lender(node).refusedAt) > zoneRefusalPeriod {
			return false
		}
	}
	return true
}

// divideSlots divides a number of slots among owners.
func divideSlots(service string, slots int, owners []ident.Node, wants map[ident.Node][]lending.Want) {
	for index, owner := range owners {
		remaining := len(owners) - index
		part := (slots + remaining - 1) / remaining
		if part <= 0 {
			return
		}
		wants[owner] = append(wants[owner], lending.Want{Service: service, Slots: part})
		slots -= part
	}
}

// waitingItemsOf returns the items of a service that wait for a runner. The caller must hold the mutex.
func (w *Worker) waitingItemsOf(service string, now time.Time) []*itemRun {
	var waiting []*itemRun
	for _, item := range w.waiting(now) {
		if dealtTo, found := w.serviceOf(item); found && dealtTo == service {
			waiting = append(waiting, item)
		}
	}
	return waiting
}

// plannedTimeFraction is the fraction of the time left for which items are planned on the usable slots. Online work comes
// in bursts and takes slots that are free now, so that runs are preempted and resumed later. A smaller fraction sends more
// runs to other zones.
const plannedTimeFraction = 0.5

// shortenDeadlines returns the items with latestStart set to the time until which they may wait for the usable slots.
func shortenDeadlines(ordered []urgency, now time.Time) []urgency {
	for position := range ordered {
		left := ordered[position].latestStart.Sub(now)
		if left > 0 {
			ordered[position].latestStart = now.Add(time.Duration(plannedTimeFraction * float64(left)))
		}
	}
	return ordered
}

// countLate counts the items, in their order, that cannot be started in time if they wait for the usable slots, which come
// free one after the other within the duration of a run. Items that go elsewhere do not delay the others.
func countLate(ordered []urgency, slots int, run time.Duration, now time.Time) int {
	if slots <= 0 {
		return len(ordered)
	}
	late, onTime := 0, 0
	for _, next := range ordered {
		started := now.Add(run * time.Duration(onTime+1) / time.Duration(slots))
		if started.After(next.latestStart) {
			late++
			continue
		}
		onTime++
	}
	return late
}

// usableSlots returns how many items of a service this node can run at the same time: at its own runners and in borrowed
// slots. The caller must hold the mutex.
func (w *Worker) usableSlots(service string, now time.Time) int {
	slots := w.serviceSlots(service, now)
	for _, runner := range w.borrowedRunners(service) {
		slots += w.borrowedSlots(runner.ID, now)
	}
	return slots
}

// freeSlots returns how many items of a service could start now in own and borrowed slots. The caller must hold the mutex.
func (w *Worker) freeSlots(service string, now time.Time) int {
	free := w.spareSlots(w.owned(service), now)
	for _, runner := range w.borrowedRunners(service) {
		if w.Runners.FailureRate(runner.ID, now) <= maxFailureRate {
			free += w.freeBorrowedSlots(runner.ID, now)
		}
	}
	return free
}

// borrowedRunners returns the ready runners of a service at which this node may have borrowed slots, ordered by id. The
// caller must hold the mutex.
func (w *Worker) borrowedRunners(service string) []work.Runner {
	var runners []work.Runner
	for _, id := range slices.Sorted(maps.Keys(w.borrowed)) {
		runner, known := w.Runners.Runner(id)
		if known && runner.Service == service && runner.State == work.Ready && !w.owns(runner) {
			runners = append(runners, runner)
		}
	}
	return runners
}

// borrowedSlots returns the slots that this node may use at a runner of another owner. The caller must hold the mutex.
func (w *Worker) borrowedSlots(id ident.Incarnation, now time.Time) int {
	loan := w.borrowed[id]
	if loan == nil || !now.Before(loan.expires) {
		return 0
	}
	return loan.slots
}

// freeBorrowedSlots returns how many more items may start in borrowed slots of a runner. The caller must hold the mutex.
func (w *Worker) freeBorrowedSlots(id ident.Incarnation, now time.Time) int {
	return max(w.borrowedSlots(id, now)-w.Runners.Own(id, runnertable.Batch), 0)
}

// candidateLenders returns a few workers in this zone and in other zones that may have free slots. Each worker uses a
// different order, so that they do not all ask the same owners. The caller must hold the mutex.
func (w *Worker) candidateLenders(now time.Time) (sameZone, otherZones []ident.Node) {
	for node, worker := range w.workers {
		state := w.lender(node)
		if node == w.Node || state.calling || now.Before(state.notBefore) {
			continue
		}
		if worker.Zone == w.Zone {
			sameZone = append(sameZone, node)
		} else {
			otherZones = append(otherZones, node)
		}
	}
	return w.firstLenders(sameZone), w.firstLenders(otherZones)
}

func (w *Worker) firstLenders(nodes []ident.Node) []ident.Node {
	slices.SortFunc(nodes, func(first, second ident.Node) int {
		return cmp.Compare(lenderRank(w.Node, first), lenderRank(w.Node, second))
	})
	return nodes[:min(len(nodes), maxLendersPerRound)]
}

func lenderRank(borrower, lender ident.Node) uint64 {
	return xxhash.Sum64String(string(borrower) + "/" + string(lender))
}

// lender returns the state of a worker as a lender, creating it if necessary. The caller must hold the mutex.
func (w *Worker) lender(node ident.Node) *lender {
	state := w.lenders[node]
	if state == nil {
		if w.lenders == nil {
			w.lenders = map[ident.Node]*lender{}
		}
		state = &lender{}
		w.lenders[node] = state
	}
	return state
}

// removeLenders deletes the state of workers that are no longer registered. The caller must hold the mutex.
func (w *Worker) removeLenders(workers map[ident.Node]jobrecord.Worker) {
	for node, state := range w.lenders {
		if _, stays := workers[node]; !stays && !state.calling {
			delete(w.lenders, node)
		}
	}
}

// borrow makes one call.
func (w *Worker) borrow(call borrowCall) {
	ctx, cancel := context.WithTimeout(w.ctx, borrowTimeout)
	defer cancel()
	reply, err := w.Lenders.Borrow(ctx, call.address, call.request)
	if err != nil {
		event.LendingFailed.Log(w.Logger).Str("doing", "borrowing slots").Str("worker", call.address).Err(err).Send()
	}
	now := w.Now()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	state := w.lender(call.node)
	state.calling = false
	if err != nil {
		state.notBefore, state.refusedAt = now.Add(unresponsiveBackoff), now
		return
	}
	if len(call.request.Wants) > 0 && totalSlots(reply.Slots) <= totalSlots(call.request.Held) {
		state.notBefore, state.refusedAt = now.Add(refusalBackoff), now
	}
	w.applyLoan(call, reply)
}

func totalSlots(counts []lending.Count) int {
	sum := 0
	for _, count := range counts {
		sum += count.Slots
	}
	return sum
}

// applyLoan stores what an owner lends. Runs beyond it are preempted. The caller must hold the mutex.
func (w *Worker) applyLoan(call borrowCall, reply *lending.Reply) {
	if w.borrowed == nil {
		w.borrowed = map[ident.Incarnation]*borrowed{}
	}
	for _, count := range reply.Slots {
		loan := w.borrowed[count.Runner]
		if loan == nil {
			loan = &borrowed{}
			w.borrowed[count.Runner] = loan
		}
		loan.expires = call.sent.Add(lending.Lifetime - loanExpiryMargin)
		if loan.recalledAt.After(call.sent) {
			continue
		}
		loan.slots = count.Slots
		w.preempt(count.Runner, w.Runners.Own(count.Runner, runnertable.Batch)-count.Slots)
	}
	for id, loan := range w.borrowed {
		if !call.sent.Before(loan.expires) {
			delete(w.borrowed, id)
		}
	}
}

// ApplyRecall returns slots that another worker lent and now recalls. The runs that are last in order there are preempted.
func (w *Worker) ApplyRecall(recall lending.Recall) {
	now := w.Now()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	loan := w.borrowed[recall.Runner]
	if loan == nil {
		return
	}
	loan.recalledAt = now
	loan.slots = max(loan.slots-recall.Slots, 0)
	w.preempt(recall.Runner, w.Runners.Own(recall.Runner, runnertable.Batch)-loan.slots)
}
