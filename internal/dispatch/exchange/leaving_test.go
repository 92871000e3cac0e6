package exchange

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/dispatch"
	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/machine"
	"mallowlatch.example/mallowlatch/internal/schedule"
)

// Sizes of the simulation.
const (
	simulatedNodes   = 40
	simulatedRunners = 12
	reportLag        = 200 * time.Millisecond
	listPeriod       = 5 * time.Second
	lossPercent      = 20
	leavingRunner    = ident.Runner("r0")
)

// simulation is a fleet of dispatchers on a simulated clock, with lost and delayed messages.
type simulation struct {
	random *rand.Rand
	now    time.Time
	nodes  []*simulatedNode
	// inTransit holds the notifications that were sent and have not arrived.
	inTransit []notification
	// reported and listed are the times from which the engine and the machine list report the runner as leaving. Zero
	// means never.
	reported, listed time.Time
	lastWork         time.Time
	refusals         map[int]int
}

type notification struct {
	to  int
	due time.Time
}

type simulatedNode struct {
	index   int
	table   *dispatch.Table
	polls   pollPlan
	listsAt time.Duration
}

func newSimulation(seed uint64) *simulation {
	created := &simulation{random: rand.New(rand.NewPCG(seed, seed)), now: begin, refusals: map[int]int{}}
	for index := range simulatedNodes {
		node := &simulatedNode{index: index, table: dispatch.NewTable(), polls: newPollPlan(Intervals{}.withDefaults())}
		node.listsAt = time.Duration(created.random.Int64N(int64(listPeriod)))
		node.table.OnLeaving(func(ident.Runner) { created.broadcast(index) })
		node.table.SetMachines(created.list(), begin)
		for runner := range simulatedRunners {
			node.table.ObserveReport(runnerName(runner), created.report(runnerName(runner)), begin)
		}
		created.nodes = append(created.nodes, node)
	}
	return created
}

func runnerName(index int) ident.Runner { return ident.Runner(fmt.Sprint("r", index)) }

// list returns the machine list, which marks the runner as leaving from listed on.
func (s *simulation) list() machine.List {
	list := machine.List{}
	for index := range simulatedRunners {
		runner := machine.Runner{ID: runnerName(index), Zone: "a", State: machine.Live}
		if runner.ID == leavingRunner && !s.listed.IsZero() && !s.now.Before(s.listed) {
			runner.State = machine.Leaving
		}
		list.Runners = append(list.Runners, runner)
	}
	return list
}

// report returns the engine's load report, measured reportLag ago.
func (s *simulation) report(runner ident.Runner) engine.LoadReport {
	measured := s.now.Add(-reportLag)
	leaves := runner == leavingRunner && !s.reported.IsZero() && !measured.Before(s.reported)
	return engine.LoadReport{Measured: measured, MaxSequences: 64, Leaving: leaves, Models: []engine.LoadedModel{{Name: "m"}}}
}

// broadcast sends the notification to every other node. Lost messages are sent again after leavingRetryDelays.
func (s *simulation) broadcast(from int) {
	for to := range s.nodes {
		delay := time.Duration(5+s.random.IntN(100)) * time.Millisecond
		lost := s.random.IntN(100) < lossPercent
		for _, retryDelay := range leavingRetryDelays {
			if !lost {
				break
			}
			delay += callTimeout/10 + retryDelay
			lost = s.random.IntN(100) < lossPercent
		}
		if to != from && !lost {
			s.inTransit = append(s.inTransit, notification{to: to, due: s.now.Add(delay)})
		}
	}
}

// step advances the clock by a tick and runs on every node the arrivals, polls, reads of the machine list and one request.
func (s *simulation) step() {
	s.now = s.now.Add(minTick)
	kept := s.inTransit[:0]
	for _, sent := range s.inTransit {
		if sent.due.After(s.now) {
			kept = append(kept, sent)
			continue
		}
		s.nodes[sent.to].table.ObserveLeaving(leavingRunner, false, s.now)
	}
	s.inTransit = kept
	for _, node := range s.nodes {
		s.poll(node)
		if (s.now.Sub(begin)-node.listsAt)%listPeriod < minTick {
			node.table.SetMachines(s.list(), s.now)
		}
		s.request(node)
	}
}

func (s *simulation) poll(node *simulatedNode) {
	owns := func(runner ident.Runner) (own, ownerless bool) {
		return runner == runnerName(node.index%simulatedRunners) && node.index < simulatedRunners, false
	}
	for _, runner := range node.polls.due(node.table.Runners(s.now), "a", owns, s.now) {
		delete(node.polls.polling, runner)
		node.table.ObserveReport(runner, s.report(runner), s.now)
	}
}

// request places one request. An engine that reports that it is leaving refuses it, and the node notifies all others.
func (s *simulation) request(node *simulatedNode) {
	snapshot := node.table.Snapshot("a", nil, "m", nil, s.now)
	decision, refusal := schedule.Decide(snapshot, &inference.Request{Model: "m"}, s.now, s.random, schedule.Options{})
	if refusal != nil || decision.Candidates[0].Runner != leavingRunner {
		return
	}
	if !s.reported.IsZero() && !s.now.Before(s.reported) {
		s.refusals[node.index]++
		node.table.ObserveLeaving(leavingRunner, true, s.now)
		return
	}
	s.lastWork = s.now
}

// TestLeavingRunnerGetsNoNewWork marks a runner as leaving by each source and checks, on the simulated clock, that none of
// 40 dispatchers sends it new work more than two seconds later, and that it refuses each node at most once.
func TestLeavingRunnerGetsNoNewWork(t *testing.T) {
	const settle, run, bound = time.Second, 6 * time.Second, 2 * time.Second
	ways := map[string]func(*simulation, time.Time){
		"machine list":  func(s *simulation, at time.Time) { s.listed = at },
		"engine report": func(s *simulation, at time.Time) { s.reported = at },
	}
	for way, mark := range ways {
		for seed := range uint64(3) {
			simulated := newSimulation(seed)
			for simulated.now.Before(begin.Add(settle)) {
				simulated.step()
			}
			assert.Assert(t, !simulated.lastWork.IsZero(), "the runner got no work before")
			marked := simulated.now
			mark(simulated, marked)
			for simulated.now.Before(marked.Add(run)) {
				simulated.step()
			}
			late := max(0, simulated.lastWork.Sub(marked))
			t.Logf("%s, seed %d: last work %v after the mark, %d nodes refused", way, seed, late, len(simulated.refusals))
			assert.Assert(t, late <= bound, "%s: work %v after the mark", way, late)
			for node, refused := range simulated.refusals {
				assert.Assert(t, refused <= 1, "%s: node %d was refused %d times", way, node, refused)
			}
		}
	}
}
