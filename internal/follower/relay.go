package follower

import (
	"context"
	"errors"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/fleetfeed"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Source asks another node for what it read of the registry. An error, or a snapshot that is too old, makes the
// follower read for itself.
type Source interface {
	// Next returns a snapshot newer than what is known, or the present one when the wait is over.
	Next(ctx context.Context, known *fleetfeed.Known) (*fleetfeed.Snapshot, error)
}

// Passing is a Source that can ask another node than the one that it asked last.
type Passing interface {
	// PassOver says that what the last node told was too old to be used.
	PassOver()
}

// ErrReadAlone means that there is no other node to ask: this one reads the registry itself, at once.
const ErrReadAlone = failure.Kind("follower: no other node reads")

// freshness is until when the relayed readings are good enough.
type freshness struct {
	runners, orders time.Time
}

const (
	// relaySlack is what a call of the source may take beyond the time it is held.
	relaySlack = 400 * time.Millisecond
	// oldestShare of the time between two readings is how old a relayed one may be: the next one needs its time too.
	oldestShare = 1.3
	// relayPause parts two calls after one that brought nothing usable.
	relayPause = 500 * time.Millisecond
	// startPause parts two calls of a node that was told nothing yet, and two looks whether it was: nodes start within 0.3 s of
	// each other, and a list is read in a few milliseconds.
	startPause = 50 * time.Millisecond
)

// followSource takes over what the source read, as long as it is fresh.
func (f *Follower) followSource(ctx context.Context) error {
	known := &fleetfeed.Known{WaitMs: f.oldest().Milliseconds()}
	for ctx.Err() == nil {
		told := f.relay(ctx, known)
		f.noteRelay(told == toldFresh)
		switch {
		case told == toldFresh:
		case f.inGrace():
			sleep(ctx, startPause)
		case told == toldOld:
			f.passOver()
			sleep(ctx, startPause)
		default:
			sleep(ctx, relayPause)
		}
	}
	return nil
}

// passOver has the source ask another node, where it can: the one that it asked may be the only one that the registry turns away.
func (f *Follower) passOver() {
	if source, passes := f.Source.(Passing); passes {
		source.PassOver()
	}
}

// told says what a call of the source brought.
type told uint8

const (
	// toldNothing means that the source did not answer.
	toldNothing told = iota
	// toldOld means that the source has nothing that is fresh: the registry is away from it too. The next call is held until it has.
	toldOld
	// toldFresh means that what it told is used.
	toldFresh
)

// inGrace says whether the node has just started and waits to be told.
func (f *Follower) inGrace() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.Now().Before(f.graceUntil)
}

// readAlone has this node read for itself from now on: others wait for what it reads, and what it was told is as old as what they
// were told.
func (f *Follower) readAlone() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.readsForAll = true
	if f.fresh == (freshness{}) && f.graceUntil.IsZero() {
		return
	}
	f.fresh, f.graceUntil = freshness{}, time.Time{}
	f.wakeReaders()
}

// readOrdersItself has this node read the orders itself now, and the list until it is told again.
func (f *Follower) readOrdersItself() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.fresh.orders, f.graceUntil = time.Time{}, time.Time{}
	f.wakeReaders()
}

// wakeReaders has those that wait for what is told look whether this node reads itself. The caller holds the mutex.
func (f *Follower) wakeReaders() {
	if f.alone != nil {
		close(f.alone)
		f.alone = nil
	}
}

// restRelayed waits while what was told is good enough, or until this node reads alone.
func (f *Follower) restRelayed(ctx context.Context, duration time.Duration) {
	f.mutex.Lock()
	if f.alone == nil {
		f.alone = make(chan struct{})
	}
	alone := f.alone
	f.mutex.Unlock()
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-alone:
	case <-ctx.Done():
	}
}

// freshUntil returns until when relayed readings of the ages are good enough. The orders are so no longer than the
// runners: a node that waits for orders and is cut off from the registry hears nothing, and only its failing readings of
// the runners show that its silence is no proof.
func (f *Follower) freshUntil(now time.Time, runnersAge, ordersAge time.Duration) freshness {
	runners := now.Add(f.oldest() - runnersAge)
	orders := now.Add(f.oldestOrders() - ordersAge)
	if runners.Before(orders) {
		orders = runners
	}
	return freshness{runners: runners, orders: orders}
}

// noteRelay logs when relaying begins and ends.
func (f *Follower) noteRelay(used bool) {
	if used == f.relaying {
		return
	}
	f.relaying = used
	if used {
		event.FleetRelayed.Log(f.Logger).Send()
		return
	}
	event.FleetReadAlone.Log(f.Logger).Send()
}

// oldestOrders is the age from which on relayed orders are not used. The age of the other node's newest answer grows to
// a whole wait before the next one, and a snapshot is taken only with each reading of the runners: were the bound less
// than both together, each node would read the orders itself every few seconds.
func (f *Follower) oldestOrders() time.Duration {
	return f.Options.OrdersWait + f.Options.RunnersEvery + 2*f.Options.CallTimeout
}

// oldest is the age from which on a relayed reading of the runners is not used.
func (f *Follower) oldest() time.Duration {
	return time.Duration(oldestShare * float64(f.Options.RunnersEvery))
}

// relay makes one call and says what it brought.
func (f *Follower) relay(ctx context.Context, known *fleetfeed.Known) told {
	ctx, cancel := context.WithTimeout(ctx, f.oldest()+relaySlack)
	defer cancel()
	if catalog := f.Routes.Catalog(); catalog != nil {
		known.CatalogVersion = catalog.Version
	}
	f.copy.Tell(known)
	began := f.Now()
	snapshot, err := f.Source.Next(ctx, known)
	if errors.Is(err, ErrReadAlone) {
		f.readAlone()
	}
	f.noteAnswer(err == nil)
	if err != nil {
		return toldNothing
	}
	if err := f.copy.Complete(snapshot); err != nil {
		event.FeedUnread.Log(f.Logger).Err(err).Send()
		return toldNothing
	}
	return f.takeSnapshot(snapshot, known, agesOf(snapshot, began, f.Now()))
}

// snapshotAges says how old the parts of a snapshot were as it came.
type snapshotAges struct {
	came            time.Time
	runners, orders time.Duration
}

// agesOf returns the ages of a snapshot that was asked for and came at the given times. Whatever of the call's time the other node
// did not hold it, the answer may have been on its way.
func agesOf(snapshot *fleetfeed.Snapshot, asked, came time.Time) snapshotAges {
	way := max(came.Sub(asked)-time.Duration(snapshot.HeldMs)*time.Millisecond, 0)
	return snapshotAges{came: came, runners: toldAge(snapshot.RunnersAgeMs) + way, orders: toldAge(snapshot.OrdersAgeMs) + way}
}

// takeSnapshot takes over what of a snapshot is new enough, and says what it brought.
func (f *Follower) takeSnapshot(snapshot *fleetfeed.Snapshot, known *fleetfeed.Known, ages snapshotAges) told {
	listFresh, ordersFresh := ages.runners <= f.oldest(), ages.orders <= f.oldestOrders()
	if !listFresh || ordersFresh {
		known.Incarnation, known.Reading = snapshot.Incarnation, snapshot.Reading
	}
	if snapshot.Catalog != nil && snapshot.Catalog.Form < work.CatalogForm {
		// A node of an older build left out of the configuration what it doesn't know.
		f.readOrdersItself()
		return toldOld
	}
	// A newer configuration is newer however long ago it was read.
	f.adopt(snapshot.Catalog, true)
	// The other node reads the list and the orders beside each other. Where only the list is fresh the same is asked for again: it
	// is told once, and would be heard of anew with the next reading, a second later.
	if !listFresh || !ordersFresh {
		return toldOld
	}
	f.applySnapshot(snapshot, ages)
	return toldFresh
}

// applySnapshot has a fresh snapshot in force here, and passes it on where this node feeds others.
func (f *Follower) applySnapshot(snapshot *fleetfeed.Snapshot, ages snapshotAges) {
	read := ages.came.Add(-ages.runners)
	f.applyRunners(snapshot.Runners, snapshot.Revision, read)
	f.tellRetirements(snapshot.Retire)
	if f.Feed != nil {
		f.Feed.Read(snapshot.Runners, snapshot.Revision, read)
		f.Feed.Orders(work.Orders{Catalog: snapshot.Catalog, Retire: snapshot.Retire}, ages.came.Add(-ages.orders))
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.fresh, f.graceUntil = f.freshUntil(ages.came, ages.runners, ages.orders), time.Time{}
}

// toldAge is an age as another node told it. One that no reading can have is of a reading that was never made.
func toldAge(ms int64) time.Duration {
	if ms < 0 || ms > fleetfeed.LongestAge.Milliseconds() {
		return fleetfeed.LongestAge
	}
	return time.Duration(ms) * time.Millisecond
}

// noteAnswer notes whether the source answers: then what it reads is told at once.
func (f *Follower) noteAnswer(answers bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.sourceAnswers = answers
	if answers {
		f.readsForAll = false
	}
}

// relayLead is how long a node that has seen the registry's return waits for another one that reads for all to tell it: that one
// looks for the return every readerProbe, and its list is here some ten milliseconds after it was read. 300 nodes that read the
// list and the orders themselves make 2,000 calls. It counts into how long a runner is used that left in the outage.
const relayLead = 150 * time.Millisecond

// awaitRelay waits for the source to tell what it reads, where there is one that answers.
func (f *Follower) awaitRelay(ctx context.Context) {
	for end := f.Now().Add(relayLead); ctx.Err() == nil && f.Now().Before(end); {
		f.mutex.Lock()
		wait := f.sourceAnswers && !f.fresh.runners.After(f.Now())
		f.mutex.Unlock()
		if !wait {
			return
		}
		sleep(ctx, relayLead/5)
	}
}

// relayedUntil returns until when the relayed readings are good enough, or a time that has passed. At a start it is asked again
// and again until the node is told, or the grace is over.
func (f *Follower) relayedUntil() freshness {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if now := f.Now(); now.Before(f.graceUntil) {
		again := now.Add(startPause)
		return freshness{runners: again, orders: again}
	}
	return f.fresh
}
