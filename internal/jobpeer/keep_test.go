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
	"mallowlatch.example/mallowlatch/internal/reach"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

// errSilent is the answer of a worker that does not answer.
const errSilent = failure.Kind("test: silent")

// peer is a connection to a worker that answers as the test says.
type peer struct {
	drpc.Conn
	keep    jobpeer.KeepReply
	pending bool
	doubt   bool
	silent  bool
	feed    fleetfeed.Snapshot
	asked   chan *jobpeer.KeepRequest
	// takes is what passes while a silent worker is waited for; nil is nothing.
	takes func()
}

func (p *peer) Invoke(_ context.Context, _ string, _ drpc.Encoding, in, out drpc.Message) error {
	if request, isKeep := in.(*jobpeer.KeepRequest); isKeep {
		p.asked <- request
	}
	if p.silent && p.takes != nil {
		p.takes()
	}
	if p.silent {
		return errSilent
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
	keeps  = jobpeer.KeepReply{Kept: true}
	isFull = jobpeer.KeepReply{Code: failure.CodeJobQuota, Message: "full", Outcome: outcome.NotRun, RetryAfterMs: 500}
)

// newHolders registers a worker for each peer, in the zones given, of which two must keep a job.
func newHolders(t *testing.T, zones []ident.Zone, peers ...*peer) *jobpeer.Holders {
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
	return &jobpeer.Holders{
		Records: records, Zone: "z", Copies: 2, Now: time.Now,
		Connect: func(address string) (drpc.Conn, error) { return byAddress[address], nil },
	}
}

func keep(holders *jobpeer.Holders) error {
	submission := &jobrecord.Submission{ID: "j", Route: "r", Items: []work.Item{{ID: "j-0", Path: "/p", Tokens: 1}}}
	return holders.Keep(context.Background(), 0, submission)
}

var oneZone = []ident.Zone{"z", "z", "z", "z"}

func TestEnoughWorkersMakeAJobDurable(t *testing.T) {
	assert.NilError(t, keep(newHolders(t, oneZone, &peer{keep: keeps}, &peer{silent: true}, &peer{keep: keeps})))
	// The fourth is asked once it is clear that the first three are not enough.
	assert.NilError(t, keep(newHolders(t, oneZone, &peer{keep: keeps}, &peer{silent: true}, &peer{keep: isFull}, &peer{keep: keeps})))
}

func TestTooFewCopiesPromiseNothing(t *testing.T) {
	for name, second := range map[string]*peer{"silent": {silent: true}, "full": {keep: isFull}} {
		err := keep(newHolders(t, oneZone, &peer{keep: keeps}, second))
		assert.Equal(t, failure.As(err).Outcome, outcome.Unknown, name)
	}
	// A worker that did not answer may have the job.
	err := keep(newHolders(t, oneZone, &peer{silent: true}, &peer{keep: isFull}))
	assert.Equal(t, failure.As(err).Outcome, outcome.Unknown)
}

// TestNodeThatHearsNobodyAsksNoFurther has none of the first workers answer in the time that one may take: the others are not asked
// one after the other, which would hold the caller to its deadline. Workers that refuse at once are passed over.
func TestNodeThatHearsNobodyAsksNoFurther(t *testing.T) {
	const workers = 12
	for takes, wanted := range map[time.Duration]int{time.Second: 3, time.Millisecond: workers} {
		simulated.Test(t, func(t *testing.T) { askSilentWorkers(t, workers, takes, wanted) })
	}
}

// askSilentWorkers has a job kept by workers that are silent for a time each, and checks how many are asked.
func askSilentWorkers(t *testing.T, workers int, takes time.Duration, wanted int) {
	var zones []ident.Zone
	var peers []*peer
	for range workers {
		zones, peers = append(zones, "z"), append(peers, &peer{silent: true})
	}
	holders := newHolders(t, zones, peers...)
	var since atomic.Int64
	start := time.Now()
	holders.Now = func() time.Time { return start.Add(time.Duration(since.Load())) }
	for _, p := range peers {
		p.takes = func() { since.Add(int64(takes)) }
	}
	err := keep(holders)
	// The first are asked beside each other: one may have answered before another was asked.
	synctest.Wait()
	asked := 0
	for _, p := range peers {
		asked += len(p.asked)
	}
	assert.Equal(t, asked, wanted)
	assert.Equal(t, errors.Is(err, handoff.ErrNobodyAnswers), takes == time.Second)
	assert.Equal(t, failure.As(err).Outcome, outcome.Unknown)
}

func TestJobThatNoWorkerHasIsRefused(t *testing.T) {
	err := keep(newHolders(t, oneZone, &peer{keep: isFull}, &peer{keep: isFull}))
	assert.Equal(t, failure.As(err).Code, failure.CodeJobQuota)
	assert.Equal(t, failure.As(err).Outcome, outcome.NotRun)

	alone := &peer{keep: keeps}
	err = keep(newHolders(t, oneZone, alone))
	assert.Equal(t, failure.As(err).Outcome, outcome.NotRun)
	assert.Equal(t, len(alone.asked), 0, "a worker was given a job that cannot become durable")
}

func TestCopiesLieInDifferentZones(t *testing.T) {
	far := &peer{keep: keeps}
	holders := newHolders(t, []ident.Zone{"z", "z", "z", "y"}, &peer{keep: keeps}, &peer{keep: keeps}, &peer{keep: keeps}, far)
	assert.NilError(t, keep(holders))
	assert.Equal(t, (<-far.asked).Entry.Turn, 1)
}

func TestPendingIsOnlyDeniedForCertain(t *testing.T) {
	ctx := context.Background()
	pending, sure := newHolders(t, oneZone, &peer{}, &peer{pending: true}).Pending(ctx, "j")
	assert.Assert(t, pending && sure)
	pending, sure = newHolders(t, oneZone, &peer{}, &peer{}).Pending(ctx, "j")
	assert.Assert(t, !pending && sure)
	_, sure = newHolders(t, oneZone, &peer{}, &peer{silent: true}).Pending(ctx, "j")
	assert.Assert(t, !sure)
	_, sure = newHolders(t, oneZone).Pending(ctx, "j")
	assert.Assert(t, !sure, "nobody was asked")
	_, sure = newHolders(t, oneZone, &peer{}, &peer{doubt: true}).Pending(ctx, "j")
	assert.Assert(t, !sure, "a worker that keeps the job may not be registered again")
}

// TestWorkerThatIsNotRegisteredAnyMoreIsStillAsked has the registration of the worker that keeps a job go with its lease, as
// in an outage: the job is not denied.
func TestWorkerThatIsNotRegisteredAnyMoreIsStillAsked(t *testing.T) {
	ctx := context.Background()
	keeper := &peer{keep: keeps, pending: true}
	holders := newHolders(t, oneZone, &peer{keep: keeps}, keeper)
	assert.NilError(t, keep(holders))
	other, err := holders.Records.Workers(ctx)
	assert.NilError(t, err)
	_, err = holders.Records.Store.Commit(ctx, nil, []kv.Write{{Key: "job/live/worker/b", Delete: true}})
	assert.NilError(t, err)
	remaining, err := holders.Records.Workers(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(remaining), len(other)-1)
	holders.Learn(remaining, holders.Now())
	pending, _ := holders.Pending(ctx, "j")
	assert.Assert(t, pending)
}

// TestFrontLearnsOfWorkersFromAWorker has a worker name one that came after the front's own reading: only with it are there
// enough to keep a job.
func TestFrontLearnsOfWorkersFromAWorker(t *testing.T) {
	first := &peer{keep: keeps}
	holders := newHolders(t, oneZone, first)
	assert.Assert(t, keep(holders) != nil)
	source := &jobpeer.WorkerFeed{Holders: holders}
	first.feed = fleetfeed.Snapshot{
		RunnersAgeMs: (5 * time.Second).Milliseconds(),
		Workers:      []fleetfeed.Worker{{Node: "a", Zone: "z", Address: "a"}, {Node: "b", Zone: "z", Address: "a"}},
	}
	_, err := source.Next(context.Background(), &fleetfeed.Known{})
	assert.NilError(t, err)
	assert.Assert(t, keep(holders) != nil, "the word of a worker that is cut off was taken")
	first.feed.RunnersAgeMs = 200
	_, err = source.Next(context.Background(), &fleetfeed.Known{})
	assert.NilError(t, err)
	assert.NilError(t, keep(holders))
}

// TestWorkersThatAreToldOnceAreLearnedLater has a worker tell the others with a reading that is too old, and with the next one that they are the
// same. One that names none, and has another print, does not know them.
func TestWorkersThatAreToldOnceAreLearnedLater(t *testing.T) {
	first := &peer{keep: keeps}
	holders := newHolders(t, oneZone, first)
	source := &jobpeer.WorkerFeed{Holders: holders}
	known := &fleetfeed.Known{}
	first.feed = fleetfeed.Snapshot{
		RunnersAgeMs: (5 * time.Second).Milliseconds(), WorkersPrint: 7,
		Workers: []fleetfeed.Worker{{Node: "a", Zone: "z", Address: "a"}, {Node: "b", Zone: "z", Address: "a"}},
	}
	for _, feed := range []fleetfeed.Snapshot{first.feed, {RunnersAgeMs: 200, WorkersPrint: 8}} {
		first.feed = feed
		_, err := source.Next(context.Background(), known)
		assert.NilError(t, err)
		assert.Assert(t, keep(holders) != nil)
	}
	first.feed = fleetfeed.Snapshot{
		RunnersAgeMs: (5 * time.Second).Milliseconds(), WorkersPrint: 7,
		Workers: []fleetfeed.Worker{{Node: "a", Zone: "z", Address: "a"}, {Node: "b", Zone: "z", Address: "a"}},
	}
	for _, feed := range []fleetfeed.Snapshot{first.feed, {RunnersAgeMs: 200, WorkersPrint: 7}} {
		first.feed = feed
		_, err := source.Next(context.Background(), known)
		assert.NilError(t, err)
	}
	assert.NilError(t, keep(holders))
}

// TestOlderListOfWorkersIsPassedOver has what a worker told overtaken by a newer reading.
func TestOlderListOfWorkersIsPassedOver(t *testing.T) {
	holders := newHolders(t, oneZone, &peer{keep: keeps}, &peer{keep: keeps})
	assert.NilError(t, keep(holders))
	holders.Learn(nil, holders.Now().Add(-time.Minute))
	assert.NilError(t, keep(holders))
	holders.Learn(nil, holders.Now())
	assert.Assert(t, keep(holders) != nil)
}

// TestFrontThatStartsAsksSeeds has a front that knows no worker ask the seeds by turns, without a call of the records, until one
// tells it of the others or the time for that is over.
func TestFrontThatStartsAsksSeeds(t *testing.T) {
	now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	store := kvtest.NewPaged(kvtest.NewData(func() time.Time { return now }))
	var asked []string
	holders := &jobpeer.Holders{
		Records: &jobrecord.Records{Store: store, ValueBytes: 1 << 20, Now: func() time.Time { return now }}, Zone: "z",
		Connect: func(address string) (drpc.Conn, error) {
			asked = append(asked, address)
			return nil, jobpeer.ErrNoWorker
		},
		Seeds: []string{"a", "b", "c"}, SeedsFor: time.Second, Now: func() time.Time { return now },
	}
	source := &jobpeer.WorkerFeed{Holders: holders}
	for range 6 {
		_, err := source.Next(context.Background(), &fleetfeed.Known{})
		assert.ErrorIs(t, err, jobpeer.ErrNoWorker)
	}
	assert.DeepEqual(t, asked, []string{"a", "b", "c", "a", "b", "c"})
	assert.Equal(t, store.Calls(), 0)
	now = now.Add(1100 * time.Millisecond)
	_, err := source.Next(context.Background(), &fleetfeed.Known{})
	assert.ErrorIs(t, err, jobpeer.ErrNoWorker)
	assert.Equal(t, store.Calls(), 1, "seeds that do not answer are asked for a moment only")
	holders.Learn([]jobrecord.Worker{{Node: "w", Zone: "z", Address: "w"}}, now)
	_, err = source.Next(context.Background(), &fleetfeed.Known{})
	assert.ErrorIs(t, err, jobpeer.ErrNoWorker)
	assert.Equal(t, asked[len(asked)-1], "w")
}

// TestCallsToWorkersTellWhetherAnybodyAnswers has workers fall silent: the node is told so with the calls that it makes anyway, and
// of the first that answers again.
func TestCallsToWorkersTellWhetherAnybodyAnswers(t *testing.T) {
	peers := []*peer{{silent: true}, {silent: true}, {silent: true}, {silent: true, keep: keeps}}
	holders := newHolders(t, oneZone, peers...)
	holders.Copies, holders.Heard = 3, &reach.Watch{}
	later := func() time.Time { return time.Now().Add(time.Minute) }
	assert.Assert(t, keep(holders) != nil)
	assert.Assert(t, holders.Heard.Deaf(later()))

	peers[3].silent = false
	holders.Now = func() time.Time { return time.Now().Add(5 * time.Second) }
	assert.Assert(t, keep(holders) != nil, "one of three is too few")
	assert.Assert(t, !holders.Heard.Deaf(time.Now().Add(6*time.Second)))
}
