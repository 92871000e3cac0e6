package ownership_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/membership"
	"mallowlatch.example/mallowlatch/internal/ownership"
)

// fakeEngine simulates the part of an engine that grants ownership by epoch.
type fakeEngine struct {
	engine.Engine
	mutex sync.Mutex
	epoch uint64
	owner ident.Node
	// loseAnswer makes the next order take effect while its answer is lost.
	loseAnswer bool
	grants     int
	// starts is the number of restarts.
	starts int
}

func (r *fakeEngine) Load(context.Context) (engine.LoadReport, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return engine.LoadReport{OwnerEpoch: r.epoch, Owner: r.owner, Incarnation: r.incarnation()}, nil
}

func (r *fakeEngine) Order(_ context.Context, order engine.Order) (engine.OrderReply, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if order.Epoch < r.epoch || (order.Epoch == r.epoch && order.Node != r.owner) {
		return engine.OrderReply{}, fmt.Errorf("order: %w", engine.ErrFenced)
	}
	r.epoch, r.owner = order.Epoch, order.Node
	r.grants++
	if r.loseAnswer {
		r.loseAnswer = false
		return engine.OrderReply{}, fmt.Errorf("order: %w", engine.ErrBroken)
	}
	return engine.OrderReply{Epoch: r.epoch, Owner: r.owner}, nil
}

// site is a set of nodes, each with its own view of the members, and a set of engines, with a common simulated clock.
type site struct {
	now     time.Time
	engines map[ident.Runner]*fakeEngine
	runners []ownership.Runner
	nodes   map[ident.Node]*siteNode
	names   []ident.Node
}

type siteNode struct {
	service *ownership.Service
	view    []membership.Member
	paused  bool
}

func newSite(nodes, runners int) *site {
	s := &site{now: time.Unix(1000, 0), engines: map[ident.Runner]*fakeEngine{}, nodes: map[ident.Node]*siteNode{}}
	var members []membership.Member
	for index := range nodes {
		name := ident.Node(fmt.Sprintf("n%d", index))
		s.names = append(s.names, name)
		members = append(members, membership.Member{Node: name, Zone: "z"})
	}
	for index := range runners {
		runner := ident.Runner(fmt.Sprintf("r%d", index))
		s.engines[runner] = &fakeEngine{}
		s.runners = append(s.runners, ownership.Runner{ID: runner, Zone: "z"})
	}
	for _, name := range s.names {
		node := &siteNode{view: append([]membership.Member(nil), members...)}
		node.service = ownership.NewService(ownership.Options{
			Self:    name,
			Members: func() []membership.Member { return node.view },
			Runners: func() []ownership.Runner { return s.runners },
			Engine:  func(runner ident.Runner) (engine.Engine, bool) { return s.engines[runner], true },
			Now:     func() time.Time { return s.now },
			Logger:  zerolog.Nop(),
		})
		s.nodes[name] = node
	}
	return s
}

func (s *site) run(seconds int) {
	for range 2 * seconds {
		s.now = s.now.Add(500 * time.Millisecond)
		for _, name := range s.names {
			node := s.nodes[name]
			if node.paused {
				continue
			}
			for _, runner := range node.service.Plan() {
				node.service.QueryAndClaim(context.Background(), runner)
			}
		}
	}
}

func (s *site) setState(node ident.Node, state membership.State) {
	for _, viewer := range s.nodes {
		for index := range viewer.view {
			if viewer.view[index].Node == node {
				viewer.view[index].State = state
			}
		}
	}
}

// holders returns the nodes that hold a runner at the engine's present epoch.
func (s *site) holders(runner ident.Runner) []ident.Node {
	var holders []ident.Node
	for _, name := range s.names {
		for _, owned := range s.nodes[name].service.Owned() {
			if owned.Runner == runner && owned.Epoch == s.engines[runner].epoch {
				holders = append(holders, name)
			}
		}
	}
	return holders
}

func TestEachRunnerGetsOneOwner(t *testing.T) {
	s := newSite(4, 40)
	s.run(5)
	load := map[ident.Node]int{}
	for runner := range s.engines {
		holders := s.holders(runner)
		assert.Equal(t, len(holders), 1)
		load[holders[0]]++
	}
	assert.Equal(t, len(load), 4)
}

// TestPausedFormerOwnerIsRefused has another node claim the runner of a paused owner: when the owner resumes, its orders are
// refused and its claim ends at once.
func TestPausedFormerOwnerIsRefused(t *testing.T) {
	s := newSite(3, 1)
	s.run(5)
	former := s.holders("r0")[0]
	old := s.nodes[former].service.Owned()[0]
	s.nodes[former].paused = true
	s.setState(former, membership.Dead)
	s.run(5)
	assert.Assert(t, s.holders("r0")[0] != former)
	late := engine.Order{Kind: engine.OrderOwn, Epoch: old.Epoch, Node: former}
	_, err := s.engines["r0"].Order(context.Background(), late)
	assert.Assert(t, errors.Is(err, engine.ErrFenced))
	s.nodes[former].service.Fenced(old.Runner, old.Epoch)
	assert.Equal(t, len(s.nodes[former].service.Owned()), 0)
}

// TestFormerOwnerStopsByItself resumes a former owner that is not notified of the loss: its claim has become stale, and a query
// shows the new owner.
func TestFormerOwnerStopsByItself(t *testing.T) {
	s := newSite(3, 1)
	s.run(5)
	former := s.holders("r0")[0]
	s.nodes[former].paused = true
	s.setState(former, membership.Dead)
	s.run(12)
	assert.Equal(t, len(s.nodes[former].service.Owned()), 0)
	s.nodes[former].paused = false
	s.run(1)
	assert.Equal(t, len(s.nodes[former].service.Owned()), 0)
}

func TestFlappingMemberMovesNothing(t *testing.T) {
	s := newSite(4, 20)
	s.run(5)
	var grants int
	for _, fakeEngine := range s.engines {
		grants += fakeEngine.grants
	}
	for range 20 {
		s.setState("n1", membership.Suspect)
		s.run(3)
		s.setState("n1", membership.Alive)
		s.run(4)
	}
	for _, fakeEngine := range s.engines {
		grants -= fakeEngine.grants
	}
	assert.Equal(t, grants, 0)
}

// TestFlappingNewcomerTakesNothing checks that a node that repeatedly joins and dies takes no runner from a live owner before it
// has stayed for LiveOwnerDelay.
func TestFlappingNewcomerTakesNothing(t *testing.T) {
	s := newSite(3, 20)
	s.nodes["n2"].paused = true
	s.setState("n2", membership.Dead)
	s.run(5)
	s.nodes["n2"].paused = false
	for range 10 {
		s.setState("n2", membership.Alive)
		s.run(6)
		s.setState("n2", membership.Dead)
		s.run(2)
	}
	for _, fakeEngine := range s.engines {
		assert.Equal(t, fakeEngine.grants, 1)
	}
	s.setState("n2", membership.Alive)
	s.run(15)
	assert.Assert(t, len(s.nodes["n2"].service.Owned()) > 0)
}

func TestLeavingOwnerIsReplacedSoon(t *testing.T) {
	s := newSite(3, 6)
	s.run(5)
	assert.NilError(t, s.nodes["n1"].service.Release(context.Background()))
	s.setState("n1", membership.Leaving)
	s.run(3)
	for runner := range s.engines {
		holders := s.holders(runner)
		assert.Equal(t, len(holders), 1)
		assert.Assert(t, holders[0] != "n1")
	}
}

func TestLostAnswerOfAClaimIsResolved(t *testing.T) {
	s := newSite(2, 1)
	s.engines["r0"].loseAnswer = true
	s.run(6)
	assert.Equal(t, len(s.holders("r0")), 1)
}

// TestPartitionedSidesDoNotThrash checks that the two sides of a partition, each of which sees the other as dead, do not take the
// runner from each other indefinitely.
func TestPartitionedSidesDoNotThrash(t *testing.T) {
	s := newSite(2, 1)
	for _, name := range s.names {
		for index := range s.nodes[name].view {
			if s.nodes[name].view[index].Node != name {
				s.nodes[name].view[index].State = membership.Dead
			}
		}
	}
	s.run(600)
	assert.Assert(t, s.engines["r0"].grants < 24, "%d claims", s.engines["r0"].grants)
}

func TestForeignChoiceIsUncertainWithSuspectMembers(t *testing.T) {
	members := []membership.Member{
		{Node: "a", Zone: "z", State: membership.Suspect}, {Node: "b", Zone: "y"}, {Node: "c", Zone: "x"},
	}
	distance := func(_, to ident.Zone) float64 { return map[ident.Zone]float64{"x": 5, "y": 2}[to] }
	choice, found := ownership.Choose("r0", "z", members, distance)
	assert.Assert(t, found)
	assert.Equal(t, choice, ownership.Choice{Node: "b", Foreign: true, Uncertain: true})
}

// TestOneOwnerUnderAnyViews checks that, under any views, pauses and lost answers, an engine never has two owners, and that each
// runner has one once the views agree.
func TestOneOwnerUnderAnyViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(rapid.IntRange(1, 4).Draw(t, "nodes"), 3)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			viewer := s.nodes[rapid.SampledFrom(s.names).Draw(t, "viewer")]
			viewer.view[rapid.IntRange(0, len(s.names)-1).Draw(t, "member")].State =
				membership.State(rapid.IntRange(0, 3).Draw(t, "state"))
			viewer.paused = rapid.Bool().Draw(t, "paused")
			s.engines["r1"].loseAnswer = rapid.Bool().Draw(t, "lost answer")
			s.run(rapid.IntRange(0, 6).Draw(t, "seconds"))
			for runner := range s.engines {
				assert.Assert(t, len(s.holders(runner)) <= 1)
			}
		}
		for _, name := range s.names {
			s.setState(name, membership.Alive)
			s.nodes[name].paused = false
		}
		s.run(700)
		for runner := range s.engines {
			assert.Equal(t, len(s.holders(runner)), 1)
		}
	})
}
