package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// hotLimit is the limit of a tenant that sends many times as much.
var hotLimit = Limit{Rate: 10, Burst: 10}

// unconfigured is a worker's view of a tenant before it has a configuration.
func unconfigured(ident.Tenant) (Limit, bool) { return Limit{}, false }

// configured is a worker's view of a tenant.
func configured(ident.Tenant) (Limit, bool) { return hotLimit, true }

// hotSite is a few nodes that send many times a tenant's limit, and the tenant's owner.
type hotSite struct {
	t       *testing.T
	ledger  *Ledger
	limitOf func(ident.Tenant) (Limit, bool)
	meters  []*Meter
	now     time.Time
}

func newHotSite(t *testing.T) *hotSite {
	s := &hotSite{t: t, now: time.Unix(1000, 0)}
	s.ledger = NewLedger(simWindow, s.now)
	for _, node := range []ident.Node{"a", "b", "c"} {
		s.meters = append(s.meters, NewMeter(node, 1, simWindow, s.now))
	}
	return s
}

// send has all nodes send for a time and returns how many requests they admitted.
func (s *hotSite) send(lasting time.Duration) int {
	admitted := 0
	for end := s.now.Add(lasting); s.now.Before(end); s.now = s.now.Add(10 * time.Millisecond) {
		for _, meter := range s.meters {
			if s.admits(meter) {
				admitted++
			}
		}
	}
	return admitted
}

// reportsForRequest is how often a request that waits has its node report, at most: an owner answers within a fraction of the time that a
// request waits.
const reportsForRequest = 2

// admits reports whether a node admits one more request.
func (s *hotSite) admits(meter *Meter) bool {
	decision := meter.Take("hot", hotLimit, s.now).Decision
	for range reportsForRequest {
		if decision != Ask {
			break
		}
		meter.BeginWait("hot", hotLimit)
		for _, spending := range meter.DueReports(func(ident.Tenant) string { return "owner" }, s.now) {
			assert.Assert(s.t, meter.ApplyAnswer(spending, s.ledger.ApplyReport(spending, s.limitOf, s.now), s.now))
		}
		meter.EndWait("hot")
		decision = meter.Take("hot", hotLimit, s.now).Decision
	}
	return decision == Admit
}

// checkWindow checks the requests admitted in a window: not more than the limit allows, and not far fewer.
func (s *hotSite) checkWindow(admitted int) {
	s.t.Helper()
	assert.Check(s.t, float64(admitted) <= hotLimit.allowance(simWindow)*(1+simOverage)+simSlack, "%d requests in a window", admitted)
	assert.Check(s.t, float64(admitted) >= hotLimit.allowance(simWindow)/2,
		"only %d requests in a window: requests within the limit were refused", admitted)
}

// TestOwnerWithoutTheConfigurationKeepsToTheLimit has the owner be a worker that has just started, as after a simultaneous restart
// of all machines, and has no configuration of any tenant yet, while nodes that have it send many times the limit. The requests
// admitted in a window must stay within the usual bound.
func TestOwnerWithoutTheConfigurationKeepsToTheLimit(t *testing.T) {
	s := newHotSite(t)
	s.limitOf = unconfigured
	s.checkWindow(s.send(simWindow))
}

// TestOwnerThatRestartsWithoutTheConfigurationKeepsToTheLimit guards against a limit that is passed after its owner was killed while the store
// is away: the owner comes back at the same address with neither accounts nor configuration, and nodes believe that it knows the limit.
func TestOwnerThatRestartsWithoutTheConfigurationKeepsToTheLimit(t *testing.T) {
	for _, before := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second} {
		s := newHotSite(t)
		s.limitOf = configured
		admitted := s.send(before)
		s.ledger, s.limitOf = NewLedger(simWindow, s.now), unconfigured
		s.checkWindow(admitted + s.send(simWindow-before))
	}
}
