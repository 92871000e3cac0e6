package online_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/online"
	"mallowlatch.example/mallowlatch/internal/outcome"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

const fairObjective = 300 * time.Millisecond

// serveOf sends requests of a tenant at the same moment and returns where their ends will come.
func serveOf(t *testing.T, forwarder *online.Forwarder, tenant ident.Tenant, kind, requests int) <-chan result {
	route := &work.Route{
		Name: "r", Kind: work.Idempotent, MaximumAttempts: 1, Objective: fairObjective, Priority: kind,
		Split: []work.WeightedService{{Service: "s", Weight: 1}},
	}
	ended := make(chan result, requests)
	for range requests {
		go func() {
			began := time.Now()
			request := &work.Request{ID: "q", Tenant: tenant, Arrived: began, Deadline: began.Add(5 * time.Second)}
			err := forwarder.Serve(t.Context(), route, request, &recorder{})
			ended <- result{err: err, took: time.Since(began)}
		}()
	}
	synctest.Wait()
	return ended
}

// bind tells a node that a tenant may have some places.
func bind(forwarder *online.Forwarder, tenant ident.Tenant, places int) {
	forwarder.Learn([]demand.Bound{{Service: "s", Places: slots}, {Service: "s", Tenant: tenant, Places: places}}, time.Now())
}

// TestTenantOverItsShareLeavesTheShortQueueToTheOthers has a tenant with a bound of one place send more than a runner's slots, and another tenant one
// request: the first has all slots, for none is held empty, and the other's request goes to the runner before any that waits.
func TestTenantOverItsShareLeavesTheShortQueueToTheOthers(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		caller := &busyCaller{takes: 100 * time.Millisecond}
		forwarder := busySite(caller)
		<-serveOf(t, forwarder, "other", 0, 1)
		bind(forwarder, "hot", 1)
		hot := serveOf(t, forwarder, "hot", 0, slots+3)
		assert.Equal(t, caller.running, slots, "a slot is left empty, or the queue is taken")
		other := <-serveOf(t, forwarder, "other", 0, 1)
		assert.NilError(t, other.err)
		assert.Equal(t, other.took, caller.takes, "it waited for those of the hot tenant")
		for range slots + 3 {
			<-hot
		}
	})
}

// TestWhatYieldsIsToldAtOnceThatItIsNotInTime has a tenant over its share send far more than its places serve in time. Those that would be late are
// told at once that they have not run, and to come back spread over what a caller waits; the others' requests are served.
func TestWhatYieldsIsToldAtOnceThatItIsNotInTime(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		caller := &busyCaller{takes: 100 * time.Millisecond}
		forwarder := busySite(caller)
		const requests = 60
		for ended, left := serveOf(t, forwarder, "hot", 0, slots), slots; left > 0; left-- {
			<-ended
		}
		bind(forwarder, "hot", 1)
		hot := serveOf(t, forwarder, "hot", 0, requests)
		other := serveOf(t, forwarder, "other", 0, 1)
		times, refused := map[time.Duration]bool{}, 0
		for range requests {
			got := <-hot
			var told *failure.Error
			if !errors.As(got.err, &told) {
				continue
			}
			refused++
			assert.Equal(t, got.took, time.Duration(0))
			assert.Equal(t, told.Outcome, outcome.NotRun)
			assert.Assert(t, told.RetryAfter >= fairObjective && told.RetryAfter <= 5*time.Second/3, "%v", told.RetryAfter)
			times[told.RetryAfter] = true
		}
		assert.Assert(t, refused >= requests/2 && len(times) > refused/2, "%d refused, %d different times", refused, len(times))
		assert.NilError(t, (<-other).err)
	})
}

// TestLessUrgentKindPassesNoMoreUrgentOneThatYields has a bounded tenant's requests of a more urgent kind wait, and another tenant's of a less
// urgent one come.
func TestLessUrgentKindPassesNoMoreUrgentOneThatYields(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		caller := &busyCaller{takes: 100 * time.Millisecond}
		forwarder := busySite(caller)
		<-serveOf(t, forwarder, "other", 0, 1)
		bind(forwarder, "hot", 1)
		urgent := serveOf(t, forwarder, "hot", 0, slots+1)
		less := serveOf(t, forwarder, "other", 1, 1)
		for range slots + 1 {
			assert.NilError(t, (<-urgent).err)
		}
		assert.Assert(t, (<-less).took >= 2*caller.takes, "it passed a more urgent kind")
	})
}

// TestScarcityIsToldBeforePlacesAreFull has a runner leave requests without an answer for longer than prompts are read: what tenants have is told,
// as waiting, and before that nothing is.
func TestScarcityIsToldBeforePlacesAreFull(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		forwarder := busySite(&busyCaller{takes: 200 * time.Millisecond})
		ended := serveOf(t, forwarder, "a", 0, 2)
		assert.Equal(t, len(forwarder.Uses()), 0)
		time.Sleep(100 * time.Millisecond)
		assert.DeepEqual(t, forwarder.Uses(), []demand.Use{{Service: "s", Tenant: "a", Waiting: 2}})
		<-ended
		<-ended
		synctest.Wait()
		assert.Equal(t, len(forwarder.Uses()), 0, "they have ended")
	})
}

// TestWithoutTenantsNothingIsToldOfScarcePlaces has more requests of nobody come than there are places, and a bound be heard.
func TestWithoutTenantsNothingIsToldOfScarcePlaces(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		caller := &busyCaller{takes: 20 * time.Millisecond}
		forwarder := busySite(caller)
		bind(forwarder, "hot", 1)
		ended := serveOf(t, forwarder, "", 0, 20)
		assert.Equal(t, len(forwarder.Uses()), 0)
		bind(forwarder, "hot", 1)
		for range 20 {
			assert.NilError(t, (<-ended).err)
		}
		assert.Equal(t, caller.most, slots+queued)
	})
}
