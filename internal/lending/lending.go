// Package lending records the batch slots of runners that their owner lends to other workers. Each runner's batch
// slots have one owner, which alone decides how many items may run there; a worker with more items than slots
// requests some from the owners. The unit of a loan is a slot, not an item: the borrower sends its items to the
// runner itself and keeps their state. The package does no I/O; times are arguments.
package lending

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// Lifetime is how long slots stay lent without a request from the borrower: three times RenewInterval, so that one
// lost call does not end a loan.
const Lifetime = 1500 * time.Millisecond

// RenewInterval is the longest time between two requests to an owner whose slots are in use.
const RenewInterval = 500 * time.Millisecond

// Count is a number of slots at one runner.
type Count struct {
	Runner ident.Incarnation `json:"runner"`
	Slots  int               `json:"places"`
}

// Want is a number of additional slots that a worker could use at any runner of a service.
type Want struct {
	Service string `json:"service"`
	Slots   int    `json:"places"`
}

// Request is what a worker sends to an owner. Slots of the owner that it does not list are returned.
type Request struct {
	// Node is the borrower; Address is where recalls are sent to.
	Node    ident.Node `json:"node"`
	Address string     `json:"address"`
	// Sequence rises with each request of the borrower to one owner, so that a delayed request has no effect.
	Sequence int64 `json:"sequence"`
	// Held are the slots in which items of the borrower run.
	Held []Count `json:"held"`
	// Wants are the additional slots that it could use.
	Wants []Want `json:"wants"`
}

// Reply is the owner's answer: all slots that the borrower may use from now on. If they are fewer than those it
// holds, the owner needs the rest back.
type Reply struct {
	Slots []Count `json:"places"`
}

// Recall takes lent slots back at once.
type Recall struct {
	Runner ident.Incarnation `json:"runner"`
	Slots  int               `json:"places"`
}

// AddressedRecall is a Recall and the address of the borrower to send it to.
type AddressedRecall struct {
	Address string
	Recall  Recall
}

// Ledger records the slots that an owner has lent. It is safe for concurrent use.
type Ledger struct {
	mutex     sync.Mutex
	borrowers map[ident.Node]*borrower
}

// borrower is the state of the loans to one worker. The ledger's mutex guards it.
type borrower struct {
	address  string
	sequence int64
	until    time.Time
	// loans are the loans by runner. A loan that was recalled completely stays, so that a renewal in flight does
	// not revive it.
	loans map[ident.Incarnation]*loan
}

// loan is the number of slots lent to one worker at one runner. used is never greater than lent.
type loan struct {
	// lent is the number of all slots, used the number of those that ran an item at the borrower's last request.
	lent, used int
}

// Renew records the slots that a borrower holds. Recalled slots stay recalled. Slots that are unknown to this
// owner count as lent, because items run there: the owner is new or was restarted. Renew returns false if a newer
// request was recorded already.
func (l *Ledger) Renew(request *Request, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.expire(now)
	entry := l.borrowers[request.Node]
	if entry == nil {
		entry = &borrower{}
		if l.borrowers == nil {
			l.borrowers = map[ident.Node]*borrower{}
		}
		l.borrowers[request.Node] = entry
	} else if request.Sequence <= entry.sequence {
		return false
	}
	renewed := make(map[ident.Incarnation]*loan, len(request.Held))
	for _, held := range request.Held {
		slots := max(held.Slots, 0)
		if before := entry.loans[held.Runner]; before != nil {
			slots = min(slots, before.lent)
		}
		renewed[held.Runner] = &loan{lent: slots, used: slots}
	}
	entry.address, entry.sequence, entry.until, entry.loans = request.Address, request.Sequence, now.Add(Lifetime), renewed
	return true
}

// Lend adds slots at a runner to those of a borrower that has just renewed.
func (l *Ledger) Lend(node ident.Node, runner ident.Incarnation, slots int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	entry := l.borrowers[node]
	if entry == nil {
		return
	}
	if entry.loans[runner] == nil {
		entry.loans[runner] = &loan{}
	}
	entry.loans[runner].lent += slots
}

// LentTo returns all slots that are lent to a borrower, ordered by runner.
func (l *Ledger) LentTo(node ident.Node) []Count {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	entry := l.borrowers[node]
	if entry == nil {
		return nil
	}
	counts := make([]Count, 0, len(entry.loans))
	for runner, lent := range entry.loans {
		counts = append(counts, Count{Runner: runner, Slots: lent.lent})
	}
	slices.SortFunc(counts, func(first, second Count) int { return cmp.Compare(first.Runner, second.Runner) })
	return counts
}

// LentAt returns the number of slots lent at a runner, and how many of them ran an item at their borrowers' last
// requests.
func (l *Ledger) LentAt(runner ident.Incarnation, now time.Time) (lent, used int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, entry := range l.borrowers {
		if loan := entry.loans[runner]; loan != nil && now.Before(entry.until) {
			lent += loan.lent
			used += loan.used
		}
	}
	return lent, used
}

// Recall recalls slots at a runner, one by one from the borrower that has the most there. It returns the recalls
// to send and the number of recalled slots, which is lower than requested if fewer are lent.
func (l *Ledger) Recall(runner ident.Incarnation, slots int, now time.Time) (orders []AddressedRecall, recalled int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	byAddress := map[string]int{}
	for ; recalled < slots; recalled++ {
		largest := l.largestBorrower(runner, now)
		if largest == nil {
			break
		}
		loan := largest.loans[runner]
		loan.lent--
		loan.used = min(loan.used, loan.lent)
		byAddress[largest.address]++
	}
	for address, count := range byAddress {
		orders = append(orders, AddressedRecall{Address: address, Recall: Recall{Runner: runner, Slots: count}})
	}
	slices.SortFunc(orders, func(first, second AddressedRecall) int { return cmp.Compare(first.Address, second.Address) })
	return orders, recalled
}

// largestBorrower returns the borrower with the most slots at a runner, or nil. The caller holds the mutex.
func (l *Ledger) largestBorrower(runner ident.Incarnation, now time.Time) *borrower {
	var largest *borrower
	for _, entry := range l.borrowers {
		loan := entry.loans[runner]
		if loan == nil || loan.lent == 0 || !now.Before(entry.until) {
			continue
		}
		if largest == nil || loan.lent > largest.loans[runner].lent ||
			(loan.lent == largest.loans[runner].lent && entry.address < largest.address) {
			largest = entry
		}
	}
	return largest
}

// Any reports whether a worker borrows here, or made a request within Lifetime.
func (l *Ledger) Any(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.expire(now)
	return len(l.borrowers) > 0
}

// expire deletes the borrowers without a request within Lifetime. The caller holds the mutex.
func (l *Ledger) expire(now time.Time) {
	for node, entry := range l.borrowers {
		if !now.Before(entry.until) {
			delete(l.borrowers, node)
		}
	}
}
