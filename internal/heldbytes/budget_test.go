package heldbytes_test

import (
	"errors"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/heldbytes"
)

const (
	kilobyte = int64(1 << 10)
	megabyte = int64(1 << 20)
	// smallFront is the memory of the smallest front that is known.
	smallFront = 136 * megabyte
	// itemsBody is the body of a job with large items.
	itemsBody = 620_000
)

type (
	budget      = heldbytes.Budget[string, int]
	reservation = heldbytes.Reservation[string, int]
	owner       = heldbytes.Owner[string, int]
)

func newBudget(memory int64) *budget { return heldbytes.New[string, int](heldbytes.LimitsOf(memory)) }

// mustReserve takes bytes that fit.
func mustReserve(t *testing.T, of *budget, kind heldbytes.Kind, whose owner, bytes int64) *reservation {
	t.Helper()
	made, err := of.Reserve(kind, whose, bytes)
	assert.NilError(t, err)
	return made
}

// TestHeapOfJobsLeavesRoomForRequests is the load of a hundred jobs of 620,000 bytes that come at one front in a moment, beside a peak of
// 1,435 requests of 4 KiB: the jobs beyond the budget are refused, every request fits. A request that finds no room may be late for its
// caller, a job comes again. 2,870 descriptors are what the smallest front has, and a request takes two.
func TestHeapOfJobsLeavesRoomForRequests(t *testing.T) {
	held := newBudget(smallFront)
	taken := 0
	for connection := range 100 {
		if _, err := held.Reserve(heldbytes.Submission, owner{Connection: connection + 1}, itemsBody); err == nil {
			taken++
		}
	}
	assert.Assert(t, taken > 10 && taken < 100, "%d jobs were taken", taken)
	for request := range 1435 {
		mustReserve(t, held, heldbytes.Request, owner{Connection: 1000 + request}, 4*kilobyte)
	}
	tally := held.Take()
	assert.Equal(t, tally.RefusedInAll(), 100-taken)
	assert.Assert(t, tally.Most <= smallFront/5, "%d bytes were held", tally.Most)
}

// TestAnswersFitBesideRequests fills a front with requests: a quarter is left for the answers of those that have run.
func TestAnswersFitBesideRequests(t *testing.T) {
	held := newBudget(smallFront)
	for connection := 1; ; connection++ {
		if _, err := held.Reserve(heldbytes.Request, owner{Connection: connection}, megabyte); err != nil {
			assert.ErrorIs(t, err, heldbytes.ErrOver)
			break
		}
	}
	answers := int64(0)
	for connection := 1; ; connection++ {
		if _, err := held.Reserve(heldbytes.Answer, owner{Connection: connection}, 64*kilobyte); err != nil {
			break
		}
		answers += 64 * kilobyte
	}
	assert.Assert(t, answers > smallFront/5/4-2*megabyte, "answers had %d bytes", answers)
}

// TestOneTenantLeavesRoomForOthers has a tenant send as many requests as it can, over many connections: the others find room for as much
// as half as many, which is what a node holds for one tenant that sends alone.
func TestOneTenantLeavesRoomForOthers(t *testing.T) {
	held := newBudget(smallFront)
	hot := 0
	for ; ; hot++ {
		if _, err := held.Reserve(heldbytes.Request, owner{Tenant: "hot", Connection: hot + 1}, 64*kilobyte); err != nil {
			break
		}
	}
	for other := range hot / 2 {
		mustReserve(t, held, heldbytes.Request, owner{Tenant: "other", Connection: -1 - other}, 60*kilobyte)
	}
}

// TestOneConnectionLeavesRoomForOthers is the same without tenants: a connection that takes all it can leaves three quarters.
func TestOneConnectionLeavesRoomForOthers(t *testing.T) {
	held := newBudget(smallFront)
	one := mustReserve(t, held, heldbytes.Request, owner{Connection: 1}, 4*megabyte)
	for one.Grow(megabyte) == nil {
	}
	mustReserve(t, held, heldbytes.Request, owner{Connection: 2}, 4*megabyte)
	mustReserve(t, held, heldbytes.Request, owner{Connection: 3}, 4*megabyte)
}

func TestReservationIsGivenBackOnce(t *testing.T) {
	held := newBudget(smallFront)
	first := mustReserve(t, held, heldbytes.Request, owner{Tenant: "a", Connection: 1}, 1000)
	second := mustReserve(t, held, heldbytes.Request, owner{Tenant: "a", Connection: 2}, 10)
	first.Release()
	first.Release()
	first.Shrink(5)
	assert.ErrorIs(t, first.Grow(1), heldbytes.ErrOver)
	assert.Equal(t, held.Take().Held, int64(10))
	second.Shrink(20)
	assert.Equal(t, held.Take().Held, int64(0))
}

// TestLowerLimitsRefuseUntilWhatIsHeldFits has the settings read again with less memory.
func TestLowerLimitsRefuseUntilWhatIsHeldFits(t *testing.T) {
	held := newBudget(smallFront)
	large := mustReserve(t, held, heldbytes.Request, owner{Connection: 1}, 4*megabyte)
	held.SetLimits(heldbytes.LimitsOf(megabyte))
	_, err := held.Reserve(heldbytes.Request, owner{Connection: 2}, 1)
	assert.ErrorIs(t, err, heldbytes.ErrOver)
	large.Release()
	mustReserve(t, held, heldbytes.Request, owner{Connection: 2}, 1)
}

// TestNoBudgetRefusesNothing is that of a node whose settings bound nothing.
func TestNoBudgetRefusesNothing(t *testing.T) {
	var none *budget
	made, err := none.Reserve(heldbytes.Request, owner{}, 1<<60)
	assert.NilError(t, err)
	assert.NilError(t, made.Grow(1<<60))
	made.Shrink(1)
	made.Release()
	none.NoteCut()
}

// model is what a budget is to hold, kept the plain way.
type model struct {
	made map[*reservation]*modelled
}

type modelled struct {
	kind     heldbytes.Kind
	whose    owner
	bytes    int64
	released bool
}

// sum adds up the reservations that are counted.
func (m *model) sum(counts func(owner) bool) int64 {
	sum := int64(0)
	for _, one := range m.made {
		if counts(one.whose) {
			sum += one.bytes
		}
	}
	return sum
}

// allows says whether an owner may have more by the limits.
func (m *model) allows(limits heldbytes.Limits, kind heldbytes.Kind, whose owner, bytes int64) bool {
	all := m.sum(func(owner) bool { return true })
	tenant := m.sum(func(other owner) bool { return other.Tenant == whose.Tenant })
	connection := m.sum(func(other owner) bool { return other.Connection == whose.Connection })
	return all+bytes <= limits.Kinds[kind] && (whose.Tenant == "" || tenant+bytes <= limits.Tenant) &&
		(whose.Connection == 0 || connection+bytes <= limits.Connection)
}

// TestDrawnBudgetsHoldWhatTheirReservationsDo draws reservations, growths and releases: the budget takes exactly what its limits allow,
// and its sum is that of the reservations at each step.
func TestDrawnBudgetsHoldWhatTheirReservationsDo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := heldbytes.LimitsOf(rapid.Int64Range(100, 10_000).Draw(t, "memory"))
		held := heldbytes.New[string, int](limits)
		kept := &model{made: map[*reservation]*modelled{}}
		var order []*reservation
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			bytes := rapid.Int64Range(0, 600).Draw(t, "bytes")
			kind := heldbytes.Kind(rapid.IntRange(0, 3).Draw(t, "kind"))
			step := rapid.IntRange(0, 3).Draw(t, "step")
			if step == 0 || len(order) == 0 {
				whose := owner{Tenant: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "tenant"), Connection: rapid.IntRange(0, 3).Draw(t, "connection")}
				made, err := held.Reserve(kind, whose, bytes)
				if fits := kept.allows(limits, kind, whose, bytes); fits != (err == nil) {
					t.Fatalf("reserving %d of %v: fits %v, %v", bytes, whose, fits, err)
				}
				if err == nil {
					kept.made[made] = &modelled{kind: kind, whose: whose, bytes: bytes}
					order = append(order, made)
				}
			} else {
				changeDrawn(t, limits, kept, order, step, bytes)
			}
			if got, want := held.Take().Held, kept.sum(func(owner) bool { return true }); got != want {
				t.Fatalf("%d bytes are held, want %d", got, want)
			}
		}
	})
}

// changeDrawn grows, shrinks or releases one of the reservations.
func changeDrawn(t *rapid.T, limits heldbytes.Limits, kept *model, order []*reservation, step int, bytes int64) {
	chosen := rapid.SampledFrom(order).Draw(t, "reservation")
	one := kept.made[chosen]
	switch step {
	case 1:
		fits := !one.released && kept.allows(limits, one.kind, one.whose, bytes)
		err := chosen.Grow(bytes)
		if fits != (err == nil) || (err != nil && !errors.Is(err, heldbytes.ErrOver)) {
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

// TestBudgetUnderManyGoroutines ends with nothing held.
func TestBudgetUnderManyGoroutines(t *testing.T) {
	held := newBudget(megabyte)
	var running sync.WaitGroup
	for connection := range 16 {
		running.Go(func() {
			for range 500 {
				made, err := held.Reserve(heldbytes.Request, owner{Tenant: "t", Connection: connection + 1}, 4*kilobyte)
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
	tally := held.Take()
	assert.Equal(t, tally.Held, int64(0))
	assert.Assert(t, tally.Most <= megabyte/5, "%d bytes were held", tally.Most)
}

// TestOnlyJobIsTakenWhateverItsSize has a worker of the smallest memory claim jobs of 8 MiB: it takes no more than three quarters of its
// budget has room for, and one that no worker has room for all the same where it has no other.
func TestOnlyJobIsTakenWhateverItsSize(t *testing.T) {
	held := newBudget(smallFront)
	first := mustReserve(t, held, heldbytes.Job, owner{Tenant: "a"}, 100*megabyte)
	_, err := held.Reserve(heldbytes.Job, owner{Tenant: "b"}, 1)
	assert.ErrorIs(t, err, heldbytes.ErrOver)
	first.Release()
	taken := 0
	for ; ; taken++ {
		if _, err = held.Reserve(heldbytes.Job, owner{}, 8*megabyte*3/4); err != nil {
			break
		}
	}
	assert.ErrorIs(t, err, heldbytes.ErrOver)
	assert.Assert(t, taken >= 2, "%d jobs were taken", taken)
	assert.Assert(t, held.Take().Most >= 100*megabyte)
	assert.Assert(t, held.Take().Held <= smallFront/5*3/4)
}

// TestPartOfOneTenantIsToldFromTheWhole has one tenant's jobs refused while there is room for another's.
func TestPartOfOneTenantIsToldFromTheWhole(t *testing.T) {
	held := newBudget(smallFront)
	mustReserve(t, held, heldbytes.Job, owner{Tenant: "a"}, 12*megabyte)
	_, err := held.Reserve(heldbytes.Job, owner{Tenant: "a"}, 6*megabyte)
	assert.ErrorIs(t, err, heldbytes.ErrShare)
	assert.ErrorIs(t, err, heldbytes.ErrOver)
	mustReserve(t, held, heldbytes.Job, owner{Tenant: "b"}, 6*megabyte)
	_, err = held.Reserve(heldbytes.Job, owner{Tenant: "c"}, 6*megabyte)
	assert.Assert(t, errors.Is(err, heldbytes.ErrOver) && !errors.Is(err, heldbytes.ErrShare), err)
}

// TestOutputOfJobsIsCountedBeyondTheLimits has the items of a job put out more than the budget: it is there, and counted.
func TestOutputOfJobsIsCountedBeyondTheLimits(t *testing.T) {
	held := newBudget(smallFront)
	job := mustReserve(t, held, heldbytes.Job, owner{Tenant: "a"}, megabyte)
	job.Set(smallFront)
	assert.Assert(t, held.Over(heldbytes.Job) && held.Over(heldbytes.Kept))
	_, err := held.Reserve(heldbytes.Kept, owner{}, 1)
	assert.ErrorIs(t, err, heldbytes.ErrOver)
	job.Set(kilobyte)
	assert.Assert(t, !held.Over(heldbytes.Kept))
	job.Release()
	job.Set(megabyte)
	now, all := held.Load()
	assert.Equal(t, now, int64(0))
	assert.Equal(t, all, smallFront/5)
}
