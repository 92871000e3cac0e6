package node

import (
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/membership"
	"mallowlatch.example/mallowlatch/internal/policy"
	"mallowlatch.example/mallowlatch/internal/policy/live"
)

// cutOffWatch knows whether this node's zone is cut off, and asks the policies what to do then. A zone is cut off when it
// knows of other zones and reaches none of them.
type cutOffWatch struct {
	zone     ident.Zone
	region   ident.Region
	view     func() *membership.View
	policies *live.Evaluator

	mutex sync.Mutex
	// since is when the zone was first seen cut off; zero while it is not.
	since time.Time
}

// action returns what the policy of a service says for now.
func (w *cutOffWatch) action(service string, now time.Time) policy.CutOffAction {
	lasted, cut := w.lasted(now)
	if !cut {
		return policy.Serve
	}
	return w.policies.WhenCutOff(policy.Site{Zone: w.zone, Region: w.region, Service: service, CutOff: lasted})
}

func (w *cutOffWatch) refusesBatch(service string, now time.Time) bool {
	return w.action(service, now) != policy.Serve
}

func (w *cutOffWatch) refusesOnline(service string, now time.Time) bool {
	return w.action(service, now) == policy.RefuseAll
}

// lasted returns how long the zone has been cut off, and whether it is.
func (w *cutOffWatch) lasted(now time.Time) (time.Duration, bool) {
	cut := isolated(w.view())
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !cut {
		w.since = time.Time{}
		return 0, false
	}
	if w.since.IsZero() {
		w.since = now
	}
	return now.Sub(w.since), true
}

// isolated reports whether other zones are known and none of them is reached.
func isolated(view *membership.View) bool {
	others := map[ident.Zone]bool{}
	for _, member := range view.Members {
		if member.Zone != view.Zone && member.State != membership.Dead {
			others[member.Zone] = true
		}
	}
	for _, zone := range view.CutOff {
		delete(others, zone)
	}
	return len(view.CutOff) > 0 && len(others) == 0
}
