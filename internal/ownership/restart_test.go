package ownership_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/membership"
	"mallowlatch.example/mallowlatch/internal/ownership"
)

// restart simulates a new engine process, which does not know earlier claims.
func (r *fakeEngine) restart() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.starts++
	r.epoch, r.owner = 0, ""
}

func TestRestartedEngineIsClaimedAgain(t *testing.T) {
	s := newSite(3, 3)
	s.run(5)
	before := s.engines["r0"].epoch
	s.engines["r0"].restart()
	s.run(6)
	assert.Equal(t, len(s.holders("r0")), 1)
	assert.Assert(t, s.engines["r0"].epoch > before)
}

// TestFormerOwnerIsRefusedByARestartedEngine restarts the engine while its owner is paused, and a node that never queried it
// before claims it: what the former owner sends late, batch work or a claim, must be below the fence of the new process.
func TestFormerOwnerIsRefusedByARestartedEngine(t *testing.T) {
	s := newSite(3, 1)
	s.run(5)
	former := s.holders("r0")[0]
	old := s.nodes[former].service.Owned()[0]
	s.nodes[former].paused = true
	s.setState(former, membership.Dead)
	s.engines["r0"].restart()
	s.run(5)
	assert.Equal(t, len(s.holders("r0")), 1)
	assert.Assert(t, old.Epoch < s.engines["r0"].epoch, "batch calls at epoch %d pass the fence %d", old.Epoch, s.engines["r0"].epoch)
	late := engine.Order{Kind: engine.OrderOwn, Epoch: old.Epoch, Node: former}
	_, err := s.engines["r0"].Order(context.Background(), late)
	assert.Assert(t, errors.Is(err, engine.ErrFenced))
}

// newClaimant returns a planner that has claimed its only runner.
func newClaimant(t *testing.T, at time.Time) *ownership.Planner {
	planner := ownership.NewPlanner(ownership.DefaultConfig(), "n")
	plan(planner, at)
	planner.Observe("r", ownership.OwnerReport{Incarnation: "a", RequestedAt: at}, at)
	epoch, due := claimAt(planner, at.Add(2*time.Second))
	assert.Assert(t, due)
	planner.Claimed("r", epoch, "a", at.Add(2*time.Second))
	assert.Equal(t, len(planner.Owned(at.Add(2*time.Second))), 1)
	return planner
}

var onlyMember = []membership.Member{{Node: "n", Zone: "z"}}

func plan(planner *ownership.Planner, now time.Time) {
	planner.Plan(now, []ownership.Runner{{ID: "r", Zone: "z"}}, onlyMember, nil)
}

func claimAt(planner *ownership.Planner, now time.Time) (uint64, bool) {
	return planner.Claim("r", now, onlyMember)
}

// TestLateReportOfAFormerIncarnationChangesNothing delivers reports and grants of the former process late.
func TestLateReportOfAFormerIncarnationChangesNothing(t *testing.T) {
	start := time.Unix(1000, 0)
	planner := newClaimant(t, start)
	held := planner.Owned(start.Add(2 * time.Second))[0].Epoch
	requestedAt := start.Add(3 * time.Second)
	now := requestedAt.Add(time.Second)
	planner.Observe("r", ownership.OwnerReport{Incarnation: "b", RequestedAt: requestedAt}, now)
	assert.Equal(t, len(planner.Owned(now)), 0, "the claim outlived the engine process that granted it")
	planner.Observe("r", ownership.OwnerReport{Epoch: held, Owner: "n", Incarnation: "a", RequestedAt: requestedAt}, now)
	planner.Claimed("r", held+1, "a", now)
	assert.Equal(t, len(planner.Owned(now)), 0, "a late report restored the claim")
	epoch, due := claimAt(planner, now)
	assert.Assert(t, due, "a late report kept the new process from being claimed")
	assert.Assert(t, epoch > held+1, "the claim %d is not above %d", epoch, held+1)
}

// TestIncarnationChangesOnlyByALaterQuery checks that a report is ignored if its query was in flight when the last report arrived:
// either process may have answered it.
func TestIncarnationChangesOnlyByALaterQuery(t *testing.T) {
	start := time.Unix(1000, 0)
	planner := newClaimant(t, start)
	planner.Observe("r", ownership.OwnerReport{Incarnation: "0", RequestedAt: start.Add(time.Second)}, start.Add(3*time.Second))
	assert.Equal(t, len(planner.Owned(start.Add(3*time.Second))), 1)
}

// TestHighestEpochOutlivesTheListing checks that a runner that was unlisted for a while is claimed above the epochs known before,
// even if the clock was set back.
func TestHighestEpochOutlivesTheListing(t *testing.T) {
	start := time.Unix(1000, 0)
	planner := newClaimant(t, start)
	held := planner.Owned(start.Add(2 * time.Second))[0].Epoch
	planner.Plan(start, nil, onlyMember, nil)
	back := start.Add(-time.Hour)
	plan(planner, back)
	planner.Observe("r", ownership.OwnerReport{Incarnation: "b", RequestedAt: back}, back)
	epoch, due := claimAt(planner, back.Add(2*time.Second))
	assert.Assert(t, due)
	assert.Assert(t, epoch > held)
}

// TestEpochsGrowOverIncarnations checks that, with any restarts, pauses and lost answers, the epochs granted over all incarnations
// of an engine never repeat.
func TestEpochsGrowOverIncarnations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(rapid.IntRange(1, 4).Draw(t, "nodes"), 1)
		tested := s.engines["r0"]
		var highest uint64
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			name := rapid.SampledFrom(s.names).Draw(t, "node")
			paused := rapid.Bool().Draw(t, "paused")
			s.nodes[name].paused = paused
			s.setState(name, map[bool]membership.State{true: membership.Dead, false: membership.Alive}[paused])
			tested.loseAnswer = rapid.Bool().Draw(t, "lost answer")
			if rapid.Bool().Draw(t, "restart") {
				highest = max(highest, tested.epoch)
				tested.restart()
			}
			s.run(rapid.IntRange(1, 6).Draw(t, "seconds"))
			assert.Assert(t, tested.epoch == 0 || tested.epoch > highest, "%d after %d", tested.epoch, highest)
		}
		for _, name := range s.names {
			s.setState(name, membership.Alive)
			s.nodes[name].paused = false
		}
		s.run(700)
		assert.Equal(t, len(s.holders("r0")), 1)
	})
}

func (r *fakeEngine) incarnation() string { return fmt.Sprint("start ", r.starts) }
