// Package heldbytes keeps the sum of what a node holds for others: bodies of requests, of jobs and of answers. What would not fit is
// refused at once, so that a node is never killed for its memory and one tenant or connection never has all of it. It does no I/O.
package heldbytes

import (
	"fmt"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
)

type (
	// OfNode is the budget of a node. Connections are named by the address of their other end.
	OfNode = Budget[ident.Tenant, string]
	// Held is a reservation of a node's budget, Whose its owner.
	Held  = Reservation[ident.Tenant, string]
	Whose = Owner[ident.Tenant, string]
)

// ErrOver means that bytes do not fit the budget. Nothing of them is held.
const ErrOver = failure.Kind("held bytes: no room")

// ErrShare means that bytes do not fit the part of one tenant or connection. It comes with ErrOver.
const ErrShare = failure.Kind("held bytes: beyond the part of one")

// Kind is what bytes are held for: what passes through a front, the least urgent first, and what a worker keeps.
type Kind uint8

const (
	// Submission is a job on its way to those who keep it.
	Submission Kind = iota
	// Request is the body of a request whose caller waits.
	Request
	// Result is a page of results, or the body of an item that is asked for.
	Result
	// Answer is what a runner made and its caller has not taken yet.
	Answer
	// Job is a job that a worker runs: the bodies of its items and what they have put out.
	Job
	// Kept is what the store has too, and a worker keeps for readers.
	Kept
	kinds
)

const (
	// memoryShare of a node's memory may be held for others. A body is there up to three times for moments: as read, as decoded or
	// encoded, as sent. The rest is the process's own.
	memoryShare = 0.2
	// tenantShare of the budget is the most of one tenant, connectionShare that of one connection.
	tenantShare     = 0.5
	connectionShare = 0.25
	// submissionShare and incomingShare of the budget may be held in all when a job, or a request, is taken: what is left is for
	// what is more urgent. An answer may fill it, since its request has run.
	submissionShare = 0.5
	incomingShare   = 0.75
	// jobShare of the budget may be held in all when a worker takes a job: what is left is for the output of those that it has.
	// keptShare may be when it keeps something for readers: that is let go for a job.
	jobShare  = 0.75
	keptShare = 0.5
)

// Limits are the most that may be held, in bytes.
type Limits struct {
	All, Tenant, Connection int64
	// Kinds bounds what is held in all, of any kind, when bytes of a kind are taken.
	Kinds [kinds]int64
}

// LimitsOf returns the limits of a node with so many bytes of memory.
func LimitsOf(memory int64) Limits {
	all := memoryShare * float64(memory)
	limits := Limits{All: int64(all), Tenant: int64(tenantShare * all), Connection: int64(connectionShare * all)}
	limits.Kinds = [kinds]int64{
		Submission: int64(submissionShare * all), Request: int64(incomingShare * all), Result: int64(incomingShare * all), Answer: int64(all),
		Job: int64(jobShare * all), Kept: int64(keptShare * all),
	}
	return limits
}

// Owner is for whom bytes are held. The zero value of either part is nobody, and bounded only by what is held in all.
type Owner[T, C comparable] struct {
	Tenant     T
	Connection C
}

// Budget keeps what is held for tenants, each named by a T, and connections, each named by a C. A nil Budget refuses nothing. It is
// safe for concurrent use.
type Budget[T, C comparable] struct {
	mutex  sync.Mutex
	limits Limits
	// held is the sum of all reservations. It is above limits.All only after the limits were lowered, and by what was Set.
	held int64
	// jobs counts the reservations of jobs that hold anything.
	jobs int
	// tenants and connections hold the sums of those that hold anything.
	tenants     map[T]int64
	connections map[C]int64
	tally       Tally
}

// Tally is what became of reservations since it was last taken.
type Tally struct {
	// Held is what is held now, Most the most since then, of All that may be; in bytes.
	Held, Most, All int64
	// Refused counts the reservations and growths that did not fit, by kind.
	Refused [kinds]int
	// Cut counts the callers that were cut off because they read too slowly.
	Cut int
}

// RefusedInAll is the number of refusals of all kinds.
func (t Tally) RefusedInAll() int {
	sum := 0
	for _, refused := range t.Refused {
		sum += refused
	}
	return sum
}

// tellShare of the budget is how much must have been held for an operator to be told, without a refusal.
const tellShare = 0.25

// Telling says whether an operator wants to know: something was refused or cut, or much was held.
func (t Tally) Telling() bool {
	return t.RefusedInAll() > 0 || t.Cut > 0 || float64(t.Most) > tellShare*float64(t.All)
}

// New returns an empty budget.
func New[T, C comparable](limits Limits) *Budget[T, C] {
	return &Budget[T, C]{limits: limits, tenants: map[T]int64{}, connections: map[C]int64{}}
}

// SetLimits changes the limits. What is held stays.
func (b *Budget[T, C]) SetLimits(limits Limits) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.limits = limits
}

// Reserve takes bytes for an owner. The error wraps ErrOver. The reservation is released once the bytes are held no more.
func (b *Budget[T, C]) Reserve(kind Kind, owner Owner[T, C], bytes int64) (*Reservation[T, C], error) {
	if b == nil {
		return nil, nil
	}
	made := b.Open(kind, owner)
	if err := made.Grow(bytes); err != nil {
		return nil, err
	}
	return made, nil
}

// Open returns a reservation that holds nothing yet.
func (b *Budget[T, C]) Open(kind Kind, owner Owner[T, C]) *Reservation[T, C] {
	if b == nil {
		return nil
	}
	return &Reservation[T, C]{budget: b, owner: owner, kind: kind}
}

// Take returns the tally and begins a new one.
func (b *Budget[T, C]) Take() Tally {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	taken := b.tally
	taken.Held, taken.All = b.held, b.limits.All
	b.tally = Tally{Most: b.held}
	return taken
}

// NoteCut counts a caller that was cut off.
func (b *Budget[T, C]) NoteCut() {
	if b == nil {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tally.Cut++
}

// Over says whether more is held in all than when bytes of a kind are taken.
func (b *Budget[T, C]) Over(kind Kind) bool {
	if b == nil {
		return false
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.held > b.limits.Kinds[kind]
}

// Load returns the bytes held in all, and how many may be.
func (b *Budget[T, C]) Load() (held, all int64) {
	if b == nil {
		return 0, 0
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.held, b.limits.All
}

// fits returns why an owner may not have so many more bytes, or nil. The caller holds the mutex.
func (b *Budget[T, C]) fits(kind Kind, owner Owner[T, C], bytes int64) error {
	var noTenant T
	var noConnection C
	switch {
	case bytes < 0, b.held+bytes > b.limits.Kinds[kind]:
		return ErrOver
	case owner.Tenant != noTenant && b.tenants[owner.Tenant]+bytes > b.limits.Tenant:
		return fmt.Errorf("%w: %w", ErrOver, ErrShare)
	case owner.Connection != noConnection && b.connections[owner.Connection]+bytes > b.limits.Connection:
		return fmt.Errorf("%w: %w", ErrOver, ErrShare)
	}
	return nil
}

// admits is fits, but for the only job, which is taken whatever its size: it is accepted, and may fit no other worker either. The
// caller holds the mutex.
func (b *Budget[T, C]) admits(kind Kind, owner Owner[T, C], bytes int64) error {
	if kind == Job && b.jobs == 0 && bytes >= 0 {
		return nil
	}
	return b.fits(kind, owner, bytes)
}

// change changes what a reservation holds. The caller holds the mutex.
func (b *Budget[T, C]) change(r *Reservation[T, C], bytes int64) {
	before := r.bytes
	r.bytes += bytes
	if r.kind == Job {
		b.jobs += holding(r.bytes) - holding(before)
	}
	b.add(r.owner, bytes)
}

// holding counts a reservation of so many bytes.
func holding(bytes int64) int {
	if bytes > 0 {
		return 1
	}
	return 0
}

// add changes what an owner holds. The caller holds the mutex.
func (b *Budget[T, C]) add(owner Owner[T, C], bytes int64) {
	var noTenant T
	var noConnection C
	b.held += bytes
	b.tally.Most = max(b.tally.Most, b.held)
	if owner.Tenant != noTenant {
		addTo(b.tenants, owner.Tenant, bytes)
	}
	if owner.Connection != noConnection {
		addTo(b.connections, owner.Connection, bytes)
	}
}

// addTo changes a sum, and forgets one that is zero.
func addTo[K comparable](sums map[K]int64, key K, bytes int64) {
	if sum := sums[key] + bytes; sum != 0 {
		sums[key] = sum
		return
	}
	delete(sums, key)
}

// Reservation is what is held for one request, answer or job. A nil one holds nothing and may grow without bound. It is safe for
// concurrent use.
type Reservation[T, C comparable] struct {
	budget *Budget[T, C]
	owner  Owner[T, C]
	kind   Kind
	// bytes are guarded by the budget's mutex; released ends their changing.
	bytes    int64
	released bool
}

// Grow takes more bytes. The error wraps ErrOver; then the reservation is as it was.
func (r *Reservation[T, C]) Grow(bytes int64) error {
	if r == nil {
		return nil
	}
	r.budget.mutex.Lock()
	defer r.budget.mutex.Unlock()
	err := r.budget.admits(r.kind, r.owner, bytes)
	if r.released {
		err = ErrOver
	}
	if err != nil {
		r.budget.tally.Refused[r.kind]++
		return fmt.Errorf("%w for %d bytes beside %d", err, bytes, r.budget.held)
	}
	r.budget.change(r, bytes)
	return nil
}

// Set has the reservation hold what is there already, whether it fits or not.
func (r *Reservation[T, C]) Set(bytes int64) {
	if r == nil {
		return
	}
	r.budget.mutex.Lock()
	defer r.budget.mutex.Unlock()
	if !r.released {
		r.budget.change(r, max(bytes, 0)-r.bytes)
	}
}

// Shrink gives some of the bytes back.
func (r *Reservation[T, C]) Shrink(bytes int64) {
	if r == nil {
		return
	}
	r.budget.mutex.Lock()
	defer r.budget.mutex.Unlock()
	r.budget.change(r, -min(max(bytes, 0), r.bytes))
}

// Release gives all bytes back. Further calls do nothing.
func (r *Reservation[T, C]) Release() {
	if r == nil {
		return
	}
	r.budget.mutex.Lock()
	defer r.budget.mutex.Unlock()
	r.released = true
	r.budget.change(r, -r.bytes)
}

// returnSoonest is when a caller may come back that found no room: requests end within some hundred milliseconds.
const returnSoonest = 300 * time.Millisecond

// ReturnAfter is when a caller may come back that was refused, given a random number from 0 to 1: those that were refused together come
// back spread over as much time again.
func ReturnAfter(random float64) time.Duration {
	return returnSoonest + time.Duration(random*float64(returnSoonest))
}
