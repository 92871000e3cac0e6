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

// serveTenant sends requests of a tenant at the same moment and returns the channel of their results.
func serveTenant(t *testing.T, forwarder *online.Forwarder, tenant ident.Tenant, kind, requests int) <-chan result {
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

// setBound applies a bound on the slots of a tenant.
func setBound(forwarder *online.Forwarder, tenant ident.Tenant, limit int) {
	forwarder.ApplyBounds([]demand.Bound{{Service: "s", Slots: slots}, {Service: "s", Tenant: tenant, Slots: limit}}, time.Now())
}

// TestTenantOverItsShareLeavesTheShortQueueToTheOthers has a tenant with a bound of one slot send more requests than a runner
// has slots, and another tenant send one. The first must get all slots, since none is kept empty, and the other's request must
// go to the runner before any that waits.
func TestTenantOverItsShareLeavesTheShortQueueToTheOthers(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		caller := &busyCaller{takes: 100 * time.Millisecond}
		forwarder := busySite(caller)
		<-serveTenant(t, forwarder, "other", 0, 1)
		setBound(forwarder, "hot", 1)
		hot := serveTenant(t, forwarder, "hot", 0, slots+3)
		assert.Equal(t, caller.running, slots, "a slot is left empty, or the queue is taken")
		other := <-serveTenant(t, forwarder, "other", 0, 1)
		assert.NilError(t, other.err)
		assert.Equal(t, other.took, caller.takes, "it waited for requests of the hot tenant")
		for range slots + 3 {
			<-hot
		}
	})
}

// TestYieldingRequestsAreRefusedAtOnceWhenLate has a tenant over its share send far more requests than its slots serve in
// time. Those that would be late must be refused at once as not run, with retry delays spread over the time that a caller
// waits; another tenant's requests are served.
func TestYieldingRequestsAreRefusedAtOnceWhenLate(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		caller := &busyCaller{takes: 100 * time.Millisecond}
		forwarder := busySite(caller)
		const requests = 60
		for ended, left := serveTenant(t, forwarder, "hot", 0, slots), slots; left > 0; left-- {
			<-ended
		}
		setBound(forwarder, "hot", 1)
		hot := serveTenant(t, forwarder, "hot", 0, requests)
		other := serveTenant(t, forwarder, "other", 0, 1)
		delays, refused := map[time.Duration]bool{}, 0
		for range requests {
			got := <-hot
			var rejection *failure.Error
			if !errors.As(got.err, &rejection) {
				continue
			}
			refused++
			assert.Equal(t, got.took, time.Duration(0))
			assert.Equal(t, rejection.Outcome, outcome.NotRun)
			assert.Assert(t, rejection.RetryAfter >= fairObjective && rejection.RetryAfter <= 5*time.Second/3, "%v", rejection.RetryAfter)
			delays[rejection.RetryAfter] = true
		}
		assert.Assert(t, refused >= requests/2 && len(delays) > refused/2, "%d refused, %d different times", refused, len(delays))
		assert.NilError(t, (<-other).err)
	})
}

// TestLessUrgentKindDoesNotPassYieldingMoreUrgentKind has a bounded tenant's requests of a more urgent kind wait when another
// tenant's request of a less urgent kind arrives.
func TestLessUrgentKindDoesNotPassYieldingMoreUrgentKind(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		caller := &busyCaller{takes: 100 * time.Millisecond}
		forwarder := busySite(caller)
		<-serveTenant(t, forwarder, "other", 0, 1)
		setBound(forwarder, "hot", 1)
		urgent := serveTenant(t, forwarder, "hot", 0, slots+1)
		less := serveTenant(t, forwarder, "other", 1, 1)
		for range slots + 1 {
			assert.NilError(t, (<-urgent).err)
		}
		assert.Assert(t, (<-less).took >= 2*caller.takes, "it passed a more urgent kind")
	})
}

// TestScarcityIsReportedBeforeSlotsAreFull has a runner leave requests without an answer for longer than prompts take to
// process. The node must report them as waiting then, and nothing before.
func TestScarcityIsReportedBeforeSlotsAreFull(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		forwarder := busySite(&busyCaller{takes: 200 * time.Millisecond})
		ended := serveTenant(t, forwarder, "a", 0, 2)
		assert.Equal(t, len(forwarder.UsageReport()), 0)
		time.Sleep(100 * time.Millisecond)
		assert.DeepEqual(t, forwarder.UsageReport(), []demand.Use{{Service: "s", Tenant: "a", Waiting: 2}})
		<-ended
		<-ended
		synctest.Wait()
		assert.Equal(t, len(forwarder.UsageReport()), 0, "requests that ended are reported")
	})
}

// TestWithoutTenantsNoScarcityIsReported sends more requests without a tenant than there are slots, and applies a bound.
func TestWithoutTenantsNoScarcityIsReported(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		caller := &busyCaller{takes: 20 * time.Millisecond}
		forwarder := busySite(caller)
		setBound(forwarder, "hot", 1)
		ended := serveTenant(t, forwarder, "", 0, 20)
		assert.Equal(t, len(forwarder.UsageReport()), 0)
		setBound(forwarder, "hot", 1)
		for range 20 {
			assert.NilError(t, (<-ended).err)
		}
		assert.Equal(t, caller.most, slots+queued)
	})
}
