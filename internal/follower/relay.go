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

// Source requests from another node what that node read from the registry. After an error, or a snapshot that is too old, the follower
// reads the registry itself.
type Source interface {
	// Next returns a snapshot newer than the known one, or the present one after the wait in known.
	Next(ctx context.Context, known *fleetfeed.SnapshotRequest) (*fleetfeed.Snapshot, error)
}

// SwitchableSource is a Source that can switch to another node.
type SwitchableSource interface {
	// SwitchNode reports that the data of the last node was too old to be used.
	SwitchNode()
}

// ErrNoSource means that there is no other node to ask: this node must read the registry itself at once.
const ErrNoSource = failure.Kind("follower: no other node reads")

// freshness is the time until which relayed readings may be used.
type freshness struct {
	runners, orders time.Time
}

const (
	// relaySlack is the part of the timeout of a call of the source beyond the time for which the source may hold the call.
	relaySlack = 400 * time.Millisecond
	// maxListAgeShare is the largest age of a relayed list, in list intervals. It is more than one because the next list takes time to arrive.
	maxListAgeShare = 1.3
	// relayRetryDelay is the delay after a call that was not answered.
	relayRetryDelay = 500 * time.Millisecond
	// startPollInterval is the delay between calls of a node that has no data yet, or whose source has only old data, and the interval
	// at which the node polls its own state. Nodes start within 0.3 s of each other, and reading a list takes a few milliseconds.
	startPollInterval = 50 * time.Millisecond
	// startWait is how long the source may hold a call of a node in its start grace period before it answers that it has no
	// data yet.
	startWait = 500 * time.Millisecond
	// maxStartHold bounds the time by which such answers extend the grace period. After a common restart one node reads the
	// registry and answers all others; if each of a thousand read thousands of runners itself, none would have them for longer.
	maxStartHold = 3 * time.Second
	// pendingHold is how long after the end of the grace period a node waits for the answer to a call in flight: a source that
	// many nodes ask at the same moment answers late.
	pendingHold = startWait + relaySlack
)

// followSource applies what the source read, as long as it is fresh.
func (f *Follower) followSource(ctx context.Context) error {
	known := &fleetfeed.SnapshotRequest{}
	for ctx.Err() == nil {
		known.WaitMs = f.sourceWait().Milliseconds()
		outcome := f.relay(ctx, known)
		f.setRelaying(outcome == sourceFresh)
		switch {
		case outcome == sourceFresh:
		case outcome != sourceStale && f.inGrace():
			sleep(ctx, startPollInterval)
		case outcome == sourceStale:
			f.switchSource()
			sleep(ctx, startPollInterval)
		default:
			sleep(ctx, relayRetryDelay)
		}
	}
	return nil
}

// switchSource switches the source to another node if it supports that: the present node may be the only one that the registry refuses.
func (f *Follower) switchSource() {
	if source, passes := f.Source.(SwitchableSource); passes {
		source.SwitchNode()
	}
}

// outcome is the outcome of a call of the source.
type outcome uint8

const (
	// sourceFailed means that the source did not answer, or that its answer could not be read.
	sourceFailed outcome = iota
	// sourceStale means that the source has no fresh data, because the registry does not answer it either. The source holds the next
	// call until it has.
	sourceStale
	// sourceFresh means that the data was fresh and was applied.
	sourceFresh
)

// inGrace reports whether the node is in its start grace period.
func (f *Follower) inGrace() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.Now().Before(f.graceDeadline())
}

// graceDeadline returns the end of the start grace period, and while a call is in flight the time up to which its answer is waited
// for. The caller holds the mutex.
func (f *Follower) graceDeadline() time.Time {
	if f.calling && !f.graceUntil.IsZero() {
		return earlier(f.graceUntil.Add(pendingHold), f.graceEnd)
	}
	return f.graceUntil
}

// beginCall records that a call of the source is in flight.
func (f *Follower) beginCall() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.calling = true
}

// sourceWait returns how long the source may hold a call.
func (f *Follower) sourceWait() time.Duration {
	if f.inGrace() {
		return min(startWait, f.maxListAge())
	}
	return f.maxListAge()
}

// callReturned ends a call of the source. An answer in the start grace period extends it, because the source is alive; if it has
// data, the period ends when that is applied.
func (f *Follower) callReturned(answered bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.Now()
	extended := earlier(now.Add(startWait+startPollInterval), f.graceEnd)
	if answered && now.Before(f.graceDeadline()) && extended.After(f.graceUntil) {
		f.graceUntil = extended
	}
	f.calling = false
}

func earlier(first, second time.Time) time.Time {
	if first.Before(second) {
		return first
	}
	return second
}

// readAlone makes this node read the registry itself from now on. Others wait for what it reads, and the data it received is as old as
// theirs. A node that has data and is not one of those that others ask goes on until its data is old.
func (f *Follower) readAlone() {
	if f.Runners.Count() > 0 && f.waitsForOthers() {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.readsForAll, f.delay = true, 0
	if f.fresh == (freshness{}) && f.graceUntil.IsZero() {
		return
	}
	f.fresh, f.graceUntil = freshness{}, time.Time{}
	f.wakeReaders()
}

// readOrdersDirectly makes this node read the orders itself now, discarding relayed orders and ending the start grace period.
func (f *Follower) readOrdersDirectly() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.fresh.orders, f.graceUntil = time.Time{}, time.Time{}
	f.wakeReaders()
}

// wakeReaders wakes the loops that rely on relayed data, so that they check whether to read the registry. The caller holds the mutex.
func (f *Follower) wakeReaders() {
	if f.alone != nil {
		close(f.alone)
		f.alone = nil
	}
}

// waitRelayed waits for the duration, or until this node starts to read the registry itself.
func (f *Follower) waitRelayed(ctx context.Context, duration time.Duration) {
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

// freshUntil returns until when relayed readings of the given ages may be used. The orders are not used longer than the runners: a node
// that waits for orders while it is partitioned from the registry gets no answer, which looks the same as no change. Only its failing
// readings of the runners reveal the partition.
func (f *Follower) freshUntil(now time.Time, runnersAge, ordersAge time.Duration) freshness {
	runners := now.Add(f.maxListAge() - runnersAge)
	orders := now.Add(f.maxOrdersAge() - ordersAge)
	if runners.Before(orders) {
		orders = runners
	}
	return freshness{runners: runners, orders: orders}
}

// setRelaying records whether relayed data is used, and logs each change.
func (f *Follower) setRelaying(used bool) {
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

// maxOrdersAge returns the largest age of relayed orders that are used. The newest orders of the source grow as old as a full wait before
// the next answer, and a snapshot is taken only with each reading of the runners. If the bound were less than the sum of both, each node
// would read the orders itself every few seconds.
func (f *Follower) maxOrdersAge() time.Duration {
	return f.Options.OrdersWait + f.Options.ListInterval + 2*f.Options.CallTimeout
}

// maxListAge returns the largest age of a relayed list of runners that is used.
func (f *Follower) maxListAge() time.Duration {
	return time.Duration(maxListAgeShare * float64(f.Options.ListInterval))
}

// relay calls the source once and applies its answer.
func (f *Follower) relay(ctx context.Context, known *fleetfeed.SnapshotRequest) outcome {
	ctx, cancel := context.WithTimeout(ctx, f.maxListAge()+relaySlack)
	defer cancel()
	if catalog := f.Routes.Catalog(); catalog != nil {
		known.CatalogVersion = catalog.Version
	}
	f.copy.SetKnown(known)
	began := f.Now()
	f.beginCall()
	snapshot, err := f.Source.Next(ctx, known)
	f.callReturned(err == nil)
	if errors.Is(err, ErrNoSource) {
		f.readAlone()
	}
	f.setSourceAnswers(err == nil)
	if err != nil {
		return sourceFailed
	}
	if err := f.copy.Complete(snapshot); err != nil {
		event.FeedUnread.Log(f.Logger).Err(err).Send()
		return sourceFailed
	}
	return f.processSnapshot(snapshot, known, agesOf(snapshot, began, f.Now()))
}

// snapshotAges is the time at which a snapshot arrived and the ages of its parts then.
type snapshotAges struct {
	received        time.Time
	runners, orders time.Duration
}

// agesOf returns the ages of a snapshot that was requested and received at the given times. The duration of the call, except for the time
// for which the other node held it, counts as transit time of the answer.
func agesOf(snapshot *fleetfeed.Snapshot, asked, received time.Time) snapshotAges {
	transit := max(received.Sub(asked)-time.Duration(snapshot.HeldMs)*time.Millisecond, 0)
	return snapshotAges{
		received: received, runners: receivedAge(snapshot.RunnersAgeMs) + transit, orders: receivedAge(snapshot.OrdersAgeMs) + transit,
	}
}

// processSnapshot applies the parts of a snapshot that are recent enough.
func (f *Follower) processSnapshot(snapshot *fleetfeed.Snapshot, known *fleetfeed.SnapshotRequest, ages snapshotAges) outcome {
	listFresh, ordersFresh := ages.runners <= f.maxListAge(), ages.orders <= f.maxOrdersAge()
	if !listFresh || ordersFresh {
		known.Incarnation, known.Reading = snapshot.Incarnation, snapshot.Reading
	}
	if snapshot.Catalog != nil && snapshot.Catalog.Form < work.CatalogForm {
		// A node of an older build drops the parts of the configuration that it does not know.
		f.readOrdersDirectly()
		return sourceStale
	}
	// A configuration with a higher version is newer, however long ago it was read.
	f.adopt(snapshot.Catalog, true)
	// The other node reads the list and the orders concurrently. If only the list is fresh, the same reading is requested again (known is
	// not advanced above): it is sent only once, and the next reading would come a second later.
	if !listFresh || !ordersFresh {
		return sourceStale
	}
	f.applySnapshot(snapshot, ages)
	return sourceFresh
}

// applySnapshot applies a fresh snapshot, and relays it if this node has a feed.
func (f *Follower) applySnapshot(snapshot *fleetfeed.Snapshot, ages snapshotAges) {
	read := ages.received.Add(-ages.runners)
	f.applyRunners(snapshot.Runners, snapshot.Revision, read)
	f.notifyRetirements(snapshot.Retire)
	if f.Feed != nil {
		f.Feed.RecordRunners(snapshot.Runners, snapshot.Revision, read)
		f.Feed.RecordOrders(work.Orders{Catalog: snapshot.Catalog, Retire: snapshot.Retire}, ages.received.Add(-ages.orders))
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.fresh, f.graceUntil = f.freshUntil(ages.received, ages.runners, ages.orders), time.Time{}
	f.delay = f.fallbackDelay()
}

// receivedAge converts an age sent by another node. An age outside the valid range stands for a reading that was never made.
func receivedAge(ms int64) time.Duration {
	if ms < 0 || ms > fleetfeed.MaxAge.Milliseconds() {
		return fleetfeed.MaxAge
	}
	return time.Duration(ms) * time.Millisecond
}

// setSourceAnswers records whether the source answered. A source that answers sends what it reads at once, so this node need not read
// for others.
func (f *Follower) setSourceAnswers(answering bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.sourceAnswers = answering
	if answering {
		f.readsForAll = false
	}
}

// relayGrace is how long a node that has detected the registry's return waits for the list of a node that reads for the others. That node
// probes every readerProbeInterval, and its list arrives about ten milliseconds after it was read. If 300 nodes read the list and the orders
// themselves, that makes 2,000 calls. The wait adds to how long a runner that left during the outage is used.
const relayGrace = 150 * time.Millisecond

// awaitRelay waits for fresh data from the source, if the source answers: up to relayGrace, and with a long list for the delay
// of this node besides.
func (f *Follower) awaitRelay(ctx context.Context) {
	f.mutex.Lock()
	grace := relayGrace + f.delay
	f.mutex.Unlock()
	for end := f.Now().Add(grace); ctx.Err() == nil && f.Now().Before(end); {
		f.mutex.Lock()
		wait := f.sourceAnswers && !f.fresh.runners.After(f.Now())
		f.mutex.Unlock()
		if !wait {
			return
		}
		sleep(ctx, relayGrace/5)
	}
}

// relayedUntil returns until when the relayed readings may be used, or a past time. During the start grace period it returns a time
// shortly ahead, so that callers check again until data arrives or the period ends.
func (f *Follower) relayedUntil() freshness {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if now := f.Now(); now.Before(f.graceDeadline()) {
		again := now.Add(startPollInterval)
		return freshness{runners: again, orders: again}
	}
	return freshness{runners: f.fresh.runners.Add(f.delay), orders: f.fresh.orders.Add(f.delay)}
}
