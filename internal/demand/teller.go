package demand

import (
	"cmp"
	"context"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/poison"
)

const (
	// RefreshEvery is the time between two reports to a worker at whose runners this node has work, though nothing changed:
	// the answer has the work of the other nodes, who choose among the same runners all the time.
	RefreshEvery = 50 * time.Millisecond
	// IdleRefreshEvery is that time for the other workers of this node's zone: requests go to their runners when those in use
	// are full, and jobs go to the one that would begin them first.
	IdleRefreshEvery = 500 * time.Millisecond
	// farCallsEach is how many calls a second a node makes to the workers of other zones at whose runners it has no work, all
	// together: with the answers some 2.4 kB a second, which is within the 3 kB that a node may spend on control. Without a
	// bound the calls of all nodes rise with nodes times workers.
	farCallsEach = 4
	// endDelay is how long the end of a request waits for other news to be told with. It is short beside the patience of
	// the workers, who cut no run where a place comes free in time.
	endDelay = 10 * time.Millisecond
	// tellTimeout bounds one report, pauseAfterFailure parts two to a worker that did not answer.
	tellTimeout       = 300 * time.Millisecond
	pauseAfterFailure = 500 * time.Millisecond
)

// Work is the online work of this node.
type Work interface {
	// Online returns the online work by the address of the worker that owns the runners. It names every worker.
	Online() map[string]Owned
	// Take takes over what the worker at an address knew of its runners and told of its batch work, as of a moment.
	Take(address string, answer *Answer, asOf time.Time)
}

// Owned is the online work of this node at the runners that one worker owns.
type Owned struct {
	// Counts are those of the runners with online work, under suspicion, or of whose pace this node heard.
	Counts []Count
	// Far says that the worker is in another zone.
	Far bool
	// Zone is the worker's. Doubted is since when that zone leaves questions without an answer, or zero: its workers are asked
	// until one answers, the first time all of them at once.
	Zone    ident.Zone
	Doubted time.Time
	// Uses are what tenants take and wait for, of the services of which the worker keeps account.
	Uses []Use
	// Waiting are the requests that wait for places which the worker rations, in the order of the services.
	Waiting []Waiting
}

// Teller tells workers of the online work of this node. Its exported fields are set before Start.
type Teller struct {
	Node ident.Node
	Work Work
	// Tell makes one call to the worker at an address.
	Tell func(ctx context.Context, address string, report *Report) (*Answer, error)
	Now  func() time.Time

	tomb        *tomb.Tomb
	incarnation int64
	// began is when the teller was made.
	began time.Time
	// started and ended are signalled when a request was sent to a runner, and when one was done.
	started, ended chan struct{}
	// asked takes the questions of those that choose a runner.
	asked chan question

	mutex   sync.Mutex
	workers map[string]*correspondent
}

// correspondent is a worker that is told. The teller's mutex guards it.
type correspondent struct {
	sequence int64
	// missed says that something may have changed since the call on its way was sent.
	missed bool
	// last is what was told of work, and lastAt when.
	last   map[ident.Incarnation]Count
	lastAt time.Time
	// paces are when this node heard those paces that the worker has answered to know.
	paces map[ident.Incarnation]time.Time
	// far says that the worker is in another zone.
	far bool
	// knownAt is when the question of the newest answer was sent.
	knownAt time.Time
	// called is closed when the call on its way has ended.
	called chan struct{}
	// notBefore is when the worker may be called again after a failure.
	notBefore time.Time
	// endsRead is how far this node has read what the worker knows of requests that end their runners.
	endsRead poison.Cursor
	// waiting is what the worker was last told to wait here.
	waiting []Waiting
	// usesAt is when the worker was last told what tenants take and wait for.
	usesAt time.Time
}

// NewTeller returns a teller that is not started.
func NewTeller(node ident.Node, work Work, now func() time.Time) *Teller {
	began := now()
	return &Teller{
		Node: node, Work: work, Now: now, incarnation: began.UnixNano(), began: began,
		started: make(chan struct{}, 1), ended: make(chan struct{}, 1), asked: make(chan question),
		workers: map[string]*correspondent{},
	}
}

// Changed notes that the node's online work, or what it knows of runners, changed. It never blocks.
func (t *Teller) Changed(started bool) {
	signal := t.ended
	if started {
		signal = t.started
	}
	select {
	case signal <- struct{}{}:
	default:
	}
}

// Start tells the workers until the tomb dies.
func (t *Teller) Start(parent *tomb.Tomb) {
	t.tomb = parent
	parent.Go(t.run)
}

func (t *Teller) run() error {
	timer := time.NewTimer(RefreshEvery)
	defer timer.Stop()
	ctx := t.tomb.Context(context.Background())
	// hurried says that the timer was set to the end of endDelay: further ends must not put it off.
	hurried := false
	for {
		select {
		case <-t.tomb.Dying():
			return nil
		case asked := <-t.asked:
			asked.calls <- t.begin(ctx, &asked)
			continue
		case <-t.started:
		case <-t.ended:
			if !hurried {
				hurried = true
				timer.Reset(endDelay)
			}
			continue
		case <-timer.C:
		}
		next := t.tellAll(ctx)
		hurried = false
		timer.Reset(next)
	}
}

// tellAll calls the workers that lack something. It returns after what time it is to be called again.
func (t *Teller) tellAll(ctx context.Context) time.Duration {
	online := t.Work.Online()
	now := t.Now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for address, known := range t.workers {
		if _, named := online[address]; named {
			continue
		}
		if len(known.last) == 0 && !known.telling() {
			// The worker is gone, and has nothing to be taken back.
			delete(t.workers, address)
			continue
		}
		online[address] = Owned{}
	}
	idleFar := idleFarEvery(online)
	probed := t.probed(online, now)
	next := RefreshEvery
	nextFar := t.nextFar(online, idleFar, now)
	for address, owned := range online {
		known := t.worker(address, owned)
		known.missed = known.telling()
		idle := IdleRefreshEvery
		if owned.Far {
			idle = idleFar
		}
		usesDue := known.lacksUses(owned.Uses, now) || known.lacksWaiting(owned.Waiting, now)
		if known.telling() || (!probed[address] && !known.doubted(owned.Doubted) && !known.lacks(owned.Counts, idle, now) && !usesDue) {
			if known.asksSoon(owned.Waiting, now) {
				next = askEvery
			}
			continue
		}
		if owned.Far && known.idle(owned.Counts) && !known.lastAt.IsZero() && !probed[address] && !known.doubted(owned.Doubted) && address != nextFar && !usesDue {
			continue
		}
		t.call(ctx, address, known, owned, now)
	}
	return next
}

// worker returns what is known of a worker. The caller holds the mutex.
func (t *Teller) worker(address string, owned Owned) *correspondent {
	known := t.workers[address]
	if known == nil {
		known = &correspondent{}
		t.workers[address] = known
	}
	known.far = owned.Far
	return known
}

// call begins a call to a worker. The caller holds the mutex, and runs in the teller's loop.
func (t *Teller) call(ctx context.Context, address string, known *correspondent, owned Owned, now time.Time) {
	report := known.next(owned.Counts, now)
	report.Uses = known.nextUses(owned.Uses, now)
	report.Waiting, known.waiting = owned.Waiting, owned.Waiting
	report.Node, report.Incarnation, report.AgeMs = t.Node, t.incarnation, t.age(now)
	t.tomb.Go(func() error { t.tell(ctx, address, known, report); return nil })
}

// ageToldFor is how long a node tells its age: longer than any owner asks for it. One that tells none counts as one that has lived
// long, and the reports of all the time to come are as short as before.
const ageToldFor = 15 * time.Second

// age is how long this process has lived, in milliseconds, at least one; zero where it is not told any more.
func (t *Teller) age(now time.Time) int64 {
	lived := now.Sub(t.began)
	if lived > ageToldFor {
		return 0
	}
	return max(lived.Milliseconds(), 1)
}

// idleFarEvery is the time between two reports to a worker of another zone at whose runners this node has no work.
func idleFarEvery(online map[string]Owned) time.Duration {
	idle := 0
	for _, owned := range online {
		if owned.Far && len(owned.Counts) == 0 {
			idle++
		}
	}
	return max(time.Duration(idle)*time.Second/farCallsEach, IdleRefreshEvery)
}

// nextFar returns which worker of another zone, at whose runners this node has no work, is asked next, or none: one after the other, of
// those that are due the one whose zone was asked the longest ago, so that each zone is heard of at even intervals. The caller holds the mutex.
func (t *Teller) nextFar(online map[string]Owned, every time.Duration, now time.Time) string {
	zones := map[ident.Zone]time.Time{}
	var last time.Time
	for address, owned := range online {
		known := t.workers[address]
		if !owned.Far || known == nil || !known.idle(owned.Counts) {
			continue
		}
		if known.lastAt.After(zones[owned.Zone]) {
			zones[owned.Zone] = known.lastAt
		}
		if known.lastAt.After(last) {
			last = known.lastAt
		}
	}
	if now.Sub(last) < time.Second/farCallsEach {
		return ""
	}
	next := ""
	for address, owned := range online {
		known := t.workers[address]
		if !owned.Far || known == nil || known.telling() || !known.idle(owned.Counts) || now.Before(known.notBefore) || now.Sub(known.lastAt) < every {
			continue
		}
		if next == "" || cmp.Or(zones[owned.Zone].Compare(zones[online[next].Zone]), known.lastAt.Compare(t.workers[next].lastAt), cmp.Compare(address, next)) < 0 {
			next = address
		}
	}
	return next
}

// idle says whether the worker has nothing to be told, and was told nothing that is over.
func (c *correspondent) idle(counts []Count) bool { return len(counts) == 0 && len(c.last) == 0 }

// doubted says whether the worker was not asked since its zone is in doubt.
func (c *correspondent) doubted(since time.Time) bool { return c.lastAt.Before(since) }

const (
	// probeEvery is the time between two questions to a zone that leaves them without an answer.
	probeEvery = 250 * time.Millisecond
	// probesEach is how many such questions a node asks a second, all together: some 250 bytes each.
	probesEach = 8
)

// probed returns the workers that are asked whether their zone is back: of each such zone the one that was asked the longest ago,
// once in probeEvery, and less often where there are many. The caller holds the mutex.
func (t *Teller) probed(online map[string]Owned, now time.Time) map[string]bool {
	var oldest map[ident.Zone]string
	newest := map[ident.Zone]time.Time{}
	for address, owned := range online {
		known := t.workers[address]
		if owned.Doubted.IsZero() || known == nil {
			continue
		}
		if oldest == nil {
			oldest = map[ident.Zone]string{}
		}
		if known.lastAt.After(newest[owned.Zone]) {
			newest[owned.Zone] = known.lastAt
		}
		if before := t.workers[oldest[owned.Zone]]; !known.telling() && (before == nil || known.lastAt.Before(before.lastAt)) {
			oldest[owned.Zone] = address
		}
	}
	every := max(probeEvery, time.Duration(len(newest))*time.Second/probesEach)
	probed := make(map[string]bool, len(oldest))
	for zone, address := range oldest {
		probed[address] = now.Sub(newest[zone]) >= every
	}
	return probed
}

// lacks says whether the worker is to be told now. idle is the time between two reports where there is nothing to tell.
func (c *correspondent) lacks(counts []Count, idle time.Duration, now time.Time) bool {
	if now.Before(c.notBefore) {
		return false
	}
	working := 0
	for _, count := range counts {
		if c.lacksPace(count) {
			return true
		}
		if !count.HasWork() {
			continue
		}
		working++
		if c.last[count.Runner] != count.withoutPace() {
			return true
		}
	}
	if working != len(c.last) {
		return true
	}
	if working == 0 {
		return now.Sub(c.lastAt) >= idle
	}
	return now.Sub(c.lastAt) >= RefreshEvery
}

// lacksPace says whether a count has a word of a runner's pace that the worker does not know. Each is told once, so that its age
// makes no report due.
func (c *correspondent) lacksPace(count Count) bool {
	return count.Pace.Known() && count.Heard.After(c.paces[count.Runner])
}

// next is the report of the counts; the worker counts as told.
func (c *correspondent) next(counts []Count, now time.Time) *Report {
	c.sequence++
	c.called, c.lastAt = make(chan struct{}), now
	c.last = make(map[ident.Incarnation]Count, len(counts))
	paces := make(map[ident.Incarnation]time.Time, len(c.paces))
	report := &Report{Sequence: c.sequence, EndsRead: c.endsRead}
	for _, count := range counts {
		told := count.withoutPace()
		if count.HasWork() {
			c.last[count.Runner] = told
		}
		if c.lacksPace(count) {
			told.Pace, told.Heard, told.PaceAgeMs = count.Pace, count.Heard, max(now.Sub(count.Heard).Milliseconds(), 0)
		} else if heard, answered := c.paces[count.Runner]; answered {
			paces[count.Runner] = heard
		}
		if c.knownAt.IsZero() {
			told.Old = count.Old
		}
		if told.HasWork() || told.Pace.Known() {
			report.Counts = append(report.Counts, told)
		}
	}
	c.paces = paces
	return report
}

// answered notes that the worker has a report.
func (c *correspondent) answered(report *Report, sent time.Time) {
	c.knownAt = sent
	if c.paces == nil {
		c.paces = map[ident.Incarnation]time.Time{}
	}
	for _, count := range report.Counts {
		if count.Pace.Known() {
			c.paces[count.Runner] = count.Heard
		}
	}
}

// telling says whether a call is on its way.
func (c *correspondent) telling() bool { return c.called != nil }

// tell makes one call and, where more happened meanwhile, has the next one made.
func (t *Teller) tell(ctx context.Context, address string, known *correspondent, report *Report) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	sent := t.Now()
	answer, err := t.Tell(ctx, address, report)
	if err == nil {
		// The answer may have lain unread through a freeze of this process.
		t.Work.Take(address, answer, sent)
	}
	now := t.Now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known.called != nil {
		close(known.called)
		known.called = nil
	}
	if err != nil {
		// What the worker was told is not known any more.
		known.last, known.paces, known.waiting = nil, nil, nil
		known.notBefore = now.Add(pauseAfterFailure)
		return
	}
	known.answered(report, sent)
	known.endsRead = answer.Ends.After(report.EndsRead)
	if known.missed {
		t.Changed(true)
	}
}
