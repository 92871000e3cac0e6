// Package memorybudget accounts for the memory that a node uses for buffered data: bodies of requests and jobs, results and answers. It
// refuses a reservation at once if it would exceed a limit, so that a node does not run out of memory and no single tenant or connection
// uses the whole budget. The package does no I/O.
package memorybudget

import (
	"fmt"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
)

type (
	// NodeBudget is the budget of a node. Connections are named by the address of their other end.
	NodeBudget = Budget[ident.Tenant, string]
	// Held is a reservation in a node's budget, Whose the owner of a reservation.
	Held  = Reservation[ident.Tenant, string]
	Whose = Owner[ident.Tenant, string]
)

// ErrBudgetExceeded means that a reservation exceeds the budget. Nothing was reserved.
const ErrBudgetExceeded = failure.Kind("held bytes: memory budget exceeded")

// ErrOwnerLimit means that a reservation exceeds the limit of one tenant or connection. It is always wrapped together with ErrOver.
const ErrOwnerLimit = failure.Kind("held bytes: limit of one tenant or connection exceeded")

// Kind is the purpose of a reservation. The kinds that a front uses come first, in order of rising urgency, then those that a worker
// uses.
type Kind uint8

const (
	// Submission is a submitted job that is being stored or handed over.
	Submission Kind = iota
	// Request is the body of an online request.
	Request
	// Result is a page of results, or the body of an item, that is being sent to a client.
	Result
	// Answer is output of a runner that the client has not received yet.
	Answer
	// Job is a job that a worker runs: the bodies of its items and their output so far.
	Job
	// Kept is data that the store also has and that a worker caches for readers.
	Kept
	kindCount
)

const (
	// memoryShare is the fraction of a node's memory that may be reserved. A body can briefly exist three times: as read, as decoded
	// or encoded, and as sent. The rest is left for the process itself.
	memoryShare = 0.2
	// tenantShare and connectionShare are the largest fractions of the budget that one tenant and one connection may use.
	tenantShare     = 0.5
	connectionShare = 0.25
	// submissionShare and incomingShare are the fractions of the budget up to which submissions, and requests or results, are admitted.
	// The rest is reserved for more urgent kinds. Answers may use the whole budget, because their requests have already run.
	submissionShare = 0.5
	incomingShare   = 0.75
	// jobShare is the fraction of the budget up to which a worker takes jobs; the rest is for the output of jobs that already run.
	// keptShare is the fraction up to which it caches data for readers; cached data is evicted in favour of jobs.
	jobShare  = 0.75
	keptShare = 0.5
)

// Limits are upper bounds on reserved bytes.
type Limits struct {
	All, Tenant, Connection int64
	// Kinds bounds, for each kind, the total of all kinds up to which a reservation of that kind is admitted.
	Kinds [kindCount]int64
}

// LimitsOf returns the limits of a node with the given memory in bytes.
func LimitsOf(memory int64) Limits {
	all := memoryShare * float64(memory)
	limits := Limits{All: int64(all), Tenant: int64(tenantShare * all), Connection: int64(connectionShare * all)}
	limits.Kinds = [kindCount]int64{
		Submission: int64(submissionShare * all), Request: int64(incomingShare * all), Result: int64(incomingShare * all), Answer: int64(all),
		Job: int64(jobShare * all), Kept: int64(keptShare * all),
	}
	return limits
}

// Owner identifies the tenant and the connection that a reservation is counted for. A zero field stands for no tenant or no
// connection; only the limits on the total apply to it.
type Owner[T, C comparable] struct {
	Tenant     T
	Connection C
}

// Budget accounts for reservations by tenant (identified by a T) and connection (identified by a C). A nil Budget refuses nothing. It
// is safe for concurrent use.
type Budget[T, C comparable] struct {
	mutex  sync.Mutex
	limits Limits
	// held is the sum of all reservations. It can exceed limits.All after the limits were lowered, after Set, or because the only job
	// is admitted whatever its size.
	held int64
	// jobs counts the non-empty reservations of kind Job.
	jobs int
	// tenants and connections are the non-zero sums by tenant and by connection.
	tenants     map[T]int64
	connections map[C]int64
	tally       Tally
}

// Tally is the use of a budget since the previous call of Take.
type Tally struct {
	// Held is the current total, Peak the peak since the previous call of Take, and All the limit, in bytes.
	Held, Peak, All int64
	// Refused counts the refused reservations and growths, by kind.
	Refused [kindCount]int
	// Disconnected counts the clients that were disconnected because they read too slowly.
	Disconnected int
}

// TotalRefused returns the number of refusals of all kinds.
func (t Tally) TotalRefused() int {
	sum := 0
	for _, refused := range t.Refused {
		sum += refused
	}
	return sum
}

// reportShare is the fraction of the budget from which on the use is reported even without a refusal.
const reportShare = 0.25

// Reportable reports whether the tally is worth a log line: something was refused, a client was disconnected, or the peak exceeded
// reportShare of the budget.
func (t Tally) Reportable() bool {
	return t.TotalRefused() > 0 || t.Disconnected > 0 || float64(t.Peak) > reportShare*float64(t.All)
}

// New returns an empty budget.
func New[T, C comparable](limits Limits) *Budget[T, C] {
	return &Budget[T, C]{limits: limits, tenants: map[T]int64{}, connections: map[C]int64{}}
}

// SetLimits changes the limits. Existing reservations stay, even above the new limits.
func (b *Budget[T, C]) SetLimits(limits Limits) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.limits = limits
}

// Reserve reserves bytes for an owner. The error wraps ErrOver. The caller releases the reservation once the memory is no longer in use.
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

// Open returns an empty reservation.
func (b *Budget[T, C]) Open(kind Kind, owner Owner[T, C]) *Reservation[T, C] {
	if b == nil {
		return nil
	}
	return &Reservation[T, C]{budget: b, owner: owner, kind: kind}
}

// TakeTally returns the tally and starts a new one.
func (b *Budget[T, C]) TakeTally() Tally {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	taken := b.tally
	taken.Held, taken.All = b.held, b.limits.All
	b.tally = Tally{Peak: b.held}
	return taken
}

// CountDisconnected counts a client that was disconnected because it read too slowly.
func (b *Budget[T, C]) CountDisconnected() {
	if b == nil {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tally.Disconnected++
}

// Exceeds reports whether the total exceeds the limit up to which reservations of a kind are admitted.
func (b *Budget[T, C]) Exceeds(kind Kind) bool {
	if b == nil {
		return false
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.held > b.limits.Kinds[kind]
}

// Load returns the total of all reservations and its limit, in bytes.
func (b *Budget[T, C]) Load() (held, all int64) {
	if b == nil {
		return 0, 0
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.held, b.limits.All
}

// Admissible reports whether an empty budget would admit a reservation. One that is not admissible can only be refused.
func (b *Budget[T, C]) Admissible(kind Kind, owner Owner[T, C], bytes int64) bool {
	if b == nil {
		return true
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var noTenant T
	var noConnection C
	return bytes <= b.limits.Kinds[kind] && (owner.Tenant == noTenant || bytes <= b.limits.Tenant) &&
		(owner.Connection == noConnection || bytes <= b.limits.Connection)
}

// checkLimits returns nil if an owner may reserve more bytes, and otherwise the limit that refuses them. The caller holds the mutex.
func (b *Budget[T, C]) checkLimits(kind Kind, owner Owner[T, C], bytes int64) error {
	var noTenant T
	var noConnection C
	switch {
	case bytes < 0, b.held+bytes > b.limits.Kinds[kind]:
		return ErrBudgetExceeded
	case owner.Tenant != noTenant && b.tenants[owner.Tenant]+bytes > b.limits.Tenant:
		return fmt.Errorf("%w: %w", ErrBudgetExceeded, ErrOwnerLimit)
	case owner.Connection != noConnection && b.connections[owner.Connection]+bytes > b.limits.Connection:
		return fmt.Errorf("%w: %w", ErrBudgetExceeded, ErrOwnerLimit)
	}
	return nil
}

// checkAdmission is checkLimits with one exception: a job is admitted whatever its size if it is the only one, because it was accepted
// and may not fit on any other worker either. The caller holds the mutex.
func (b *Budget[T, C]) checkAdmission(kind Kind, owner Owner[T, C], bytes int64) error {
	if kind == Job && b.jobs == 0 && bytes >= 0 {
		return nil
	}
	return b.checkLimits(kind, owner, bytes)
}

// change changes the size of a reservation. The caller holds the mutex.
func (b *Budget[T, C]) change(r *Reservation[T, C], bytes int64) {
	before := r.bytes
	r.bytes += bytes
	if r.kind == Job {
		b.jobs += oneIfHeld(r.bytes) - oneIfHeld(before)
	}
	b.add(r.owner, bytes)
}

// oneIfHeld returns 1 for a non-empty reservation and 0 for an empty one.
func oneIfHeld(bytes int64) int {
	if bytes > 0 {
		return 1
	}
	return 0
}

// add changes the total and the sums of an owner. The caller holds the mutex.
func (b *Budget[T, C]) add(owner Owner[T, C], bytes int64) {
	var noTenant T
	var noConnection C
	b.held += bytes
	b.tally.Peak = max(b.tally.Peak, b.held)
	if owner.Tenant != noTenant {
		addTo(b.tenants, owner.Tenant, bytes)
	}
	if owner.Connection != noConnection {
		addTo(b.connections, owner.Connection, bytes)
	}
}

// addTo changes the sum of a key, and deletes the key when the sum is zero.
func addTo[K comparable](sums map[K]int64, key K, bytes int64) {
	if sum := sums[key] + bytes; sum != 0 {
		sums[key] = sum
		return
	}
	delete(sums, key)
}

// Reservation is the memory reserved for one request, answer or job. A nil Reservation counts nothing and can grow without limit. It
// is safe for concurrent use.
type Reservation[T, C comparable] struct {
	budget *Budget[T, C]
	owner  Owner[T, C]
	kind   Kind
	// bytes and released are guarded by the budget's mutex. Once released is set, bytes stays zero.
	bytes    int64
	released bool
}

// Grow reserves more bytes. The error wraps ErrOver; the reservation is unchanged then.
func (r *Reservation[T, C]) Grow(bytes int64) error {
	if r == nil {
		return nil
	}
	r.budget.mutex.Lock()
	defer r.budget.mutex.Unlock()
	err := r.budget.checkAdmission(r.kind, r.owner, bytes)
	if r.released {
		err = ErrBudgetExceeded
	}
	if err != nil {
		r.budget.tally.Refused[r.kind]++
		return fmt.Errorf("%w: %d bytes requested, %d reserved", err, bytes, r.budget.held)
	}
	r.budget.change(r, bytes)
	return nil
}

// Set sets the size of the reservation for memory that is already in use, without checking the limits.
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

// Shrink returns some of the bytes to the budget.
func (r *Reservation[T, C]) Shrink(bytes int64) {
	if r == nil {
		return
	}
	r.budget.mutex.Lock()
	defer r.budget.mutex.Unlock()
	r.budget.change(r, -min(max(bytes, 0), r.bytes))
}

// Release returns all bytes to the budget. The reservation cannot be used again: Grow fails, and other calls do nothing.
func (r *Reservation[T, C]) Release() {
	if r == nil {
		return
	}
	r.budget.mutex.Lock()
	defer r.budget.mutex.Unlock()
	r.released = true
	r.budget.change(r, -r.bytes)
}

// minimumRetryAfter is the shortest retry delay after a refusal: requests end within a few hundred milliseconds and free memory.
const minimumRetryAfter = 300 * time.Millisecond

// RetryAfter returns the retry delay of a refused client, given a random number from 0 to 1. Clients that were refused at the same time
// retry between minimumRetryAfter and twice that.
func RetryAfter(random float64) time.Duration {
	return minimumRetryAfter + time.Duration(random*float64(minimumRetryAfter))
}
