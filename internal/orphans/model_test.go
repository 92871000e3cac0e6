package orphans_test

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/orphans"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/waitqueue"
	"mallowlatch.example/mallowlatch/internal/work"
)

// runner is a runner of the model.
type runner struct {
	id ident.Incarnation
	// ends are the end times of the runs that have a slot; waiting are the requests without one, oldest first.
	ends    []time.Duration
	waiting []*request
	// totals is the work at each tick until now.
	totals []int
}

// request is a request of the model.
type request struct {
	arrivedAt time.Duration
	waiter    *waitqueue.Waiter
	flight    *runnertable.Flight
	front     *front
	answered  time.Duration
	waited    bool
}

// front chooses runners with the real table and queue. It models the queueing of package online.
type front struct {
	node     ident.Node
	table    *runnertable.Table
	queue    waitqueue.Queue
	requests map[*waitqueue.Waiter]*request
	// reported is the state reported to each owner; reportAt is when owners that lack an update are called.
	reported [owners]reported
	reportAt time.Duration
	// ending are the runs of this front that have not ended.
	ending []*request
}

// reported is the state that a front reported to one owner.
type reported struct {
	at       time.Duration
	sequence int64
	counts   map[ident.Incarnation]int
	// waits is the waiting requests that the owner knows of; rationed is true if it rations its slots.
	waits    demand.Waiting
	rationed bool
}

// owner is a worker that owns a tenth of the runners.
type owner struct {
	ledger  demand.Ledger
	ration  orphans.Ration
	runners []*runner
}

type model struct {
	pattern
	random *rand.Rand
	fleet  []*runner
	byID   map[ident.Incarnation]*runner
	fronts []*front
	owners [owners]owner
	watch  orphans.Watch
	counts map[ident.Incarnation]*orphans.Count
	all    []*request
	now    time.Duration
}

func (m *model) moment() time.Time { return start.Add(m.now) }

func newModel(p pattern, seed uint64) *model {
	m := &model{
		pattern: p, random: rand.New(rand.NewPCG(seed, 1)), byID: map[ident.Incarnation]*runner{},
		counts: map[ident.Incarnation]*orphans.Count{},
	}
	var listed []work.Runner
	for index := range p.runners {
		r := &runner{id: ident.Incarnation(fmt.Sprintf("r-%02d", index))}
		m.fleet, m.byID[r.id], m.counts[r.id] = append(m.fleet, r), r, &orphans.Count{}
		m.owners[index%owners].runners = append(m.owners[index%owners].runners, r)
		listed = append(listed, work.Runner{ID: r.id, Service: "s", Zone: "z", Slots: slotsPerRunner})
	}
	m.addLeftRuns(p.leftItems, itemDuration)
	m.addLeftRuns(p.leftOnline, requestDuration)
	for index := range p.fronts {
		f := &front{
			node: ident.Node(fmt.Sprintf("f-%02d", index)), table: runnertable.New("z"), requests: map[*waitqueue.Waiter]*request{},
			reportAt: time.Duration(m.random.Int64N(int64(demand.RefreshInterval))),
		}
		for index := range f.reported {
			f.reported[index].at = -time.Second
		}
		f.table.OnOnlineChanged(func(rose bool) { f.scheduleReport(m.now, rose) })
		f.table.AssumeFullUntilReported()
		f.table.Replace(listed, start, true)
		m.fronts = append(m.fronts, f)
	}
	m.watch.Begin(start.Add(p.ownersLate))
	return m
}

// addLeftRuns adds runs of dead nodes to random free slots.
func (m *model) addLeftRuns(runs int, takes time.Duration) {
	for range runs {
		for {
			r := m.fleet[m.random.IntN(cmp.Or(m.pattern.affectedRunners, len(m.fleet)))]
			if len(r.ends) < slotsPerRunner {
				r.ends = append(r.ends, time.Duration(m.random.Int64N(int64(takes))))
				break
			}
		}
	}
}

// run simulates the window, and the time in which the last of its requests can still be on time.
func (m *model) run() {
	for m.now = 0; m.now <= window+objective; m.now += tick {
		m.endRuns()
		if m.now < window {
			for range m.arrivals() {
				m.arrive(m.fronts[m.random.IntN(len(m.fronts))])
			}
		}
		for index, f := range m.fronts {
			if (m.now+time.Duration(index)*tick)%retryInterval == 0 {
				m.serveQueue(f)
			}
		}
		m.runOwners()
		for _, f := range m.fronts {
			m.reportToOwners(f)
		}
		for _, r := range m.fleet {
			r.totals = append(r.totals, len(r.ends)+len(r.waiting))
		}
	}
}

func (m *model) arrivals() int {
	expected := m.perSecond * tick.Seconds()
	count := int(expected)
	if m.random.Float64() < expected-float64(count) {
		count++
	}
	return count
}

// endRuns ends the runs that are done, and starts requests that wait at the runners in their slots. The fronts are
// notified of the ends of their own requests.
func (m *model) endRuns() {
	for _, r := range m.fleet {
		r.ends = slices.DeleteFunc(r.ends, func(end time.Duration) bool { return end <= m.now })
		for len(r.ends) < slotsPerRunner && len(r.waiting) > 0 {
			m.begin(r, r.waiting[0])
			r.waiting = r.waiting[1:]
		}
	}
	for _, f := range m.fronts {
		f.ending = slices.DeleteFunc(f.ending, func(req *request) bool {
			ended := req.answered > 0 && req.answered-firstEvent+requestDuration <= m.now
			if ended {
				req.flight.End()
				f.queue.SlotFreed(requestDuration, m.moment())
				m.serveNext(f)
			}
			return ended
		})
	}
}

func (m *model) begin(r *runner, req *request) {
	r.ends = append(r.ends, m.now+requestDuration)
	req.answered = m.now + firstEvent
}

func (m *model) arrive(f *front) {
	req := &request{arrivedAt: m.now, front: f}
	m.all = append(m.all, req)
	req.waiter = &waitqueue.Waiter{
		OnTime: m.moment().Add(objective - firstEvent), Latest: m.moment().Add(callerTimeout - firstEvent),
	}
	if f.queue.Len() == 0 && m.pick(f, req) {
		return
	}
	join := f.queue.Join
	if m.rations(f) {
		join = f.queue.JoinRationed
	}
	if join(req.waiter, m.moment()) {
		req.waited = true
		f.requests[req.waiter] = req
		m.ask(f)
	}
}

func (m *model) rations(f *front) bool { return f.table.IsRationed("s", m.moment()) }

// ask schedules requests to the owners for slots, if these are rationed.
func (m *model) ask(f *front) {
	if m.rations(f) {
		f.scheduleReport(m.now, true)
	}
}

// scheduleReport schedules a call to the owners, at once or soon.
func (f *front) scheduleReport(now time.Duration, atOnce bool) {
	if !atOnce {
		now += endReportDelay
	}
	f.reportAt = min(f.reportAt, now)
}

// pick sends a request if a runner can accept it.
func (m *model) pick(f *front, req *request) bool {
	flight, err := f.table.Pick(runnertable.PickRequest{
		Service: "s", Class: runnertable.Online, RefusedBy: map[ident.Incarnation]bool{}, Late: m.moment().After(req.waiter.OnTime),
	}, m.moment(), m.random)
	if errors.Is(err, runnertable.ErrFull) || errors.Is(err, runnertable.ErrNoRunner) {
		return false
	}
	req.flight = flight
	f.queue.SlotTaken()
	if req.waited {
		f.queue.RecordWait(req.waiter, m.moment())
	}
	f.ending = append(f.ending, req)
	r := m.byID[flight.Runner.ID]
	if len(r.ends) < slotsPerRunner {
		m.begin(r, req)
	} else {
		r.waiting = append(r.waiting, req)
	}
	return true
}

// serveNext tries to find a slot for the first request in the queue; serveQueue does so for one request after the other,
// until one finds none.
func (m *model) serveNext(f *front) bool {
	if m.rations(f) {
		f.queue.MoveLateLast(m.moment())
	}
	next := f.queue.Next()
	if next == nil {
		return false
	}
	if m.pick(f, f.requests[next]) {
		return true
	}
	f.queue.PutBack(next)
	m.ask(f)
	return false
}

func (m *model) serveQueue(f *front) {
	for m.serveNext(f) {
	}
}

// runOwners has the owners record what they know of their runners and read reports: in their rounds, and more often while
// requests wait for rationed slots.
func (m *model) runOwners() {
	if m.now < m.ownersLate || !m.watch.Open(m.moment()) {
		return
	}
	age := m.now - m.ownersLate
	readEvery := m.watch.ReadInterval(200*time.Millisecond, m.moment())
	rounds := (readEvery + roundInterval - 1) / roundInterval
	for index := range m.owners {
		owner := &m.owners[index]
		pressed := owner.ration.Pressed(m.moment()) && age%orphans.PressedReadInterval == 0
		for _, r := range owner.runners {
			if pressed || age%roundInterval == 0 {
				m.counts[r.id].RecordAccounted(owner.ledger.Online(r.id, "", m.moment()), m.moment())
			}
			if (pressed || age%(rounds*roundInterval) == 0) && !m.counts[r.id].Ended() {
				m.read(r)
			}
		}
	}
}

func (m *model) read(r *runner) {
	then := max(len(r.totals)-int(reportAge/tick), 0)
	total := len(r.ends) + len(r.waiting)
	if len(r.totals) > 0 {
		total = r.totals[min(then, len(r.totals)-1)]
	}
	m.counts[r.id].RecordReading(total, m.moment())
}

// reportToOwners has a front call the owners that lack an update, and then applies the answers, as the sender of package
// demand does: changes of the work and of what waits for rationed slots, and unchanged state every 50 ms, or every half
// second if there is none.
func (m *model) reportToOwners(f *front) {
	if m.now < m.ownersLate+messageDelay || m.now < f.reportAt {
		return
	}
	f.reportAt = m.now + demand.RefreshInterval
	online := map[ident.Incarnation]int{}
	for _, count := range f.table.Online(m.moment()) {
		online[count.Runner] = count.Online
	}
	waits := m.waiting(f)
	var shares []demand.Share
	for index := range f.reported {
		known, counts, asked := &f.reported[index], m.countsAt(index, online), demand.Waiting{}
		if known.rationed {
			asked = waits
		}
		waitsChanged := asked.OnTime != known.waits.OnTime || asked.Late != known.waits.Late
		if m.reportDue(known, counts, waitsChanged) {
			shares = append(shares, m.report(f, index, counts, asked)...)
		} else if waitsChanged {
			f.reportAt = m.now + minAskInterval
		}
	}
	f.table.UpdateShares(shares, m.moment().Add(messageDelay/2))
	if slices.ContainsFunc(shares, func(reported demand.Share) bool { return reported.Granted > 0 }) {
		m.serveQueue(f)
	}
}

func (m *model) waiting(f *front) demand.Waiting {
	onTime, until, late := f.queue.Waiting(m.moment())
	return demand.Waiting{Service: "s", OnTime: onTime, LeftMs: until.Sub(m.moment()).Milliseconds(), Late: late}
}

func (m *model) countsAt(owner int, online map[ident.Incarnation]int) map[ident.Incarnation]int {
	counts := map[ident.Incarnation]int{}
	for _, r := range m.owners[owner].runners {
		if online[r.id] > 0 {
			counts[r.id] = online[r.id]
		}
	}
	return counts
}

// reportDue reports whether an owner is to be called now.
func (m *model) reportDue(known *reported, counts map[ident.Incarnation]int, waitsChanged bool) bool {
	since := m.now - known.at
	switch {
	case !maps.Equal(counts, known.counts), waitsChanged && since >= minAskInterval:
		return true
	case len(counts) > 0 || known.waits.OnTime+known.waits.Late > 0:
		return since >= demand.RefreshInterval
	}
	return since >= demand.IdleRefreshInterval
}

// report makes one call to an owner and returns the answer.
func (m *model) report(f *front, index int, counts map[ident.Incarnation]int, waits demand.Waiting) []demand.Share {
	known, owner := &f.reported[index], &m.owners[index]
	known.at, known.counts, known.waits = m.now, counts, waits
	known.sequence++
	report := &demand.Report{Node: f.node, Incarnation: 1, Sequence: known.sequence, AgeMs: m.now.Milliseconds() + 1}
	for id, count := range counts {
		report.Counts = append(report.Counts, demand.Count{Runner: id, Online: count})
	}
	owner.ledger.Record(report, m.moment())
	m.watch.RecordUptime(report.Age(), m.moment())
	asked := map[string]orphans.Wait{}
	if waits.OnTime+waits.Late > 0 {
		until := m.moment().Add(time.Duration(waits.LeftMs) * time.Millisecond)
		asked["s"] = orphans.Wait{OnTime: waits.OnTime, Late: waits.Late, Until: until}
	}
	owner.ration.RecordReport(f.node, asked, m.moment())
	shares := m.sharesOf(owner, f.node)
	known.rationed = slices.ContainsFunc(shares, func(reported demand.Share) bool { return reported.Rationed })
	return shares
}

func (m *model) sharesOf(owner *owner, asking ident.Node) []demand.Share {
	var shares []demand.Share
	var listed []orphans.RunnerSlots
	for _, r := range owner.runners {
		count := m.counts[r.id]
		if !m.noOrphanReports && m.watch.Settling(m.moment()) && !count.WasRead() {
			continue
		}
		share := demand.Share{Runner: r.id, Others: owner.ledger.Online(r.id, asking, m.moment())}
		if !m.noOrphanReports {
			share.Orphans = count.Runs(m.moment())
		}
		shares = append(shares, share)
		free := slotsPerRunner - owner.ledger.Online(r.id, "", m.moment()) - share.Orphans
		listed = append(listed, orphans.RunnerSlots{Runner: r.id, Service: "s", Free: free, Orphans: share.Orphans})
	}
	granted := owner.ration.Grant(asking, listed, owner.ledger.Nodes(m.moment()), m.moment())
	for position := range shares {
		share := &shares[position]
		given, rationed := granted[share.Runner]
		share.Rationed, share.Granted, share.GrantedLate = rationed, given.Slots, given.Late
	}
	return shares
}
