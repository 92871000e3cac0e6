package overloadsim

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/admission"
	"mallowlatch.example/mallowlatch/internal/dispatch"
	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/outcome"
	"mallowlatch.example/mallowlatch/internal/schedule"
)

// node is one node with the real admission, table and retry budget.
type node struct {
	fleet     *Fleet
	id        ident.Node
	zone      ident.Zone
	admission *admission.Controller
	table     *dispatch.Table
	budget    *dispatch.RetryBudget
	random    *rand.Rand
	// turns are the requests that wait for admission.
	turns []*call
	// telling marks runners whose count is about to be told, and told holds the last count.
	telling  map[ident.Runner]bool
	told     map[ident.Runner]int
	sequence uint64
	attempts uint64
}

// call is one request of a caller at this node.
type call struct {
	arrival *arrival
	request *inference.Request
	// prompt and answer are in tokens.
	prompt, answer int
	node           *node
	began          time.Time
	turn           *admission.Turn
	ticket         *admission.Ticket
	tried          []ident.Runner
	firstAt        time.Time
}

// attempt is one call to a runner.
type attempt struct {
	id      uint64
	request *call
	runner  *runner
	began   time.Time
	over    bool
}

func sortedAttempts(attempts map[uint64]*attempt) []*attempt {
	return slices.SortedFunc(maps.Values(attempts), func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
}

// receive admits a request.
func (n *node) receive(made *arrival) {
	started := &call{arrival: made, node: n, prompt: made.prompt, answer: made.answer, began: n.fleet.clock.Now(), request: made.request()}
	ticket, turn, refused := n.admission.Enter(started.request)
	switch {
	case refused != nil:
		started.refuse(refused)
	case turn != nil:
		started.wait(turn)
	default:
		started.ticket = ticket
		n.dispatch(started)
	}
	n.settleTurns()
}

// settleTurns goes on with the requests whose turn has come.
func (n *node) settleTurns() {
	for {
		index := slices.IndexFunc(n.turns, func(waiting *call) bool { return waiting.isSettled() })
		if index < 0 {
			return
		}
		next := n.turns[index]
		n.turns = slices.Delete(n.turns, index, index+1)
		ticket, refused := next.turn.Result()
		if refused != nil {
			next.refuse(refused)
			continue
		}
		next.ticket = ticket
		n.dispatch(next)
	}
}

func (c *call) isSettled() bool {
	select {
	case <-c.turn.Settled():
		return true
	default:
		return false
	}
}

// wait has the request wait for its turn until it must give up.
func (c *call) wait(turn *admission.Turn) {
	n := c.node
	c.turn = turn
	c.tried = nil
	n.turns = append(n.turns, c)
	n.fleet.clock.After(turn.Until().Sub(n.fleet.clock.Now()), func() { c.giveUp(turn) })
	n.fleet.clock.After(admission.RecheckEvery, func() { c.recheck(turn) })
}

// recheck looks for a free slot while the request waits.
func (c *call) recheck(turn *admission.Turn) {
	if c.turn != turn || !slices.Contains(c.node.turns, c) {
		return
	}
	turn.Recheck()
	c.node.settleTurns()
	c.node.fleet.clock.After(admission.RecheckEvery, func() { c.recheck(turn) })
}

func (c *call) giveUp(turn *admission.Turn) {
	index := slices.Index(c.node.turns, c)
	if index < 0 || c.turn != turn {
		return
	}
	refused := c.turn.GiveUp()
	if refused == nil {
		return
	}
	c.node.turns = slices.Delete(c.node.turns, index, index+1)
	c.refuse(refused)
	c.node.settleTurns()
}

func (n *node) dispatch(started *call) {
	n.budget.Earn()
	n.try(started, nil)
}

// try chooses a runner and calls it. last is the failure of the attempt before, or nil.
func (n *node) try(started *call, last *failure.Error) {
	now := n.fleet.clock.Now()
	snapshot := n.table.Snapshot(n.zone, nil, started.request.Model, started.request.PrefixBlocks, now)
	exclude := func(runner ident.Runner) bool { return slices.Contains(started.tried, runner) }
	decision, refusal := schedule.Decide(snapshot, started.request, now, n.random, schedule.Options{Exclude: exclude})
	if refusal != nil && last == nil {
		last = refusal.Failure()
	}
	if refusal != nil {
		started.end(last)
		return
	}
	chosen := n.fleet.runner(decision.Candidates[0].Runner)
	started.tried = append(started.tried, chosen.id)
	n.attempts++
	n.fleet.result.Attempts++
	made := &attempt{id: n.fleet.nextAttempt(), request: started, runner: chosen, began: now}
	n.table.Start(chosen.id, started.request.PrefixBlocks)
	n.fleet.clock.After(n.fleet.link(), made.arrive)
}

// arrive reaches the runner.
func (a *attempt) arrive() {
	clock := a.request.node.fleet.clock
	switch {
	case a.runner.down:
		clock.After(a.request.node.fleet.link(), func() { a.failed(engine.ErrUnreachable, outcome.NotRun) })
	case !a.runner.submit(a):
		clock.After(a.request.node.fleet.link(), func() { a.failed(engine.ErrBusy, outcome.NotRun) })
	}
}

func (a *attempt) first() {
	if !a.over && a.request.firstAt.IsZero() {
		now := a.request.node.fleet.clock.Now()
		a.request.firstAt = now
		a.request.node.admission.ObserveFirstToken(service, now.Sub(a.began))
	}
}

func (a *attempt) whole() {
	if a.over {
		return
	}
	a.over = true
	table := a.request.node.table
	table.End(a.runner.id)
	table.ObserveSuccess(a.runner.id)
	a.request.end(nil)
}

func (a *attempt) broken() { a.failed(engine.ErrUnreachable, outcome.Ran) }

// busyPause is the advice of a full engine.
const busyPause = time.Second

// failed ends an attempt and tries again under the rules and the budget.
func (a *attempt) failed(cause error, ran outcome.Outcome) {
	if a.over {
		return
	}
	a.over = true
	n, now := a.request.node, a.request.node.fleet.clock.Now()
	n.table.End(a.runner.id)
	if errors.Is(cause, engine.ErrBusy) {
		n.table.ObserveBusy(a.runner.id, now.Add(busyPause))
		n.fleet.result.EngineRefusals++
	} else {
		n.table.ObserveFailure(a.runner.id, now)
	}
	failed := failure.New(failure.CodeNoBackend, "no runner took the request").WithRetryAfter(time.Second).WithOutcome(ran)
	if errors.Is(cause, engine.ErrBusy) {
		failed = failure.New(failure.CodeOverloaded, "the runners are at their limit").WithRetryAfter(time.Second)
	}
	if !a.request.firstAt.IsZero() {
		a.request.end(failure.New(failure.CodeStreamInterrupted, "the answer broke off").WithOutcome(outcome.Ran))
		return
	}
	if !n.budget.Spend() {
		a.request.end(failed)
		return
	}
	n.fleet.result.Retries++
	n.try(a.request, failed)
}

// end books the end of an admitted request.
func (c *call) end(failed *failure.Error) {
	if failed == nil {
		c.ticket.Done(nil)
		c.node.fleet.completed(c)
	} else if turn := c.ticket.Return(failed); turn != nil {
		c.node.fleet.result.Returned++
		c.wait(turn)
	} else {
		c.ticket.Done(failed)
		c.refuse(failed)
	}
	c.node.settleTurns()
}

func (c *call) refuse(failed *failure.Error) { c.node.fleet.refused(c, failed) }

// countChanged tells the owner of a runner of this node's count, soon or at once as the exchange does.
func (n *node) countChanged(runner ident.Runner, count int) {
	owner := n.fleet.owner(runner)
	if owner == n {
		return
	}
	delay := tellDelay
	if last := n.told[runner]; count > 0 && (last == 0 || count >= 2*last+2) {
		delay = 0
	}
	if n.telling[runner] && delay > 0 {
		return
	}
	n.telling[runner] = true
	n.fleet.clock.After(delay, func() { n.tell(owner, runner) })
}

// tell sends the count and takes the owner's view in return.
func (n *node) tell(owner *node, runner ident.Runner) {
	n.telling[runner] = false
	view, _ := n.table.Runner(runner, n.fleet.clock.Now())
	n.told[runner] = view.OwnInFlight
	n.sequence++
	sequence := n.sequence
	n.fleet.clock.After(n.fleet.link(), func() {
		now := n.fleet.clock.Now()
		owner.table.ObservePeer(n.id, sequence, runner, view.OwnInFlight, now)
		seen, _ := owner.table.Runner(runner, now)
		if seen.Report == nil {
			return
		}
		state, back := seen.ReportToShare(), n.fleet.link()
		// The age travels, not the time, so the receiver takes the report for younger by the delay of the message.
		state.Measured = state.Measured.Add(back)
		n.fleet.clock.After(back, func() { n.table.ObserveShared(runner, state, n.fleet.clock.Now()) })
	})
}

// renew tells counts above zero again.
func (n *node) renew() {
	for _, runner := range n.fleet.runners {
		view, _ := n.table.Runner(runner.id, n.fleet.clock.Now())
		if owner := n.fleet.owner(runner.id); owner != n && (view.OwnInFlight > 0 || view.Report == nil) {
			n.tell(owner, runner.id)
		}
	}
}

// poll asks the runners this node owns or finds ejected for their load.
func (n *node) poll() {
	now := n.fleet.clock.Now()
	for _, runner := range n.fleet.runners {
		view, _ := n.table.Runner(runner.id, now)
		if n.fleet.owner(runner.id) != n && !view.ProbeDue {
			continue
		}
		n.table.ObserveProbe(runner.id, now, !runner.down)
		if runner.down {
			n.table.ObserveFailure(runner.id, now)
			continue
		}
		report := runner.load()
		n.fleet.clock.After(reportLag, func() { n.table.ObserveReport(runner.id, report, n.fleet.clock.Now()) })
	}
}

func nodeName(index int) ident.Node     { return ident.Node(fmt.Sprintf("node-%03d", index)) }
func runnerName(index int) ident.Runner { return ident.Runner(fmt.Sprintf("runner-%03d", index)) }

// zone deals nodes and runners out to the zones in turn.
func (o Options) zone(index int) ident.Zone { return ident.Zone(fmt.Sprintf("zone-%d", index%o.Zones)) }
