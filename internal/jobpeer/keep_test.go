package jobpeer_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/fleetfeed"
	"mallowlatch.example/mallowlatch/internal/handoff"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobpeer"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
	"mallowlatch.example/mallowlatch/internal/outcome"
	"mallowlatch.example/mallowlatch/internal/reachability"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

// errUnresponsive is the error of a call to an unresponsive worker.
const errUnresponsive = failure.Kind("test: worker does not answer")

// peer is a connection to a worker with preset answers.
type peer struct {
	drpc.Conn
	keep         jobpeer.KeepReply
	pending      bool
	doubt        bool
	unresponsive bool
	feed         fleetfeed.Snapshot
	asked        chan *jobpeer.KeepRequest
	// delay runs during a call to an unresponsive worker, to advance the clock; nil does nothing.
	delay func()
}

func (p *peer) Invoke(_ context.Context, _ string, _ drpc.Encoding, in, out drpc.Message) error {
	if request, isKeep := in.(*jobpeer.KeepRequest); isKeep {
		p.asked <- request
	}
	if p.unresponsive && p.delay != nil {
		p.delay()
	}
	if p.unresponsive {
		return errUnresponsive
	}
	switch reply := out.(type) {
	case *jobpeer.KeepReply:
		*reply = p.keep
	case *fleetfeed.Snapshot:
		*reply = p.feed
	case *jobpeer.PendingReply:
		reply.Pending, reply.Doubt = p.pending, p.doubt
	}
	return nil
}

var (
	keptReply = jobpeer.KeepReply{Kept: true}
	fullReply = jobpeer.KeepReply{Code: failure.CodeJobQuota, Message: "full", Outcome: outcome.NotRun, RetryAfterMs: 500}
)

// newWorkerClient registers a worker in the given zone for each peer. Two of them must store a job.
func newWorkerClient(t *testing.T, zones []ident.Zone, peers ...*peer) *jobpeer.WorkerClient {
	t.Helper()
	store := kvtest.NewPaged(kvtest.NewData(time.Now))
	records := &jobrecord.Records{Store: store, ValueBytes: 1 << 20, Now: time.Now}
	byAddress := map[string]*peer{}
	for index, p := range peers {
		name := string(rune('a' + index))
		p.asked = make(chan *jobpeer.KeepRequest, 4)
		byAddress[name] = p
		lease, err := store.Grant(context.Background(), time.Minute)
		assert.NilError(t, err)
		_, err = records.Register(context.Background(), jobrecord.Worker{Node: ident.Node(name), Zone: zones[index], Address: name}, lease)
		assert.NilError(t, err)
	}
	return &jobpeer.WorkerClient{
		Records: records, Zone: "z", Copies: 2, Now: time.Now,
		Connect: func(address string) (drpc.Conn, error) { return byAddress[address], nil },
	}
}

func keep(client *jobpeer.WorkerClient) error {
	submission := &jobrecord.Submission{ID: "j", Route: "r", Items: []work.Item{{ID: "j-0", Path: "/p", Tokens: 1}}}
	return client.StoreHandoff(context.Background(), 0, submission)
}

var oneZone = []ident.Zone{"z", "z", "z", "z"}

func TestEnoughWorkersMakeAJobDurable(t *testing.T) {
	assert.NilError(t, keep(newWorkerClient(t, oneZone, &peer{keep: keptReply}, &peer{unresponsive: true}, &peer{keep: keptReply})))
	// The fourth is asked once it is clear that the first three are not enough.
	assert.NilError(t, keep(newWorkerClient(t, oneZone,
		&peer{keep: keptReply}, &peer{unresponsive: true}, &peer{keep: fullReply}, &peer{keep: keptReply})))
}

func TestTooFewCopiesGiveAnUnknownOutcome(t *testing.T) {
	for name, second := range map[string]*peer{"silent": {unresponsive: true}, "full": {keep: fullReply}} {
		err := keep(newWorkerClient(t, oneZone, &peer{keep: keptReply}, second))
		assert.Equal(t, failure.As(err).Outcome, outcome.Unknown, name)
	}
	// A worker that did not answer may have the job.
	err := keep(newWorkerClient(t, oneZone, &peer{unresponsive: true}, &peer{keep: fullReply}))
	assert.Equal(t, failure.As(err).Outcome, outcome.Unknown)
}

// TestNodeWithoutAnswersStopsAskingWorkers has none of the first workers answer within a call's timeout. The others must not be
// asked one after the other, which would delay the answer up to the caller's deadline. If the first workers fail quickly, all
// others are asked.
func TestNodeWithoutAnswersStopsAskingWorkers(t *testing.T) {
	const workers = 12
	for delay, wanted := range map[time.Duration]int{time.Second: 3, time.Millisecond: workers} {
		simulated.Test(t, func(t *testing.T) { askUnresponsiveWorkers(t, workers, delay, wanted) })
	}
}

// askUnresponsiveWorkers submits a job to unresponsive workers whose calls take the given time, and checks how many are asked.
func askUnresponsiveWorkers(t *testing.T, workers int, delay time.Duration, wanted int) {
	var zones []ident.Zone
	var peers []*peer
	for range workers {
		zones, peers = append(zones, "z"), append(peers, &peer{unresponsive: true})
	}
	client := newWorkerClient(t, zones, peers...)
	var since atomic.Int64
	start := time.Now()
	client.Now = func() time.Time { return start.Add(time.Duration(since.Load())) }
	for _, p := range peers {
		p.delay = func() { since.Add(int64(delay)) }
	}
	err := keep(client)
	// The first workers are asked concurrently: one may have answered before another was asked.
	synctest.Wait()
	asked := 0
	for _, p := range peers {
		asked += len(p.asked)
	}
	assert.Equal(t, asked, wanted)
	assert.Equal(t, errors.Is(err, handoff.ErrNoAnswer), delay == time.Second)
	assert.Equal(t, failure.As(err).Outcome, outcome.Unknown)
}

func TestJobThatNoWorkerHasIsRefused(t *testing.T) {
	err := keep(newWorkerClient(t, oneZone, &peer{keep: fullReply}, &peer{keep: fullReply}))
	assert.Equal(t, failure.As(err).Code, failure.CodeJobQuota)
	assert.Equal(t, failure.As(err).Outcome, outcome.NotRun)

	alone := &peer{keep: keptReply}
	err = keep(newWorkerClient(t, oneZone, alone))
	assert.Equal(t, failure.As(err).Outcome, outcome.NotRun)
	assert.Equal(t, len(alone.asked), 0, "a worker was asked to store a job that cannot become durable")
}

func TestCopiesLieInDifferentZones(t *testing.T) {
	far := &peer{keep: keptReply}
	client := newWorkerClient(t, []ident.Zone{"z", "z", "z", "y"}, &peer{keep: keptReply}, &peer{keep: keptReply}, &peer{keep: keptReply}, far)
	assert.NilError(t, keep(client))
	assert.Equal(t, (<-far.asked).Entry.Turn, 1)
}

func TestPendingIsOnlyDeniedForCertain(t *testing.T) {
	ctx := context.Background()
	pending, sure := newWorkerClient(t, oneZone, &peer{}, &peer{pending: true}).Pending(ctx, "j")
	assert.Assert(t, pending && sure)
	pending, sure = newWorkerClient(t, oneZone, &peer{}, &peer{}).Pending(ctx, "j")
	assert.Assert(t, !pending && sure)
	_, sure = newWorkerClient(t, oneZone, &peer{}, &peer{unresponsive: true}).Pending(ctx, "j")
	assert.Assert(t, !sure)
	_, sure = newWorkerClient(t, oneZone).Pending(ctx, "j")
	assert.Assert(t, !sure, "no worker was asked")
	_, sure = newWorkerClient(t, oneZone, &peer{}, &peer{doubt: true}).Pending(ctx, "j")
	assert.Assert(t, !sure, "a worker with the job may not be registered again yet")
}

// TestWorkerThatIsNotRegisteredAnyMoreIsStillAsked removes the registration of the worker that has a job on disk, as happens
// in an outage when its lease expires. The job must still be found.
func TestWorkerThatIsNotRegisteredAnyMoreIsStillAsked(t *testing.T) {
	ctx := context.Background()
	keeper := &peer{keep: keptReply, pending: true}
	client := newWorkerClient(t, oneZone, &peer{keep: keptReply}, keeper)
	assert.NilError(t, keep(client))
	other, err := client.Records.Workers(ctx)
	assert.NilError(t, err)
	_, err = client.Records.Store.Commit(ctx, nil, []kv.Write{{Key: "job/live/worker/b", Delete: true}})
	assert.NilError(t, err)
	remaining, err := client.Records.Workers(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(remaining), len(other)-1)
	client.UpdateWorkers(remaining, client.Now())
	pending, _ := client.Pending(ctx, "j")
	assert.Assert(t, pending)
}

// TestFrontUsesWorkerListOfAWorker has a worker list one that registered after the front's own read of the list. Only with
// it are there enough workers to store a job.
func TestFrontUsesWorkerListOfAWorker(t *testing.T) {
	first := &peer{keep: keptReply}
	client := newWorkerClient(t, oneZone, first)
	assert.Assert(t, keep(client) != nil)
	source := &jobpeer.WorkerFeed{Client: client}
	first.feed = fleetfeed.Snapshot{
		RunnersAgeMs: (5 * time.Second).Milliseconds(),
		Workers:      []fleetfeed.Worker{{Node: "a", Zone: "z", Address: "a"}, {Node: "b", Zone: "z", Address: "a"}},
	}
	_, err := source.Next(context.Background(), &fleetfeed.SnapshotRequest{})
	assert.NilError(t, err)
	assert.Assert(t, keep(client) != nil, "the list of a partitioned worker was used")
	first.feed.RunnersAgeMs = 200
	_, err = source.Next(context.Background(), &fleetfeed.SnapshotRequest{})
	assert.NilError(t, err)
	assert.NilError(t, keep(client))
}

// TestUnchangedWorkerListIsReused has a worker send the list of workers with a read that is too old, and then only
// the unchanged fingerprint with a newer read: the front must use the earlier list. A snapshot without workers and with
// another fingerprint stands for an unknown list.
func TestUnchangedWorkerListIsReused(t *testing.T) {
	first := &peer{keep: keptReply}
	client := newWorkerClient(t, oneZone, first)
	source := &jobpeer.WorkerFeed{Client: client}
	known := &fleetfeed.SnapshotRequest{}
	first.feed = fleetfeed.Snapshot{
		RunnersAgeMs: (5 * time.Second).Milliseconds(), WorkersFingerprint: 7,
		Workers: []fleetfeed.Worker{{Node: "a", Zone: "z", Address: "a"}, {Node: "b", Zone: "z", Address: "a"}},
	}
	for _, feed := range []fleetfeed.Snapshot{first.feed, {RunnersAgeMs: 200, WorkersFingerprint: 8}} {
		first.feed = feed
		_, err := source.Next(context.Background(), known)
		assert.NilError(t, err)
		assert.Assert(t, keep(client) != nil)
	}
	first.feed = fleetfeed.Snapshot{
		RunnersAgeMs: (5 * time.Second).Milliseconds(), WorkersFingerprint: 7,
		Workers: []fleetfeed.Worker{{Node: "a", Zone: "z", Address: "a"}, {Node: "b", Zone: "z", Address: "a"}},
	}
	for _, feed := range []fleetfeed.Snapshot{first.feed, {RunnersAgeMs: 200, WorkersFingerprint: 7}} {
		first.feed = feed
		_, err := source.Next(context.Background(), known)
		assert.NilError(t, err)
	}
	assert.NilError(t, keep(client))
}

// TestOlderWorkerListIsIgnored checks that a list from another node does not replace a newer one.
func TestOlderWorkerListIsIgnored(t *testing.T) {
	client := newWorkerClient(t, oneZone, &peer{keep: keptReply}, &peer{keep: keptReply})
	assert.NilError(t, keep(client))
	client.UpdateWorkers(nil, client.Now().Add(-time.Minute))
	assert.NilError(t, keep(client))
	client.UpdateWorkers(nil, client.Now())
	assert.Assert(t, keep(client) != nil)
}

// TestFrontThatStartsAsksSeeds has a front without known workers call the seeds in turn, without reading the records, until
// SeedsFor has passed. Then it reads the records once, and calls a listed worker as soon as there is one.
func TestFrontThatStartsAsksSeeds(t *testing.T) {
	now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	store := kvtest.NewPaged(kvtest.NewData(func() time.Time { return now }))
	var asked []string
	client := &jobpeer.WorkerClient{
		Records: &jobrecord.Records{Store: store, ValueBytes: 1 << 20, Now: func() time.Time { return now }}, Zone: "z",
		Connect: func(address string) (drpc.Conn, error) {
			asked = append(asked, address)
			return nil, jobpeer.ErrNoWorker
		},
		Seeds: []string{"a", "b", "c"}, SeedsFor: time.Second, Now: func() time.Time { return now },
	}
	source := &jobpeer.WorkerFeed{Client: client}
	for range 6 {
		_, err := source.Next(context.Background(), &fleetfeed.SnapshotRequest{})
		assert.ErrorIs(t, err, jobpeer.ErrNoWorker)
	}
	assert.DeepEqual(t, asked, []string{"a", "b", "c", "a", "b", "c"})
	assert.Equal(t, store.Calls(), 0)
	now = now.Add(1100 * time.Millisecond)
	_, err := source.Next(context.Background(), &fleetfeed.SnapshotRequest{})
	assert.ErrorIs(t, err, jobpeer.ErrNoWorker)
	assert.Equal(t, store.Calls(), 1, "seeds that do not answer are only called until SeedsFor has passed")
	client.UpdateWorkers([]jobrecord.Worker{{Node: "w", Zone: "z", Address: "w"}}, now)
	_, err = source.Next(context.Background(), &fleetfeed.SnapshotRequest{})
	assert.ErrorIs(t, err, jobpeer.ErrNoWorker)
	assert.Equal(t, asked[len(asked)-1], "w")
}

// TestCallsToWorkersUpdateReachability has workers become unresponsive: the reachability.Watch must report that from the
// regular calls, and also the first worker that answers again.
func TestCallsToWorkersUpdateReachability(t *testing.T) {
	peers := []*peer{{unresponsive: true}, {unresponsive: true}, {unresponsive: true}, {unresponsive: true, keep: keptReply}}
	client := newWorkerClient(t, oneZone, peers...)
	client.Copies, client.Reach = 3, &reachability.Watch{}
	later := func() time.Time { return time.Now().Add(time.Minute) }
	assert.Assert(t, keep(client) != nil)
	assert.Assert(t, client.Reach.Partitioned(later()))

	peers[3].unresponsive = false
	client.Now = func() time.Time { return time.Now().Add(5 * time.Second) }
	assert.Assert(t, keep(client) != nil, "one of three copies is too few")
	assert.Assert(t, !client.Reach.Partitioned(time.Now().Add(6*time.Second)))
}
