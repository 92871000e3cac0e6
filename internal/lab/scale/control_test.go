package scale

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// smallControl is a run of 44 nodes, which takes some seconds.
func smallControl(phases ...string) Control {
	const nodes = 44
	return Control{
		Shape: Shape{Nodes: nodes, Zones: 11}, Seed: 20261202, Runners: 117, Rate: 333, Loss: 0.01,
		Settle: 20 * time.Second, Steady: 5 * time.Second, Fault: 20 * time.Second, Phases: phases,
	}
}

// TestControlRunRepeats plays one seed twice: all that was sent, and all that came of it, must be the same.
func TestControlRunRepeats(t *testing.T) {
	gist := func() string {
		control := smallControl()
		control.TenantRate = 1000
		f := newControlFleet(control)
		f.fleet.Run(15 * time.Second)
		text := fmt.Sprintf("%+v %+v", f.requests, f.owners)
		for _, hollow := range f.fleet.Order {
			text += fmt.Sprintf(" %+v", hollow.Traffic)
			for _, service := range []string{serviceOnline, serviceShare, serviceLimits, serviceEngine} {
				text += fmt.Sprintf(" %+v", *f.nodes[hollow.Self.Node].account(service))
			}
		}
		return text
	}
	assert.Equal(t, gist(), gist())
}

// TestLeavingAndOwnershipInAWholeFleet plays runners that leave and the loss of a zone: the last new work comes at most 2 s
// after the mark, and every runner has one owner again at the end.
func TestLeavingAndOwnershipInAWholeFleet(t *testing.T) {
	const bound = 2 * time.Second
	for _, m := range smallControl("start", "leaving", "zone").Run() {
		assert.Assert(t, m.LastWork <= bound, "%s: work %v after the mark", m.Phase, m.LastWork)
		if m.Phase == "start" || m.Phase == "zone back" {
			assert.Assert(t, m.Owned >= 0, "%s: %d runners without owner, %d with two", m.Phase, m.NoneMost, m.TwoMost)
			assert.Assert(t, m.Settled >= 0, "%s: nodes disagree on the members", m.Phase)
		}
	}
}
