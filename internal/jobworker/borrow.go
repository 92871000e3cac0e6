package jobworker

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowlatch.example/mallowlatch/internal/clock"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/lending"
	"mallowlatch.example/mallowlatch/internal/runnertable"
)

const (
	// borrowTimeout bounds one call to an owner.
	borrowTimeout = 300 * time.Millisecond
	// askedAtOnce is how many owners of the zone, and of others, are asked in one round: places come free between two steps of
	// online work, for some three seconds, and with so many a fleet of 45 workers is asked through in 0.8 s. A worker with waiting items
	// makes sixty calls of some 200 bytes a second to each of the two at most.
	askedAtOnce = 12
	// refusedPause is how long an owner without a free place is not asked again: places come free in the time of a run, which
	// is some seconds for many items at once.
	refusedPause = 400 * time.Millisecond
	// deafPause is how long an owner that did not answer is not asked again, as the other calls between nodes have it.
	deafPause = 1500 * time.Millisecond
	// borrowMargin of the lifetime of borrowed places is kept for the way of the call and clocks that do not run alike.
	borrowMargin = 300 * time.Millisecond
)

// borrowed is what this node may use at a runner of another owner.
type borrowed struct {
	places int
	until  time.Time
	// recalled is when places were last taken back: an answer to a request sent before says nothing.
	recalled time.Time
}

// lender is another worker as one that may lend places.
type lender struct {
	sequence int64
	// calling says that a request is on its way.
	calling bool
	// called is when the last request was sent.
	called time.Time
	// notBefore is when the worker may be asked for more places, refused when it last had none or did not answer.
	notBefore, refused time.Time
}

// borrowLoop asks other workers for places while items wait, and renews what is in use.
func (w *Worker) borrowLoop() error {
	if w.Lenders == nil {
		return nil
	}
	for w.pause(w.Options.BorrowEvery) {
		now := w.Now()
		w.mutex.Lock()
		calls := w.callsDue(now)
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

// callsDue returns the calls to be made now: one to each owner whose places are to be renewed or given back, and one to
// each of a few that may have free ones. The caller holds the mutex.
func (w *Worker) callsDue(now time.Time) []borrowCall {
	held, wants := w.heldElsewhere(), map[ident.Node][]lending.Want{}
	for _, service := range w.servicesInUse() {
		w.spread(service, wants, now)
	}
	var calls []borrowCall
	for node, worker := range w.workers {
		known := w.lender(node)
		due := len(held[node]) > 0 && now.Sub(known.called) >= lending.RenewEvery
		if node == w.Node || known.calling || (!due && len(wants[node]) == 0) {
			continue
		}
		calls = append(calls, w.newCall(node, worker.Address, held[node], wants[node], now))
	}
	return calls
}

// newCall notes that an owner is called. Until it answers nothing new is started at its runners. The caller holds the
// mutex.
func (w *Worker) newCall(node ident.Node, address string, held []lending.Count, wants []lending.Want, now time.Time) borrowCall {
	known := w.lender(node)
	known.sequence = max(known.sequence+1, clock.Date().UnixNano())
	known.calling, known.called = true, now
	w.giveBackUnused(node)
	return borrowCall{node: node, address: address, sent: now, request: &lending.Request{
		Node: w.Node, Address: w.Address, Sequence: known.sequence, Held: held, Wants: wants,
	}}
}

// giveBackUnused leaves this node the places of an owner where its items run. The caller holds the mutex.
func (w *Worker) giveBackUnused(owner ident.Node) {
	for id, loan := range w.borrowed {
		runner, known := w.Runners.Runner(id)
		if known && w.ownerOf(runner) == owner {
			loan.places = min(loan.places, w.Runners.Own(id, runnertable.Batch))
		}
	}
}

// heldElsewhere counts the items that run at runners of other owners, by owner. The caller holds the mutex.
func (w *Worker) heldElsewhere() map[ident.Node][]lending.Count {
	held := map[ident.Node][]lending.Count{}
	for _, runner := range w.Runners.All() {
		running := w.Runners.Own(runner.ID, runnertable.Batch)
		if owner := w.ownerOf(runner); running > 0 && owner != w.Node {
			held[owner] = append(held[owner], lending.Count{Runner: runner.ID, Places: running})
		}
	}
	return held
}

// spread divides the places that the waiting items of a service could use among the owners to be asked: those of this
// zone for all that wait, those of other zones, where bytes have their price, only for items that would be late here. The
// caller holds the mutex.
func (w *Worker) spread(service string, wants map[ident.Node][]lending.Want, now time.Time) {
	waiting := w.waitingFor(service, now)
	free := w.freePlaces(service, now)
	near, far := w.lendersToAsk(now)
	divide(service, len(waiting)-free, near, wants)
	if !w.zoneRefuses(now) {
		// What the zone lends is not asked for elsewhere too.
		return
	}
	late := lateHere(relied(w.prospects(waiting, now), now), w.placesAtHand(service, now), w.duration, now)
	divide(service, min(late, len(waiting)-free), far, wants)
}

// zoneRefusedFor is how long a zone whose workers all had no place counts as full. It is asked again meanwhile, every refusedPause:
// were other zones asked only in between, their places would be found half as fast, and places come free for some seconds only.
const zoneRefusedFor = time.Second

// zoneRefuses says whether all other workers of this zone refused a moment ago. The caller holds the mutex.
func (w *Worker) zoneRefuses(now time.Time) bool {
	for node, worker := range w.workers {
		if node != w.Node && worker.Zone == w.Zone && now.Sub(w.lender(node).refused) > zoneRefusedFor {
			return false
		}
	}
	return true
}

// divide shares a number of places out among owners.
func divide(service string, places int, owners []ident.Node, wants map[ident.Node][]lending.Want) {
	for index, owner := range owners {
		left := len(owners) - index
		part := (places + left - 1) / left
		if part <= 0 {
			return
		}
		wants[owner] = append(wants[owner], lending.Want{Service: service, Places: part})
		places -= part
	}
}

// waitingFor returns the items of a service that wait for a runner. The caller holds the mutex.
func (w *Worker) waitingFor(service string, now time.Time) []*itemRun {
	var waiting []*itemRun
	for _, item := range w.waiting(now) {
		route, _ := w.Routes.Match(item.job.header.Host, item.item.Path)
		if route != nil && len(route.Split) > 0 && route.Split[item.index%len(route.Split)].Service == service {
			waiting = append(waiting, item)
		}
	}
	return waiting
}

// reliedShare of the time left is what items are planned for at the places at hand: online work comes in steps and takes places
// that are free now, so that a run is cut and goes on later. The less is relied on, the more runs go to other zones.
const reliedShare = 0.5

// relied returns the items with the times until which they may wait for the places at hand.
func relied(ordered []prospect, now time.Time) []prospect {
	for position := range ordered {
		left := ordered[position].latest.Sub(now)
		if left > 0 {
			ordered[position].latest = now.Add(time.Duration(reliedShare * float64(left)))
		}
	}
	return ordered
}

// lateHere counts the items, in their order, that cannot be begun in time if they wait for the places at hand, which come
// free one after the other in the time of a run. What goes elsewhere does not keep the others waiting.
func lateHere(ordered []prospect, places int, run time.Duration, now time.Time) int {
	if places <= 0 {
		return len(ordered)
	}
	late, stay := 0, 0
	for _, next := range ordered {
		begun := now.Add(run * time.Duration(stay+1) / time.Duration(places))
		if begun.After(next.latest) {
			late++
			continue
		}
		stay++
	}
	return late
}

// placesAtHand returns how many items of a service this node can have running: at its own runners, and at places that it
// borrowed. The caller holds the mutex.
func (w *Worker) placesAtHand(service string, now time.Time) int {
	places := w.placesOf(service, now)
	for _, runner := range w.Runners.Of(service) {
		if !w.owns(runner) {
			places += w.borrowedAt(runner.ID, now)
		}
	}
	return places
}

// freePlaces returns how many items of a service could start now, at own and at borrowed places. The caller holds the
// mutex.
func (w *Worker) freePlaces(service string, now time.Time) int {
	free := w.spare(w.owned(service), now)
	for _, runner := range w.Runners.Of(service) {
		if !w.owns(runner) && w.Runners.FailureRate(runner.ID, now) <= failingRate {
			free += w.borrowedRoom(runner.ID, now)
		}
	}
	return free
}

// borrowedAt returns the places that this node may use at a runner of another owner. The caller holds the mutex.
func (w *Worker) borrowedAt(id ident.Incarnation, now time.Time) int {
	loan := w.borrowed[id]
	if loan == nil || !now.Before(loan.until) {
		return 0
	}
	return loan.places
}

// borrowedRoom returns how many items more may start there. The caller holds the mutex.
func (w *Worker) borrowedRoom(id ident.Incarnation, now time.Time) int {
	return max(w.borrowedAt(id, now)-w.Runners.Own(id, runnertable.Batch), 0)
}

// lendersToAsk returns a few workers of this zone and of others that may have free places, each worker in an order of its
// own, so that they do not all ask the same. The caller holds the mutex.
func (w *Worker) lendersToAsk(now time.Time) (near, far []ident.Node) {
	for node, worker := range w.workers {
		known := w.lender(node)
		if node == w.Node || known.calling || now.Before(known.notBefore) {
			continue
		}
		if worker.Zone == w.Zone {
			near = append(near, node)
		} else {
			far = append(far, node)
		}
	}
	return w.few(near), w.few(far)
}

func (w *Worker) few(nodes []ident.Node) []ident.Node {
	slices.SortFunc(nodes, func(first, second ident.Node) int {
		return cmp.Compare(lenderRank(w.Node, first), lenderRank(w.Node, second))
	})
	return nodes[:min(len(nodes), askedAtOnce)]
}

func lenderRank(borrower, lender ident.Node) uint64 {
	return xxhash.Sum64String(string(borrower) + "/" + string(lender))
}

// lender returns what is known of a worker as a lender. The caller holds the mutex.
func (w *Worker) lender(node ident.Node) *lender {
	known := w.lenders[node]
	if known == nil {
		if w.lenders == nil {
			w.lenders = map[ident.Node]*lender{}
		}
		known = &lender{}
		w.lenders[node] = known
	}
	return known
}

// forgetLenders drops what is known of workers that are gone. The caller holds the mutex.
func (w *Worker) forgetLenders(workers map[ident.Node]jobrecord.Worker) {
	for node, known := range w.lenders {
		if _, stays := workers[node]; !stays && !known.calling {
			delete(w.lenders, node)
		}
	}
}

// borrow makes one call.
func (w *Worker) borrow(next borrowCall) {
	ctx, cancel := context.WithTimeout(w.ctx, borrowTimeout)
	defer cancel()
	reply, err := w.Lenders.Borrow(ctx, next.address, next.request)
	if err != nil {
		event.LendingFailed.Log(w.Logger).Str("doing", "borrowing places").Str("worker", next.address).Err(err).Send()
	}
	now := w.Now()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	known := w.lender(next.node)
	known.calling = false
	if err != nil {
		known.notBefore, known.refused = now.Add(deafPause), now
		return
	}
	if len(next.request.Wants) > 0 && places(reply.Places) <= places(next.request.Held) {
		known.notBefore, known.refused = now.Add(refusedPause), now
	}
	w.takeLoan(next, reply)
}

func places(counts []lending.Count) int {
	sum := 0
	for _, count := range counts {
		sum += count.Places
	}
	return sum
}

// takeLoan takes over what an owner lends. Items beyond it step aside. The caller holds the mutex.
func (w *Worker) takeLoan(next borrowCall, reply *lending.Reply) {
	if w.borrowed == nil {
		w.borrowed = map[ident.Incarnation]*borrowed{}
	}
	for _, count := range reply.Places {
		loan := w.borrowed[count.Runner]
		if loan == nil {
			loan = &borrowed{}
			w.borrowed[count.Runner] = loan
		}
		loan.until = next.sent.Add(lending.Lifetime - borrowMargin)
		if loan.recalled.After(next.sent) {
			continue
		}
		loan.places = count.Places
		w.cut(count.Runner, w.Runners.Own(count.Runner, runnertable.Batch)-count.Places)
	}
	for id, loan := range w.borrowed {
		if !next.sent.Before(loan.until) {
			delete(w.borrowed, id)
		}
	}
}

// TakenBack gives places back that another worker lent: the items there that are last in order step aside.
func (w *Worker) TakenBack(recall lending.Recall) {
	now := w.Now()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	loan := w.borrowed[recall.Runner]
	if loan == nil {
		return
	}
	loan.recalled = now
	loan.places = max(loan.places-recall.Places, 0)
	w.cut(recall.Runner, w.Runners.Own(recall.Runner, runnertable.Batch)-loan.places)
}
