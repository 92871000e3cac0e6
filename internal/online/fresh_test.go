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

// scriptedOwners answer questions with what they know, but for those that are dead.
type scriptedOwners struct {
	table *runnertable.Table
	knows map[ident.Incarnation]demand.Share
	dead  bool
	// near counts the questions to the zone, asked are the runners asked for.
	near  int
	asked []ident.Incarnation
}

func (o *scriptedOwners) AskNear(ctx context.Context, _ time.Duration) {
	o.near++
	if o.dead {
		<-ctx.Done()
	}
}

func (o *scriptedOwners) Ask(ctx context.Context, runners []work.Runner, _ time.Duration) bool {
	news := false
	for _, runner := range runners {
		share, known := o.knows[runner.ID]
		news = news || known && !slices.Contains(o.asked, runner.ID)
		o.asked = append(o.asked, runner.ID)
		if known {
			share.Runner = runner.ID
			o.table.TakeShares([]demand.Share{share}, time.Now())
		}
	}
	return news
}

// askedSite is a node before runners of its own zone and of others, and what its one request asked.
func askedSite(runners []work.Runner, tells bool) (*online.Forwarder, *scriptedOwners, *placedCaller) {
	table := runnertable.New("z")
	table.Replace(runners, time.Now(), true)
	owners := &scriptedOwners{table: table, knows: map[ident.Incarnation]demand.Share{}}
	caller := &placedCaller{}
	if tells {
		flight, err := table.StartAt(runners[0].ID, runnertable.Wish{Service: "s"}, time.Now())
		if err == nil {
			flight.Answered(&work.Load{Slots: 4, Pace: 1}, time.Now())
			flight.End()
		}
	}
	return &online.Forwarder{Runners: table, Caller: caller, Logger: zerolog.Nop(), Now: time.Now, Owners: owners}, owners, caller
}

// placedCaller notes where requests went.
type placedCaller struct {
	scriptedCaller
	placed []ident.Incarnation
}

func (c *placedCaller) Send(_ context.Context, attempt work.Attempt) (*work.Reply, error) {
	c.placed = append(c.placed, attempt.Runner.ID)
	return stream(firstEvent, true), nil
}

func serveOne(t *testing.T, forwarder *online.Forwarder) {
	t.Helper()
	route := &work.Route{Name: "r", Kind: work.Streaming, MaximumAttempts: 1, Objective: 300 * time.Millisecond, Split: []work.WeightedService{{Service: "s", Weight: 1}}}
	request := &work.Request{ID: "q", Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}
	assert.NilError(t, forwarder.Serve(t.Context(), route, request, &recorder{}))
}

func runnerOf(id ident.Incarnation, zone ident.Zone) work.Runner {
	return work.Runner{ID: id, Service: "s", Zone: zone, Slots: 4}
}

// TestNobodyIsAskedForRunnersThatTellNoPace leaves the choice as it was.
func TestNobodyIsAskedForRunnersThatTellNoPace(t *testing.T) {
	forwarder, owners, _ := askedSite([]work.Runner{runnerOf("1", "z"), runnerOf("2", "z")}, false)
	serveOne(t, forwarder)
	assert.Equal(t, owners.near+len(owners.asked), 0)
}

// TestOwnerOfTheBestRunnerIsAskedBeforeItIsChosen has a node believe in a free runner that its owner knows to be slow and full: the request
// goes to the other one, and both owners were asked.
func TestOwnerOfTheBestRunnerIsAskedBeforeItIsChosen(t *testing.T) {
	forwarder, owners, caller := askedSite([]work.Runner{runnerOf("1", "z"), runnerOf("2", "z")}, true)
	owners.table.TakeShares([]demand.Share{{Runner: "1"}, {Runner: "2", Others: 4}}, time.Now())
	owners.knows["1"] = demand.Share{Others: 9, Pace: 3}
	owners.knows["2"] = demand.Share{Others: 1}
	serveOne(t, forwarder)
	assert.Equal(t, owners.near, 1)
	assert.DeepEqual(t, owners.asked, []ident.Incarnation{"1", "2"})
	assert.DeepEqual(t, caller.placed, []ident.Incarnation{"2"})
}

// TestOwnersOfOtherZonesAreAskedAtOnce has the own zone be full, so that the request would leave it: more than one is asked.
func TestOwnersOfOtherZonesAreAskedAtOnce(t *testing.T) {
	forwarder, owners, caller := askedSite([]work.Runner{runnerOf("own", "z"), runnerOf("far-1", "y"), runnerOf("far-2", "x")}, true)
	owners.table.TakeShares([]demand.Share{{Runner: "own", Others: 12}}, time.Now())
	owners.knows["far-1"] = demand.Share{Others: 9}
	owners.knows["far-2"] = demand.Share{Others: 1}
	serveOne(t, forwarder)
	assert.Assert(t, slices.Contains(owners.asked, "far-1") && slices.Contains(owners.asked, "far-2"))
	assert.DeepEqual(t, caller.placed, []ident.Incarnation{"far-2"})
}

// TestRequestStaysWhereNobodyAnswersForAnotherZone has the owner of the other zone not answer: what was told of its free places long ago is
// no reason to leave a zone in which the request is the first to wait.
func TestRequestStaysWhereNobodyAnswersForAnotherZone(t *testing.T) {
	forwarder, owners, caller := askedSite([]work.Runner{runnerOf("own", "z"), runnerOf("far", "y")}, true)
	owners.table.TakeShares([]demand.Share{{Runner: "own", Others: 4}}, time.Now())
	owners.table.TakeShares([]demand.Share{{Runner: "far", Others: 0}}, time.Now().Add(-time.Second))
	for range 20 {
		serveOne(t, forwarder)
	}
	assert.Assert(t, !slices.Contains(caller.placed, "far"), "%v", caller.placed)
}

// TestOwnersThatDoNotAnswerHoldUpNoRequestForLong has the questions end with no answer: a request waits 20 ms, little of an objective of 300.
func TestOwnersThatDoNotAnswerHoldUpNoRequestForLong(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		forwarder, owners, caller := askedSite([]work.Runner{runnerOf("1", "z")}, true)
		owners.dead = true
		began := time.Now()
		serveOne(t, forwarder)
		assert.Equal(t, time.Since(began), 20*time.Millisecond)
		assert.DeepEqual(t, caller.placed, []ident.Incarnation{"1"})
	})
}
