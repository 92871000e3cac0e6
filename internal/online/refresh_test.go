package online_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/online"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

// scriptedOwners answers queries with given shares, or not at all if dead is set.
type scriptedOwners struct {
	table  *runnertable.Table
	shares map[ident.Incarnation]demand.Share
	dead   bool
	// near counts the queries to the zone, asked contains the runners queried.
	near  int
	asked []ident.Incarnation
}

func (o *scriptedOwners) QueryZone(ctx context.Context, _ time.Duration) {
	o.near++
	if o.dead {
		<-ctx.Done()
	}
}

func (o *scriptedOwners) Query(ctx context.Context, runners []work.Runner, _ time.Duration) bool {
	queried := false
	for _, runner := range runners {
		share, known := o.shares[runner.ID]
		queried = queried || known && !slices.Contains(o.asked, runner.ID)
		o.asked = append(o.asked, runner.ID)
		if known {
			share.Runner = runner.ID
			o.table.UpdateShares([]demand.Share{share}, time.Now())
		}
	}
	return queried
}

// newOwnersSite returns a front with the given runners, the owners that it queries, and its recorder of sent requests.
func newOwnersSite(runners []work.Runner, reportsPace bool) (*online.Forwarder, *scriptedOwners, *recordingCaller) {
	table := runnertable.New("z")
	table.Replace(runners, time.Now(), true)
	owners := &scriptedOwners{table: table, shares: map[ident.Incarnation]demand.Share{}}
	caller := &recordingCaller{}
	if reportsPace {
		flight, err := table.StartAt(runners[0].ID, runnertable.PickRequest{Service: "s"}, time.Now())
		if err == nil {
			flight.HeadReceived(&work.Load{Slots: 4, Pace: 1}, time.Now())
			flight.End()
		}
	}
	return &online.Forwarder{Runners: table, Caller: caller, Logger: zerolog.Nop(), Now: time.Now, Owners: owners}, owners, caller
}

// recordingCaller records to which runners requests were sent.
type recordingCaller struct {
	scriptedCaller
	sentTo []ident.Incarnation
}

func (c *recordingCaller) Send(_ context.Context, attempt work.Attempt) (*work.Reply, error) {
	c.sentTo = append(c.sentTo, attempt.Runner.ID)
	return stream(firstEvent, true), nil
}

func serveOne(t *testing.T, forwarder *online.Forwarder) {
	t.Helper()
	route := &work.Route{Name: "r", Kind: work.Streaming, MaximumAttempts: 1, Objective: 300 * time.Millisecond, Split: []work.WeightedService{{Service: "s", Weight: 1}}}
	request := &work.Request{ID: "q", Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}
	assert.NilError(t, forwarder.Serve(t.Context(), route, request, &recorder{}))
}

func runnerOf(id ident.Incarnation, zone ident.Zone) work.Runner {
	return work.Runner{ID: id, Service: "s", Version: "v1", Zone: zone, Slots: 4}
}

// TestNoOwnerIsAskedForRunnersThatReportNoPace checks that owners are not queried if runners do not report their pace.
func TestNoOwnerIsAskedForRunnersThatReportNoPace(t *testing.T) {
	forwarder, owners, _ := newOwnersSite([]work.Runner{runnerOf("1", "z"), runnerOf("2", "z")}, false)
	serveOne(t, forwarder)
	assert.Equal(t, owners.near+len(owners.asked), 0)
}

// TestOwnerOfTheBestRunnerIsAskedBeforeItIsChosen has a node see a runner as free that its owner knows to be slow and full.
// The request must go to the other runner, after both owners were queried.
func TestOwnerOfTheBestRunnerIsAskedBeforeItIsChosen(t *testing.T) {
	forwarder, owners, caller := newOwnersSite([]work.Runner{runnerOf("1", "z"), runnerOf("2", "z")}, true)
	owners.table.UpdateShares([]demand.Share{{Runner: "1"}, {Runner: "2", Others: 4}}, time.Now())
	owners.shares["1"] = demand.Share{Others: 9, Pace: 3}
	owners.shares["2"] = demand.Share{Others: 1}
	serveOne(t, forwarder)
	assert.Equal(t, owners.near, 1)
	assert.DeepEqual(t, owners.asked, []ident.Incarnation{"1", "2"})
	assert.DeepEqual(t, caller.sentTo, []ident.Incarnation{"2"})
}

// TestOwnersOfOtherZonesAreAskedAtOnce has the node's own zone be full, so that the request would leave it: more than one
// remote owner must be queried.
func TestOwnersOfOtherZonesAreAskedAtOnce(t *testing.T) {
	forwarder, owners, caller := newOwnersSite([]work.Runner{runnerOf("own", "z"), runnerOf("far-1", "y"), runnerOf("far-2", "x")}, true)
	owners.table.UpdateShares([]demand.Share{{Runner: "own", Others: 12}}, time.Now())
	owners.shares["far-1"] = demand.Share{Others: 9}
	owners.shares["far-2"] = demand.Share{Others: 1}
	serveOne(t, forwarder)
	assert.Assert(t, slices.Contains(owners.asked, "far-1") && slices.Contains(owners.asked, "far-2"))
	assert.DeepEqual(t, caller.sentTo, []ident.Incarnation{"far-2"})
}

// TestRequestStaysInZoneWhenRemoteOwnerDoesNotAnswer has the owner of the other zone not answer. An old report of free slots
// there must not make a request leave a zone in which it is the first to wait.
func TestRequestStaysInZoneWhenRemoteOwnerDoesNotAnswer(t *testing.T) {
	forwarder, owners, caller := newOwnersSite([]work.Runner{runnerOf("own", "z"), runnerOf("far", "y")}, true)
	owners.table.UpdateShares([]demand.Share{{Runner: "own", Others: 4}}, time.Now())
	owners.table.UpdateShares([]demand.Share{{Runner: "far", Others: 0}}, time.Now().Add(-time.Second))
	for range 20 {
		serveOne(t, forwarder)
	}
	assert.Assert(t, !slices.Contains(caller.sentTo, "far"), "%v", caller.sentTo)
}

// TestUnresponsiveOwnersDelayRequestBriefly has the queries get no answer. The request must wait only 20 ms, little beside an
// objective of 300 ms.
func TestUnresponsiveOwnersDelayRequestBriefly(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		forwarder, owners, caller := newOwnersSite([]work.Runner{runnerOf("1", "z")}, true)
		owners.dead = true
		began := time.Now()
		serveOne(t, forwarder)
		assert.Equal(t, time.Since(began), 20*time.Millisecond)
		assert.DeepEqual(t, caller.sentTo, []ident.Incarnation{"1"})
	})
}
