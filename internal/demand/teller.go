package demand

import (
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
	// Counts are those of the runners with online work or under suspicion.
	Counts []Count
	// Far says that the worker is in another zone.
	Far bool
	// Uses are what tenants take and wait for, of the services of which the worker keeps account.
	Uses []Use
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
	// started and ended are signalled when a request was sent to a runner, and when one was done.
	started, ended chan struct{}

	mutex   sync.Mutex
	workers map[string]*correspondent
}

// correspondent is a worker that is told. The teller's mutex guards it.
type correspondent struct {
	sequence int64
	// telling says that a call is on its way, missed that something may have changed since it was sent.
	telling, missed bool
	// last is what was told, and lastAt when.
	last   map[ident.Incarnation]Count
	lastAt time.Time
	// notBefore is when the worker may be called again after a failure.
	notBefore time.Time
	// endsRead is how far this node has read what the worker knows of requests that end their runners.
	endsRead poison.Cursor
	// usesAt is when the worker was last told what tenants take and wait for.
	usesAt time.Time
}

// NewTeller returns a teller that is not started.
func NewTeller(node ident.Node, work Work, now func() time.Time) *Teller {
	return &Teller{
		Node: node, Work: work, Now: now, incarnation: now().UnixNano(),
		started: make(chan struct{}, 1), ended: make(chan struct{}, 1), workers: map[string]*correspondent{},
	}
}

// Changed notes that the node's online work changed. It never blocks.
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
		case <-t.started:
		case <-t.ended:
			if !hurried {
				hurried = true
				timer.Reset(endDelay)
			}
			continue
		case <-timer.C:
		}
		t.tellAll(ctx)
		hurried = false
		timer.Reset(RefreshEvery)
	}
}

// tellAll calls the workers that lack something.
func (t *Teller) tellAll(ctx context.Context) {
	online := t.Work.Online()
	now := t.Now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for address, known := range t.workers {
		if _, named := online[address]; named {
			continue
		}
		if len(known.last) == 0 && !known.telling {
			// The worker is gone, and has nothing to be taken back.
			delete(t.workers, address)
			continue
		}
		online[address] = Owned{}
	}
	idleFar := idleFarEvery(online)
	for address, owned := range online {
		known := t.workers[address]
		if known == nil {
			known = &correspondent{}
			t.workers[address] = known
		}
		known.missed = known.telling
		idle := IdleRefreshEvery
		if owned.Far {
			idle = idleFar
		}
		if known.telling || !known.lacks(owned.Counts, idle, now) && !known.lacksUses(owned.Uses, now) {
			continue
		}
		report := known.next(owned.Counts, now)
		report.Uses = known.nextUses(owned.Uses, now)
		report.Node, report.Incarnation = t.Node, t.incarnation
		t.tomb.Go(func() error { t.tell(ctx, address, known, report); return nil })
	}
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

// lacks says whether the worker is to be told now. idle is the time between two reports where there is nothing to tell.
func (c *correspondent) lacks(counts []Count, idle time.Duration, now time.Time) bool {
	if now.Before(c.notBefore) {
		return false
	}
	if len(counts) != len(c.last) {
		return true
	}
	for _, count := range counts {
		if c.last[count.Runner] != count {
			return true
		}
	}
	if len(counts) == 0 {
		return now.Sub(c.lastAt) >= idle
	}
	return now.Sub(c.lastAt) >= RefreshEvery
}

// next is the report of the counts; the worker counts as told.
func (c *correspondent) next(counts []Count, now time.Time) *Report {
	c.sequence++
	c.telling, c.lastAt = true, now
	c.last = make(map[ident.Incarnation]Count, len(counts))
	for _, count := range counts {
		c.last[count.Runner] = count
	}
	return &Report{Sequence: c.sequence, Counts: counts, EndsRead: c.endsRead}
}

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
	known.telling = false
	if err != nil {
		// What the worker was told is not known any more.
		known.last = nil
		known.notBefore = now.Add(pauseAfterFailure)
		return
	}
	known.endsRead = answer.Ends.After(report.EndsRead)
	if known.missed {
		t.Changed(true)
	}
}
