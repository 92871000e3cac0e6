package memorybudget_test

import (
	"errors"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/memorybudget"
)

const (
	kilobyte = int64(1 << 10)
	megabyte = int64(1 << 20)
	// smallFront is the memory of the smallest known front.
	smallFront = 136 * megabyte
	// itemsBody is the body of a job with large items.
	itemsBody = 620_000
)

type (
	budget      = memorybudget.Budget[string, int]
	reservation = memorybudget.Reservation[string, int]
	owner       = memorybudget.Owner[string, int]
)

func newBudget(memory int64) *budget {
	return memorybudget.New[string, int](memorybudget.LimitsOf(memory))
}

// mustReserve reserves bytes and fails the test if they are refused.
func mustReserve(t *testing.T, of *budget, kind memorybudget.Kind, whose owner, bytes int64) *reservation {
	t.Helper()
	made, err := of.Reserve(kind, whose, bytes)
	assert.NilError(t, err)
	return made
}

// TestManyJobsLeaveSpaceForRequests submits a hundred jobs of 620,000 bytes to one front at once, together with a peak of 1,435 requests
// of 4 KiB. Jobs beyond their part of the budget must be refused and every request admitted: a refused request may miss its deadline,
// a refused job is submitted again. The smallest front has 2,870 file descriptors, and a request takes two.
func TestManyJobsLeaveSpaceForRequests(t *testing.T) {
	held := newBudget(smallFront)
	taken := 0
	for connection := range 100 {
		if _, err := held.Reserve(memorybudget.Submission, owner{Connection: connection + 1}, itemsBody); err == nil {
			taken++
		}
	}
	assert.Assert(t, taken > 10 && taken < 100, "%d jobs were taken", taken)
	for request := range 1435 {
		mustReserve(t, held, memorybudget.Request, owner{Connection: 1000 + request}, 4*kilobyte)
	}
	tally := held.TakeTally()
	assert.Equal(t, tally.TotalRefused(), 100-taken)
	assert.Assert(t, tally.Peak <= smallFront/5, "%d bytes were held", tally.Peak)
}

// TestAnswersFitBesideRequests fills a front with requests: a quarter of the budget must be left for answers to requests that have run.
func TestAnswersFitBesideRequests(t *testing.T) {
	held := newBudget(smallFront)
	for connection := 1; ; connection++ {
		if _, err := held.Reserve(memorybudget.Request, owner{Connection: connection}, megabyte); err != nil {
			assert.ErrorIs(t, err, memorybudget.ErrBudgetExceeded)
			break
		}
	}
	answers := int64(0)
	for connection := 1; ; connection++ {
		if _, err := held.Reserve(memorybudget.Answer, owner{Connection: connection}, 64*kilobyte); err != nil {
			break
		}
		answers += 64 * kilobyte
	}
	assert.Assert(t, answers > smallFront/5/4-2*megabyte, "answers had %d bytes", answers)
}

// TestOneTenantLeavesSpaceForOthers has one tenant send as many requests as are admitted, over many connections. Another tenant must
// still be able to send half as many.
func TestOneTenantLeavesSpaceForOthers(t *testing.T) {
	held := newBudget(smallFront)
	hot := 0
	for ; ; hot++ {
		if _, err := held.Reserve(memorybudget.Request, owner{Tenant: "hot", Connection: hot + 1}, 64*kilobyte); err != nil {
			break
		}
	}
	for other := range hot / 2 {
		mustReserve(t, held, memorybudget.Request, owner{Tenant: "other", Connection: -1 - other}, 60*kilobyte)
	}
}

// TestOneConnectionLeavesSpaceForOthers has one connection without a tenant reserve all it can: three quarters of the budget must be
// left for other connections.
func TestOneConnectionLeavesSpaceForOthers(t *testing.T) {
	held := newBudget(smallFront)
	one := mustReserve(t, held, memorybudget.Request, owner{Connection: 1}, 4*megabyte)
	for one.Grow(megabyte) == nil {
	}
	mustReserve(t, held, memorybudget.Request, owner{Connection: 2}, 4*megabyte)
	mustReserve(t, held, memorybudget.Request, owner{Connection: 3}, 4*megabyte)
}

func TestReservationIsReleasedOnce(t *testing.T) {
	held := newBudget(smallFront)
	first := mustReserve(t, held, memorybudget.Request, owner{Tenant: "a", Connection: 1}, 1000)
	second := mustReserve(t, held, memorybudget.Request, owner{Tenant: "a", Connection: 2}, 10)
	first.Release()
	first.Release()
	first.Shrink(5)
	assert.ErrorIs(t, first.Grow(1), memorybudget.ErrBudgetExceeded)
	assert.Equal(t, held.TakeTally().Held, int64(10))
	second.Shrink(20)
	assert.Equal(t, held.TakeTally().Held, int64(0))
}

// TestLoweredLimitsRefuseUntilReservationsFit lowers the limits below the current total, as when settings are reloaded with less memory.
func TestLoweredLimitsRefuseUntilReservationsFit(t *testing.T) {
	held := newBudget(smallFront)
	large := mustReserve(t, held, memorybudget.Request, owner{Connection: 1}, 4*megabyte)
	held.SetLimits(memorybudget.LimitsOf(megabyte))
	_, err := held.Reserve(memorybudget.Request, owner{Connection: 2}, 1)
	assert.ErrorIs(t, err, memorybudget.ErrBudgetExceeded)
	large.Release()
	mustReserve(t, held, memorybudget.Request, owner{Connection: 2}, 1)
}

// TestNilBudgetRefusesNothing uses the nil budget of a node whose settings set no limit.
func TestNilBudgetRefusesNothing(t *testing.T) {
	var none *budget
	made, err := none.Reserve(memorybudget.Request, owner{}, 1<<60)
	assert.NilError(t, err)
	assert.NilError(t, made.Grow(1<<60))
	made.Shrink(1)
	made.Release()
	none.CountDisconnected()
}

// model is a reference implementation that sums up all reservations for every check.
type model struct {
	made map[*reservation]*modelReservation
}

type modelReservation struct {
	kind     memorybudget.Kind
	whose    owner
	bytes    int64
	released bool
}

// sum adds up the reservations whose owner is selected by counts.
func (m *model) sum(counts func(owner) bool) int64 {
	sum := int64(0)
	for _, one := range m.made {
		if counts(one.whose) {
			sum += one.bytes
		}
	}
	return sum
}

// allows reports whether the limits admit more bytes for an owner.
func (m *model) allows(limits memorybudget.Limits, kind memorybudget.Kind, whose owner, bytes int64) bool {
	all := m.sum(func(owner) bool { return true })
	tenant := m.sum(func(other owner) bool { return other.Tenant == whose.Tenant })
	connection := m.sum(func(other owner) bool { return other.Connection == whose.Connection })
	return all+bytes <= limits.Kinds[kind] && (whose.Tenant == "" || tenant+bytes <= limits.Tenant) &&
		(whose.Connection == 0 || connection+bytes <= limits.Connection)
}

// TestRandomReservationsMatchModel compares a budget with the model under random reservations, growths, shrinks and releases: it must
// admit exactly what its limits allow, and its total must be the sum of the reservations after each step.
func TestRandomReservationsMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := memorybudget.LimitsOf(rapid.Int64Range(100, 10_000).Draw(t, "memory"))
		held := memorybudget.New[string, int](limits)
		reference := &model{made: map[*reservation]*modelReservation{}}
		var order []*reservation
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			bytes := rapid.Int64Range(0, 600).Draw(t, "bytes")
			kind := memorybudget.Kind(rapid.IntRange(0, 3).Draw(t, "kind"))
			step := rapid.IntRange(0, 3).Draw(t, "step")
			if step == 0 || len(order) == 0 {
				whose := owner{Tenant: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "tenant"), Connection: rapid.IntRange(0, 3).Draw(t, "connection")}
				made, err := held.Reserve(kind, whose, bytes)
				if fits := reference.allows(limits, kind, whose, bytes); fits != (err == nil) {
					t.Fatalf("reserving %d of %v: fits %v, %v", bytes, whose, fits, err)
				}
				if err == nil {
					reference.made[made] = &modelReservation{kind: kind, whose: whose, bytes: bytes}
					order = append(order, made)
				}
			} else {
				changeRandom(t, limits, reference, order, step, bytes)
			}
			if got, want := held.TakeTally().Held, reference.sum(func(owner) bool { return true }); got != want {
				t.Fatalf("%d bytes are held, want %d", got, want)
			}
		}
	})
}

// changeRandom grows, shrinks or releases a random reservation.
func changeRandom(t *rapid.T, limits memorybudget.Limits, reference *model, order []*reservation, step int, bytes int64) {
	chosen := rapid.SampledFrom(order).Draw(t, "reservation")
	one := reference.made[chosen]
	switch step {
	case 1:
		fits := !one.released && reference.allows(limits, one.kind, one.whose, bytes)
		err := chosen.Grow(bytes)
		if fits != (err == nil) || (err != nil && !errors.Is(err, memorybudget.ErrBudgetExceeded)) {
			t.Fatalf("growing %v by %d: fits %v, %v", one, bytes, fits, err)
		}
		if err == nil {
			one.bytes += bytes
		}
	case 2:
		chosen.Shrink(bytes)
		one.bytes = max(one.bytes-bytes, 0)
	case 3:
		chosen.Release()
		one.bytes, one.released = 0, true
	}
}

// TestBudgetUnderManyGoroutines checks that concurrent reservations stay within the budget and add up to zero once all are released.
func TestBudgetUnderManyGoroutines(t *testing.T) {
	held := newBudget(megabyte)
	var running sync.WaitGroup
	for connection := range 16 {
		running.Go(func() {
			for range 500 {
				made, err := held.Reserve(memorybudget.Request, owner{Tenant: "t", Connection: connection + 1}, 4*kilobyte)
				if err != nil {
					continue
				}
				_ = made.Grow(kilobyte)
				made.Shrink(kilobyte / 2)
				made.Release()
			}
		})
	}
	running.Wait()
	tally := held.TakeTally()
	assert.Equal(t, tally.Held, int64(0))
	assert.Assert(t, tally.Peak <= megabyte/5, "%d bytes were held", tally.Peak)
}

// TestOnlyJobIsAdmittedWhateverItsSize has a worker with the smallest memory reserve 6 MiB jobs: it must not admit more of them than fit
// into three quarters of its budget. A job that exceeds the budget of any worker must be admitted if it is the only one.
func TestOnlyJobIsAdmittedWhateverItsSize(t *testing.T) {
	held := newBudget(smallFront)
	first := mustReserve(t, held, memorybudget.Job, owner{Tenant: "a"}, 100*megabyte)
	_, err := held.Reserve(memorybudget.Job, owner{Tenant: "b"}, 1)
	assert.ErrorIs(t, err, memorybudget.ErrBudgetExceeded)
	first.Release()
	taken := 0
	for ; ; taken++ {
		if _, err = held.Reserve(memorybudget.Job, owner{}, 8*megabyte*3/4); err != nil {
			break
		}
	}
	assert.ErrorIs(t, err, memorybudget.ErrBudgetExceeded)
	assert.Assert(t, taken >= 2, "%d jobs were taken", taken)
	assert.Assert(t, held.TakeTally().Peak >= 100*megabyte)
	assert.Assert(t, held.TakeTally().Held <= smallFront/5*3/4)
}

// TestTenantLimitIsDistinguishedFromTotal has the jobs of one tenant refused while those of another still fit: only the refusal by the
// tenant's limit must wrap ErrOwnerLimit.
func TestTenantLimitIsDistinguishedFromTotal(t *testing.T) {
	held := newBudget(smallFront)
	mustReserve(t, held, memorybudget.Job, owner{Tenant: "a"}, 12*megabyte)
	_, err := held.Reserve(memorybudget.Job, owner{Tenant: "a"}, 6*megabyte)
	assert.ErrorIs(t, err, memorybudget.ErrOwnerLimit)
	assert.ErrorIs(t, err, memorybudget.ErrBudgetExceeded)
	mustReserve(t, held, memorybudget.Job, owner{Tenant: "b"}, 6*megabyte)
	_, err = held.Reserve(memorybudget.Job, owner{Tenant: "c"}, 6*megabyte)
	assert.Assert(t, errors.Is(err, memorybudget.ErrBudgetExceeded) && !errors.Is(err, memorybudget.ErrOwnerLimit), err)
}

// TestOutputOfJobsIsCountedBeyondTheLimits has the output of a job exceed the budget: it must be counted, because the memory is in use.
func TestOutputOfJobsIsCountedBeyondTheLimits(t *testing.T) {
	held := newBudget(smallFront)
	job := mustReserve(t, held, memorybudget.Job, owner{Tenant: "a"}, megabyte)
	job.Set(smallFront)
	assert.Assert(t, held.Exceeds(memorybudget.Job) && held.Exceeds(memorybudget.Kept))
	_, err := held.Reserve(memorybudget.Kept, owner{}, 1)
	assert.ErrorIs(t, err, memorybudget.ErrBudgetExceeded)
	job.Set(kilobyte)
	assert.Assert(t, !held.Exceeds(memorybudget.Kept))
	job.Release()
	job.Set(megabyte)
	now, all := held.Load()
	assert.Equal(t, now, int64(0))
	assert.Equal(t, all, smallFront/5)
}
