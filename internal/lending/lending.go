// Package lending keeps account of the places of runners that their owner lends to other workers. Each runner's batch places
// have one owner, which alone decides how many items may run there; a worker with more items than places asks owners for
// theirs. A place is lent and not an item: the borrower sends its items to the runner itself, and keeps all that is known of
// them. The package does no I/O; times are arguments.
package lending

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// Lifetime is how long places are lent without news from the borrower: three times RenewEvery, so that one lost call takes
// nothing back.
const Lifetime = 1500 * time.Millisecond

// RenewEvery is the longest time between two calls to an owner whose places are in use.
const RenewEvery = 500 * time.Millisecond

// Count is a number of places at one runner.
type Count struct {
	Runner ident.Incarnation `json:"runner"`
	Places int               `json:"places"`
}

// Want is a number of places more that a worker could use at any runners of a service.
type Want struct {
	Service string `json:"service"`
	Places  int    `json:"places"`
}

// Request is what a worker asks an owner. It gives back whatever of the owner's places it does not name.
type Request struct {
	// Node is the borrower, Address where it is told of places that are taken back.
	Node    ident.Node `json:"node"`
	Address string     `json:"address"`
	// Sequence rises with each request of the borrower to one owner, so that a late one changes nothing.
	Sequence int64 `json:"sequence"`
	// Held are the places where items of the borrower run.
	Held []Count `json:"held"`
	// Wants are the places it could use beside them.
	Wants []Want `json:"wants"`
}

// Reply is the owner's answer: all places that the borrower may use from now on. Where they are fewer than those it holds,
// the owner needs the rest back.
type Reply struct {
	Places []Count `json:"places"`
}

// Recall takes lent places back at once.
type Recall struct {
	Runner ident.Incarnation `json:"runner"`
	Places int               `json:"places"`
}

// Order is a Recall and the address of the borrower it goes to.
type Order struct {
	Address string
	Recall  Recall
}

// Ledger holds what an owner has lent. It is safe for concurrent use.
type Ledger struct {
	mutex     sync.Mutex
	borrowers map[ident.Node]*borrower
}

// borrower is what one worker was lent. The ledger's mutex guards it.
type borrower struct {
	address  string
	sequence int64
	until    time.Time
	// loans are by runner; one whose places were all taken back stays, so that a renewal under way does not revive it.
	loans map[ident.Incarnation]*loan
}

// loan is what one worker was lent at one runner. used is never more than lent.
type loan struct {
	// lent are all places, used those at which an item ran when the borrower last called.
	lent, used int
}

// Renew takes over what a borrower holds. Places that were taken back stay so; those that this owner knows nothing of
// count as lent, because items run there: the owner is new, or was started again. It returns false where a newer request
// was taken already.
func (l *Ledger) Renew(request *Request, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.forget(now)
	known := l.borrowers[request.Node]
	if known == nil {
		known = &borrower{}
		if l.borrowers == nil {
			l.borrowers = map[ident.Node]*borrower{}
		}
		l.borrowers[request.Node] = known
	} else if request.Sequence <= known.sequence {
		return false
	}
	renewed := make(map[ident.Incarnation]*loan, len(request.Held))
	for _, held := range request.Held {
		places := max(held.Places, 0)
		if before := known.loans[held.Runner]; before != nil {
			places = min(places, before.lent)
		}
		renewed[held.Runner] = &loan{lent: places, used: places}
	}
	known.address, known.sequence, known.until, known.loans = request.Address, request.Sequence, now.Add(Lifetime), renewed
	return true
}

// Lend adds places at a runner to those of a borrower that has just renewed.
func (l *Ledger) Lend(node ident.Node, runner ident.Incarnation, places int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.borrowers[node]
	if known == nil {
		return
	}
	if known.loans[runner] == nil {
		known.loans[runner] = &loan{}
	}
	known.loans[runner].lent += places
}

// To returns all places that are lent to a borrower, in the order of the runners.
func (l *Ledger) To(node ident.Node) []Count {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.borrowers[node]
	if known == nil {
		return nil
	}
	counts := make([]Count, 0, len(known.loans))
	for runner, lent := range known.loans {
		counts = append(counts, Count{Runner: runner, Places: lent.lent})
	}
	slices.SortFunc(counts, func(first, second Count) int { return cmp.Compare(first.Runner, second.Runner) })
	return counts
}

// At returns the places lent at a runner, and how many of them had an item when their borrowers last called.
func (l *Ledger) At(runner ident.Incarnation, now time.Time) (lent, used int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, known := range l.borrowers {
		if loan := known.loans[runner]; loan != nil && now.Before(known.until) {
			lent += loan.lent
			used += loan.used
		}
	}
	return lent, used
}

// TakeBack takes places at a runner back, those of the borrowers with the most there first. It returns what the borrowers
// are to be told, and how many places that makes: fewer than asked for where fewer are lent.
func (l *Ledger) TakeBack(runner ident.Incarnation, places int, now time.Time) (orders []Order, taken int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	byAddress := map[string]int{}
	for ; taken < places; taken++ {
		most := l.largest(runner, now)
		if most == nil {
			break
		}
		loan := most.loans[runner]
		loan.lent--
		loan.used = min(loan.used, loan.lent)
		byAddress[most.address]++
	}
	for address, count := range byAddress {
		orders = append(orders, Order{Address: address, Recall: Recall{Runner: runner, Places: count}})
	}
	slices.SortFunc(orders, func(first, second Order) int { return cmp.Compare(first.Address, second.Address) })
	return orders, taken
}

// largest returns the borrower with the most places at a runner, or nil. The caller holds the mutex.
func (l *Ledger) largest(runner ident.Incarnation, now time.Time) *borrower {
	var most *borrower
	for _, known := range l.borrowers {
		loan := known.loans[runner]
		if loan == nil || loan.lent == 0 || !now.Before(known.until) {
			continue
		}
		if most == nil || loan.lent > most.loans[runner].lent || (loan.lent == most.loans[runner].lent && known.address < most.address) {
			most = known
		}
	}
	return most
}

// Any says whether a worker borrows here now, or asked to a moment ago.
func (l *Ledger) Any(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.forget(now)
	return len(l.borrowers) > 0
}

// forget drops the borrowers that did not call for a lifetime. The caller holds the mutex.
func (l *Ledger) forget(now time.Time) {
	for node, known := range l.borrowers {
		if !now.Before(known.until) {
			delete(l.borrowers, node)
		}
	}
}
