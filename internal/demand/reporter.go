package demand

import (
	"cmp"
	"context"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/ident"
)

const (
	// RefreshInterval is the time between two reports to a worker at whose runners this node has work, even if
	// nothing changed: the answer carries the work of the other nodes, which choose among the same runners all the
	// time.
	RefreshInterval = 50 * time.Millisecond
	// IdleRefreshInterval is that time for the other workers of this node's zone. Requests go to their runners when
	// those in use are full, and jobs go to the worker that would start them first.
	IdleRefreshInterval = 500 * time.Millisecond
	// quietRefreshInterval is that time while this node has no work anywhere and there is hardly any at the runners of the
	// worker, where this node works with some of many workers of its zone. A worker's report counts for a second at least.
	quietRefreshInterval = 900 * time.Millisecond
	// rationedRefreshInterval is that time while a worker of this node's zone grants slots one by one: a node that has no
	// answer for a little longer than IdleRefreshInterval takes the worker for gone and its slots for free.
	rationedRefreshInterval = 200 * time.Millisecond
	// farCallsPerSecond is the total rate of a node's calls to the workers of other zones at whose runners it has
	// no work. With the answers this is about 2.4 kB a second, within the 3 kB that a node may spend on control
	// traffic. Without a bound, the calls of all nodes grow with nodes times workers.
	farCallsPerSecond = 4
	// completionDelay is how long the end of a request is delayed to be batched with other changes. It is short
	// compared with the time for which workers wait for a slot to become free before they preempt a run.
	completionDelay = 10 * time.Millisecond
	// callTimeout limits one report; failureBackoff is the time between two calls to a worker that did not answer.
	callTimeout    = 300 * time.Millisecond
	failureBackoff = 500 * time.Millisecond
)

// Work is the online work of this node.
type Work interface {
	// Online returns the online work by the address of the worker that owns the runners. It lists the workers that this node
	// works with, whether it has work there or not, all others at whose runners it has work, and those at the given addresses.
	Online(also []string) map[string]OwnerDemand
	// Take applies the answer of the worker at an address: its shares of runners and its batch load, as of the
	// given time.
	Take(address string, answer *Answer, asOf time.Time)
}

// OwnerDemand is the online work of this node at the runners that one worker owns.
type OwnerDemand struct {
	// Counts are the counts of the runners that have online work, are suspected, or whose pace this node knows.
	Counts []Count
	// Far means that the worker is in another zone.
	Far bool
	// Subset means that the worker is in this node's zone, which has more workers than the node works with.
	Subset bool
	// Zone is the worker's zone. Doubted is the time since when that zone does not answer, or zero. Its workers
	// are polled until one answers: first all of them at once, then one at a time.
	Zone              ident.Zone
	UnresponsiveSince time.Time
	// Uses are the tenants' uses of the services for which the worker is the account holder.
	Uses []Use
	// Rationed means that the worker grants the slots of some of its runners one by one. Waiting counts the requests that
	// wait for them, ordered by service.
	Rationed bool
	Waiting  []Waiting
}

// IdleInterval returns the time between two reports to the worker without work at its runners, given that for workers of
// other zones, and whether neither this node has work nor the worker's last answer showed more than hardly any.
func (d OwnerDemand) IdleInterval(far time.Duration, quiet bool) time.Duration {
	switch {
	case d.Far:
		return far
	case d.Rationed:
		return rationedRefreshInterval
	case d.Subset && quiet:
		return quietRefreshInterval
	}
	return IdleRefreshInterval
}

// Reporter reports the online work of this node to workers. Its exported fields are set before Start.
type Reporter struct {
	Node ident.Node
	Work Work
	// Send makes one call to the worker at an address.
	Send func(ctx context.Context, address string, report *Report) (*Answer, error)
	Now  func() time.Time

	tomb        *tomb.Tomb
	incarnation int64
	// sequence is the number of the last report, to whichever worker: a worker that is given up and called again must not take
	// the new reports for old ones. The mutex guards it.
	sequence int64
	// createdAt is when the reporter was created; it stands for the start of the process.
	createdAt time.Time
	// started and ended are signalled when a request was sent to a runner, and when one ended.
	started, ended chan struct{}
	// request receives the poll requests of callers that choose a runner.
	request chan pollRequest

	mutex   sync.Mutex
	workers map[string]*workerState
}

// NewReporter returns a reporter that is not started.
func NewReporter(node ident.Node, work Work, now func() time.Time) *Reporter {
	createdAt := now()
	return &Reporter{
		Node: node, Work: work, Now: now, incarnation: createdAt.UnixNano(), createdAt: createdAt,
		started: make(chan struct{}, 1), ended: make(chan struct{}, 1), request: make(chan pollRequest),
		workers: map[string]*workerState{},
	}
}

// Changed signals that the node's online work, or its view of runners, changed. started selects an immediate
// report; otherwise the change is reported after completionDelay. Changed never blocks.
func (t *Reporter) Changed(started bool) {
	signal := t.ended
	if started {
		signal = t.started
	}
	select {
	case signal <- struct{}{}:
	default:
	}
}

// Start sends reports to the workers until the tomb dies.
func (t *Reporter) Start(parent *tomb.Tomb) {
	t.tomb = parent
	parent.Go(t.run)
}

func (t *Reporter) run() error {
	timer := time.NewTimer(RefreshInterval)
	defer timer.Stop()
	ctx := t.tomb.Context(context.Background())
	// completionPending means that the timer is set to the end of completionDelay; further completions must not
	// postpone it.
	completionPending := false
	for {
		select {
		case <-t.tomb.Dying():
			return nil
		case request := <-t.request:
			request.pending <- t.startPolls(ctx, &request)
			continue
		case <-t.started:
		case <-t.ended:
			if !completionPending {
				completionPending = true
				timer.Reset(completionDelay)
			}
			continue
		case <-timer.C:
		}
		next := t.reportAll(ctx)
		completionPending = false
		timer.Reset(next)
	}
}

// reportAll calls the workers for which a report is due. It returns the time after which it has to be called
// again.
func (t *Reporter) reportAll(ctx context.Context) time.Duration {
	countedAt := t.Now()
	online := t.Work.Online(nil)
	now := t.Now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for address, state := range t.workers {
		if _, named := online[address]; named {
			continue
		}
		if len(state.reported) == 0 && !state.inFlight() {
			// The worker is gone, and no reported work has to be withdrawn.
			delete(t.workers, address)
			continue
		}
		online[address] = OwnerDemand{}
	}
	idleFar := idleFarInterval(online)
	resting := isResting(online)
	probesDue := t.probesDue(online, now)
	nextFar := t.nextFar(online, idleFar, now)
	for address, owned := range online {
		state := t.worker(address, owned)
		state.changedDuringCall = state.inFlight()
		idle := owned.IdleInterval(idleFar, resting && state.quiet)
		extrasDue := state.usesDue(owned.Uses, now) || state.waitingDue(owned.Waiting, now)
		if state.inFlight() || (!probesDue[address] && !state.unpolledSince(owned.UnresponsiveSince) &&
			!state.reportDue(owned.Counts, idle, now) && !extrasDue) {
			continue
		}
		if owned.Far && state.idle(owned.Counts) && !state.calledAt.IsZero() && !probesDue[address] &&
			!state.unpolledSince(owned.UnresponsiveSince) && address != nextFar && !extrasDue {
			continue
		}
		t.startCall(ctx, address, state, owned, countedAt, now)
	}
	return t.nextReports(online, idleFar, now)
}

// nextReports returns the time until a report may be due again if nothing changes. The caller holds the mutex.
func (t *Reporter) nextReports(online map[string]OwnerDemand, idleFar time.Duration, now time.Time) time.Duration {
	next, resting := IdleRefreshInterval, isResting(online)
	for address, owned := range online {
		state := t.workers[address]
		switch {
		case state.waitingChanged(owned.Waiting, now):
			return waitingReportInterval
		case !state.idle(owned.Counts), !owned.UnresponsiveSince.IsZero(), owned.Rationed, len(owned.Uses) > 0:
			next = min(next, RefreshInterval)
		case owned.Far:
			next = min(next, time.Second/farCallsPerSecond)
		default:
			next = min(next, max(state.calledAt.Add(owned.IdleInterval(idleFar, resting && state.quiet)).Sub(now), RefreshInterval))
		}
	}
	return next
}

// worker returns the state of a worker, and creates it if necessary. The caller holds the mutex.
func (t *Reporter) worker(address string, owned OwnerDemand) *workerState {
	state := t.workers[address]
	if state == nil {
		state = &workerState{}
		t.workers[address] = state
	}
	state.far = owned.Far
	return state
}

// startCall starts a call to a worker, which reports the work counted since countedAt. The caller holds the mutex, and runs
// in the reporter's loop.
func (t *Reporter) startCall(ctx context.Context, address string, state *workerState, owned OwnerDemand, countedAt, now time.Time) {
	t.sequence++
	report := state.nextReport(owned.Counts, now)
	report.Sequence = t.sequence
	report.Uses = state.nextUses(owned.Uses, now)
	report.Waiting, state.waiting = owned.Waiting, owned.Waiting
	report.Node, report.Incarnation, report.AgeMs = t.Node, t.incarnation, t.age(now)
	t.tomb.Go(func() error { t.send(ctx, address, state, report, countedAt); return nil })
}

// ageReportedFor is the uptime up to which a node reports its age: longer than any owner uses it. A node without
// an age counts as long-running, which keeps all later reports short.
const ageReportedFor = 15 * time.Second

// age returns the uptime of this process in milliseconds, at least 1, or zero once it is no longer reported.
func (t *Reporter) age(now time.Time) int64 {
	lived := now.Sub(t.createdAt)
	if lived > ageReportedFor {
		return 0
	}
	return max(lived.Milliseconds(), 1)
}

// isResting reports whether this node has no work at any runner, and nothing else to report.
func isResting(online map[string]OwnerDemand) bool {
	for _, owned := range online {
		if len(owned.Counts) > 0 {
			return false
		}
	}
	return true
}

// idleFarInterval returns the time between two reports to a worker of another zone at whose runners this node has
// no work.
func idleFarInterval(online map[string]OwnerDemand) time.Duration {
	idle := 0
	for _, owned := range online {
		if owned.Far && len(owned.Counts) == 0 {
			idle++
		}
	}
	return max(time.Duration(idle)*time.Second/farCallsPerSecond, IdleRefreshInterval)
}

// nextFar returns the next worker to call among those of other zones at whose runners this node has no work, or an
// empty address. Calls are spread evenly in time. Of the workers that are due it selects one of the zone that was
// called the longest ago, so that each zone is polled at even intervals. The caller holds the mutex.
func (t *Reporter) nextFar(online map[string]OwnerDemand, every time.Duration, now time.Time) string {
	zones := map[ident.Zone]time.Time{}
	var last time.Time
	for address, owned := range online {
		state := t.workers[address]
		if !owned.Far || state == nil || !state.idle(owned.Counts) {
			continue
		}
		if state.calledAt.After(zones[owned.Zone]) {
			zones[owned.Zone] = state.calledAt
		}
		if state.calledAt.After(last) {
			last = state.calledAt
		}
	}
	if now.Sub(last) < time.Second/farCallsPerSecond {
		return ""
	}
	next := ""
	for address, owned := range online {
		state := t.workers[address]
		if !owned.Far || state == nil || state.inFlight() || !state.idle(owned.Counts) ||
			now.Before(state.notBefore) || now.Sub(state.calledAt) < every {
			continue
		}
		if next == "" || cmp.Or(zones[owned.Zone].Compare(zones[online[next].Zone]),
			state.calledAt.Compare(t.workers[next].calledAt), cmp.Compare(address, next)) < 0 {
			next = address
		}
	}
	return next
}

const (
	// probeInterval is the time between two calls to an unresponsive zone.
	probeInterval = 250 * time.Millisecond
	// probesPerSecond limits the total rate of such calls of a node; each takes about 250 bytes.
	probesPerSecond = 8
)

// probesDue selects the worker to probe in each unresponsive zone: the one that was called the longest ago. The
// value says whether a probe is due now. A zone is probed once per probeInterval, and less often if there are many
// such zones. The caller holds the mutex.
func (t *Reporter) probesDue(online map[string]OwnerDemand, now time.Time) map[string]bool {
	var oldest map[ident.Zone]string
	newest := map[ident.Zone]time.Time{}
	for address, owned := range online {
		state := t.workers[address]
		if owned.UnresponsiveSince.IsZero() || state == nil {
			continue
		}
		if oldest == nil {
			oldest = map[ident.Zone]string{}
		}
		if state.calledAt.After(newest[owned.Zone]) {
			newest[owned.Zone] = state.calledAt
		}
		if before := t.workers[oldest[owned.Zone]]; !state.inFlight() && (before == nil || state.calledAt.Before(before.calledAt)) {
			oldest[owned.Zone] = address
		}
	}
	every := max(probeInterval, time.Duration(len(newest))*time.Second/probesPerSecond)
	probesDue := make(map[string]bool, len(oldest))
	for zone, address := range oldest {
		probesDue[address] = now.Sub(newest[zone]) >= every
	}
	return probesDue
}

// send makes one call. If something changed in the meantime, it schedules the next one.
func (t *Reporter) send(ctx context.Context, address string, state *workerState, report *Report, countedAt time.Time) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := t.Send(ctx, address, report)
	if err == nil {
		// The answer counts from the time at which the work was counted: a request sent since is not in it, and the answer
		// may have been buffered while this process was frozen.
		t.Work.Take(address, answer, countedAt)
	}
	now := t.Now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if state.callDone != nil {
		close(state.callDone)
		state.callDone = nil
	}
	if err != nil {
		// It is unknown whether the worker received the report, so all of it is sent again.
		state.reported, state.ackedPaces, state.waiting = nil, nil, nil
		state.notBefore = now.Add(failureBackoff)
		return
	}
	state.acknowledge(report, countedAt)
	state.quiet = answer.Quiet()
	state.endsRead = answer.Ends.After(report.EndsRead)
	if state.changedDuringCall {
		t.Changed(true)
	}
}
