package runnertable_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/waitline"
	"mallowlatch.example/mallowlatch/internal/work"
)

// district is one zone of a load in simulated time.
type district struct {
	zone    ident.Zone
	runners int
	// rate is how many requests come to its nodes a second.
	rate float64
}

// zoned is a load of several zones in simulated time. Each node chooses by a table of its own, and hears from two workers of each
// zone, each of which owns half of its runners.
type zoned struct {
	random    *rand.Rand
	began     time.Time
	now       time.Time
	districts []district
	nodes     []*zonedNode
	runners   []*zonedRunner
	owned     [][]*zonedRunner
	// cut is the zone that is cut off from cutFrom until cutUntil.
	cut               ident.Zone
	cutFrom, cutUntil time.Time
	events            []zonedEvent
	requests          []*zonedRequest
}

type zonedNode struct {
	zone  ident.Zone
	table *runnertable.Table
	// asked is when each worker was asked last, pausedUntil until when it is left alone after a failure.
	asked, pausedUntil []time.Time
	line               waitline.Line
	// queued is the mean time that its requests wait at runners.
	queued  time.Duration
	waiting map[*waitline.Waiter]*zonedRequest
}

type zonedRunner struct {
	runner          work.Runner
	running, queued []*zonedRequest
}

type zonedRequest struct {
	node          *zonedNode
	from          ident.Zone
	arrived, ends time.Time
	sent          time.Time
	flight        *runnertable.Flight
	tried         map[ident.Incarnation]bool
	waiter        *waitline.Waiter
	// begun is when a runner began it; zero never.
	begun time.Time
	at    ident.Zone
}

// zonedEvent is something that happens later.
type zonedEvent struct {
	at   time.Time
	what func()
}

const (
	zonedNodes, zonedPlaces = 9, 8
	// zonedRun is how long a request runs, at random up to half as much shorter or longer.
	zonedRun = 600 * time.Millisecond
	// zonedPatience is how long a request may be without a place and still be answered within an objective of 300 ms.
	zonedPatience = 240 * time.Millisecond
	// zonedLatest is how long a place is of any use to a request.
	zonedLatest = 4 * time.Second
	// zonedNear and zonedFar are how long a question and its answer take in the zone and to another one.
	zonedNear, zonedFar = 2 * time.Millisecond, 5 * time.Millisecond
	// zonedUnanswered is when a question is given up, zonedPause how long the worker is left alone then, zonedDial when the opening
	// of a connection is given up.
	zonedUnanswered, zonedPause, zonedDial = 300 * time.Millisecond, 500 * time.Millisecond, 400 * time.Millisecond
	zonedLook, zonedProbe                  = 20 * time.Millisecond, 250 * time.Millisecond
)

func newZoned(seed uint64, districts ...district) *zoned {
	z := &zoned{random: rand.New(rand.NewPCG(seed, 1)), began: time.Unix(1000, 0), now: time.Unix(1000, 0), districts: districts}
	var listed []work.Runner
	for _, district := range districts {
		halves := [2][]*zonedRunner{}
		for index := range district.runners {
			runner := &zonedRunner{runner: work.Runner{ID: ident.Incarnation(fmt.Sprint(district.zone, "-", index)), Service: "s", Address: fmt.Sprint(district.zone, ":", index), Zone: district.zone, Slots: zonedPlaces}}
			listed = append(listed, runner.runner)
			z.runners = append(z.runners, runner)
			halves[index%2] = append(halves[index%2], runner)
		}
		z.owned = append(z.owned, halves[0], halves[1])
	}
	for _, district := range districts {
		for range zonedNodes {
			node := &zonedNode{zone: district.zone, table: runnertable.New(district.zone), waiting: map[*waitline.Waiter]*zonedRequest{}, asked: make([]time.Time, len(z.owned)), pausedUntil: make([]time.Time, len(z.owned))}
			for worker := range node.asked {
				node.asked[worker] = z.now.Add(-time.Duration(z.random.IntN(1500)) * time.Millisecond)
			}
			node.table.Replace(listed, z.now, true)
			z.nodes = append(z.nodes, node)
		}
	}
	return z
}

func (z *zoned) later(after time.Duration, what func()) {
	z.events = append(z.events, zonedEvent{at: z.now.Add(after), what: what})
}

// reaches says whether two zones reach each other now.
func (z *zoned) reaches(one, other ident.Zone) bool {
	isCut := !z.now.Before(z.cutFrom) && z.now.Before(z.cutUntil)
	return one == other || !isCut || (one != z.cut && other != z.cut)
}

// ask has a node ask the workers that it is to ask now, as demand.Teller does.
func (z *zoned) ask(node *zonedNode) {
	online := node.table.Online(z.now)
	for worker, owned := range z.owned {
		zone := owned[0].runner.Zone
		every := 500 * time.Millisecond
		if zone != node.zone {
			every = 1500 * time.Millisecond
		}
		for _, runner := range owned {
			if online[runner.runner].Online > 0 {
				every = 50 * time.Millisecond
			}
		}
		doubted := node.table.ZoneDoubted(zone)
		isDoubted := node.asked[worker].Before(doubted) || (!doubted.IsZero() && z.probes(node, worker))
		if !isDoubted && (z.now.Before(node.pausedUntil[worker]) || z.now.Sub(node.asked[worker]) < every) {
			continue
		}
		asked := z.now
		node.asked[worker] = asked
		if !z.reaches(node.zone, zone) {
			node.pausedUntil[worker] = z.now.Add(zonedUnanswered + zonedPause)
			z.later(zonedUnanswered, func() { node.table.MissedZone(zone, fmt.Sprint("worker-", worker), asked, z.now) })
			continue
		}
		shares := z.shares(node, owned)
		took := zonedNear
		if zone != node.zone {
			took = zonedFar
		}
		z.later(took, func() {
			node.table.TakeShares(shares, asked)
			node.table.HeardZone(zone, asked)
		})
	}
}

// probes says whether a worker is the one of the two of its zone that is asked whether the zone is back.
func (z *zoned) probes(node *zonedNode, worker int) bool {
	other := worker ^ 1
	return !node.asked[other].Before(node.asked[worker]) && z.now.Sub(node.asked[other]) >= zonedProbe
}

func (z *zoned) shares(node *zonedNode, owned []*zonedRunner) []demand.Share {
	var shares []demand.Share
	for _, runner := range owned {
		share := demand.Share{Runner: runner.runner.ID}
		for _, work := range [][]*zonedRequest{runner.running, runner.queued} {
			for _, request := range work {
				if request.node != node {
					share.Others++
				}
			}
		}
		shares = append(shares, share)
	}
	return shares
}

// try has a node choose a runner for a request, and says whether it found one, or nobody has a place that the request could wait for.
func (z *zoned) try(request *zonedRequest) (done bool) {
	wish := runnertable.Wish{Service: "s", PromptTokens: 450, Bytes: 1500, Exclude: request.tried, Full: map[ident.Incarnation]bool{}}
	flight, err := request.node.table.Pick(wish, z.now, z.random)
	if err != nil {
		return !errors.Is(err, runnertable.ErrFull)
	}
	request.node.line.Taken()
	request.flight, request.at, request.sent = flight, flight.Runner.Zone, z.now
	if !z.reaches(request.from, flight.Runner.Zone) {
		request.tried[flight.Runner.ID] = true
		z.later(zonedDial, func() {
			flight.Failed(runnertable.Unreachable, z.now)
			z.gaveBack(request)
			z.come(request)
		})
		return true
	}
	runner := z.at(flight.Runner.ID)
	runner.queued = append(runner.queued, request)
	z.fill(runner)
	return true
}

// come has a request look for a place, or wait for one where others do. One that gets none in time is told so.
func (z *zoned) come(request *zonedRequest) {
	if request.node.line.Len() == 0 && z.try(request) {
		return
	}
	if request.node.line.Join(request.waiter, z.now) {
		request.node.waiting[request.waiter] = request
	}
}

// gaveBack ends a request's time at a runner; the next one looks for its place.
func (z *zoned) gaveBack(request *zonedRequest) {
	request.flight.End()
	request.node.line.Freed(z.now.Sub(request.sent), z.now)
	z.look(request.node)
}

func (z *zoned) at(id ident.Incarnation) *zonedRunner {
	for _, candidate := range z.runners {
		if candidate.runner.ID == id {
			return candidate
		}
	}
	return nil
}

func (z *zoned) fill(runner *zonedRunner) {
	for len(runner.queued) > 0 && len(runner.running) < zonedPlaces {
		next := runner.queued[0]
		runner.queued = runner.queued[1:]
		next.begun = z.now
		next.node.queued += (z.now.Sub(next.sent) - next.node.queued) / 20
		next.ends = z.now.Add(time.Duration((0.5 + z.random.Float64()) * float64(zonedRun)))
		runner.running = append(runner.running, next)
		next.flight.Began(z.now)
	}
}

// step is what happens in a millisecond.
func (z *zoned) step(next []time.Time) {
	for _, runner := range z.runners {
		var left, ended []*zonedRequest
		for _, request := range runner.running {
			if request.ends.After(z.now) {
				left = append(left, request)
				continue
			}
			ended = append(ended, request)
		}
		runner.running = left
		z.fill(runner)
		for _, request := range ended {
			z.gaveBack(request)
		}
	}
	due := z.events
	z.events = nil
	for _, event := range due {
		if event.at.After(z.now) {
			z.events = append(z.events, event)
			continue
		}
		event.what()
	}
	for index, node := range z.nodes {
		if (z.now.UnixMilli()+int64(index))%10 == 0 {
			z.ask(node)
		}
		if (z.now.UnixMilli()+int64(index))%zonedLook.Milliseconds() == 0 {
			z.look(node)
		}
	}
	for index, district := range z.districts {
		for !next[index].After(z.now) {
			node := z.nodes[index*zonedNodes+z.random.IntN(zonedNodes)]
			request := &zonedRequest{node: node, from: district.zone, arrived: z.now, tried: map[ident.Incarnation]bool{}}
			request.waiter = &waitline.Waiter{OnTime: z.now.Add(zonedPatience - node.queued), Latest: z.now.Add(zonedLatest)}
			z.requests = append(z.requests, request)
			z.come(request)
			next[index] = next[index].Add(time.Duration(z.random.ExpFloat64() / district.rate * float64(time.Second)))
		}
	}
}

// look has the next request that waits at a node look for a place, and further ones as long as they find some.
func (z *zoned) look(node *zonedNode) {
	for next := node.line.Next(); next != nil; next = node.line.Next() {
		if !z.try(node.waiting[next]) {
			node.line.Again(next)
			return
		}
		node.line.Served(next, z.now)
		delete(node.waiting, next)
	}
}

// play plays a load for a time.
func (z *zoned) play(lasts time.Duration) *zoned {
	next := make([]time.Time, len(z.districts))
	for index := range next {
		next[index] = z.now
	}
	for end := z.now.Add(lasts); z.now.Before(end); z.now = z.now.Add(time.Millisecond) {
		z.step(next)
	}
	return z
}

// served counts, by the zone that requests came to between two moments of a load.
type served struct{ came, inTime, left map[ident.Zone]int }

func newServed() *served {
	return &served{came: map[ident.Zone]int{}, inTime: map[ident.Zone]int{}, left: map[ident.Zone]int{}}
}

func (s *served) count(z *zoned, from, until time.Duration) {
	for _, request := range z.requests {
		if at := request.arrived.Sub(z.began); at < from || at >= until {
			continue
		}
		s.came[request.from]++
		if !request.begun.IsZero() && request.begun.Sub(request.arrived) <= zonedPatience {
			s.inTime[request.from]++
		}
		if request.at != request.from && request.at != "" {
			s.left[request.at]++
		}
	}
}

func (s *served) share(zone ident.Zone) float64 {
	return float64(s.inTime[zone]) / float64(s.came[zone])
}

func (s *served) mean() float64 {
	came, inTime := 0, 0
	for zone := range s.came {
		came += s.came[zone]
		inTime += s.inTime[zone]
	}
	return float64(inTime) / float64(came)
}

func (s *served) String() string {
	text := fmt.Sprintf("in time %.3f;", s.mean())
	for _, zone := range []ident.Zone{"a", "b", "c"} {
		text += fmt.Sprintf(" %s %.3f of %d, %d from elsewhere;", zone, s.share(zone), s.came[zone], s.left[zone])
	}
	return text
}

// worstOfMean is what the worst-served zone has at least of the mean: callers of one zone are owed what those of the others are.
const worstOfMean = 0.95

func (s *served) assertEven(t *testing.T) {
	t.Helper()
	t.Log(s)
	for zone := range s.came {
		assert.Assert(t, s.share(zone) >= worstOfMean*s.mean(), "zone %s: %v", zone, s)
	}
}

// rateOf is the requests a second that take some places all the time.
func rateOf(places float64) float64 { return places / zonedRun.Seconds() }

// TestZoneWithMoreDemandThanPlacesIsServedAsTheOthers has demand of 2:1:1 and places of 1:1:2, at seven eighths of all places: over two
// fifths of what comes to a must leave, and c has most room. The aim is that 95 in 100 are in time.
func TestZoneWithMoreDemandThanPlacesIsServedAsTheOthers(t *testing.T) {
	counted := newServed()
	for seed := range uint64(4) {
		z := newZoned(seed, district{"a", 6, rateOf(84)}, district{"b", 6, rateOf(42)}, district{"c", 12, rateOf(42)}).play(6 * time.Second)
		counted.count(z, time.Second, 5500*time.Millisecond)
	}
	counted.assertEven(t)
	assert.Assert(t, counted.mean() >= 0.95, "%v", counted)
}

// cutOff has a zone cut off between two moments of a load.
func (z *zoned) cutOff(zone ident.Zone, from, until time.Duration) *zoned {
	z.cut, z.cutFrom, z.cutUntil = zone, z.began.Add(from), z.began.Add(until)
	return z
}

// inVain counts the requests of a zone between two moments of a load that went to one that could not be reached.
func (z *zoned) inVain(zone ident.Zone, from, until time.Duration) int {
	count := 0
	for _, request := range z.requests {
		at := request.arrived.Sub(z.began)
		if request.from == zone && at >= from && at < until && len(request.tried) > 0 {
			count++
		}
	}
	return count
}

// TestZoneThatIsCutOffServesWithItsOwn cuts a zone off for 4 s in a peak of nine tenths of its places, and three quarters of the others'. From
// .7 s on, when questions that nobody answers were given up, it is served as the others are. A request that opens a connection in vain is
// late for it; of the 5 in 100 that may be late no more than 2 are.
func TestZoneThatIsCutOffServesWithItsOwn(t *testing.T) {
	counted, inVain := newServed(), 0
	const from, until = 2200 * time.Millisecond, 5500 * time.Millisecond
	for seed := range uint64(12) {
		z := newZoned(seed, district{"a", 8, rateOf(58)}, district{"b", 8, rateOf(48)}, district{"c", 8, rateOf(48)})
		z.cutOff("a", 1500*time.Millisecond, until).play(6 * time.Second)
		counted.count(z, from, until)
		inVain += z.inVain("a", from, until)
	}
	counted.assertEven(t)
	assert.Assert(t, inVain*100 <= 2*counted.came["a"], "%d requests of a went to zones that it could not reach; %v", inVain, counted)
}

// TestZoneThatIsBackIsServedAsTheOthers has a zone that needs a quarter more than its own places be cut off for 4 s. For .7 s its nodes ask the
// workers of the other zones again; from then on 95 in 100 are in time, and all the while it is served as the others are.
func TestZoneThatIsBackIsServedAsTheOthers(t *testing.T) {
	counted, first := newServed(), newServed()
	for seed := range uint64(6) {
		z := newZoned(seed, district{"a", 8, rateOf(80)}, district{"b", 8, rateOf(42)}, district{"c", 8, rateOf(42)})
		z.cutOff("a", 1500*time.Millisecond, 5500*time.Millisecond).play(8 * time.Second)
		first.count(z, 5500*time.Millisecond, 6200*time.Millisecond)
		counted.count(z, 6200*time.Millisecond, 7200*time.Millisecond)
	}
	t.Log("first:", first)
	counted.assertEven(t)
	assert.Assert(t, counted.mean() >= 0.95, "%v", counted)
}

// TestRunnersOfASilentOwnerAreNotTakenForIdle has three runners whose places are all taken, and one of which its owner said the last time, 1.2 s
// ago, that it is idle, or of which nothing was said lately. Callers are owed a free place: no more than its part of what comes may go there.
func TestRunnersOfASilentOwnerAreNotTakenForIdle(t *testing.T) {
	for _, age := range []time.Duration{1200 * time.Millisecond, 3 * time.Second} {
		var listed []work.Runner
		for index := range 4 {
			listed = append(listed, work.Runner{ID: ident.Incarnation(fmt.Sprint("r", index)), Service: "s", Address: fmt.Sprint("r", index), Zone: "a", Slots: zonedPlaces})
		}
		chance, silent := random(), 0
		const requests = 200
		for range requests {
			table := runnertable.New("a")
			table.Replace(listed, start, true)
			table.TakeShares([]demand.Share{{Runner: "r0"}}, start.Add(-age))
			table.TakeShares([]demand.Share{{Runner: "r1", Others: 8}, {Runner: "r2", Others: 8}, {Runner: "r3", Others: 8}}, start)
			flight, err := table.Pick(runnertable.Wish{Service: "s", PromptTokens: 450}, start, chance)
			assert.NilError(t, err)
			if flight.Runner.ID == "r0" {
				silent++
			}
		}
		assert.Assert(t, silent <= requests/3, "%d of %d requests went to the runner of which nothing is known", silent, requests)
	}
}

// TestNodesThatLeaveAtOnceSpreadByRoom has all nodes of a zone leave it from one moment on, for half as many requests more than it has places. Of
// the other zones b is two thirds full and c is a third: callers of b are served no worse for it, and most goes to c.
func TestNodesThatLeaveAtOnceSpreadByRoom(t *testing.T) {
	counted := newServed()
	for seed := range uint64(4) {
		z := newZoned(seed, district{"a", 8, rateOf(10)}, district{"b", 8, rateOf(43)}, district{"c", 8, rateOf(21)}).play(2 * time.Second)
		z.districts[0].rate = rateOf(96)
		z.play(2500 * time.Millisecond)
		counted.count(z, 2*time.Second, 4*time.Second)
	}
	counted.assertEven(t)
	assert.Assert(t, counted.share("b") >= worstOfMean, "%v", counted)
	assert.Assert(t, counted.left["c"] > counted.left["b"], "%v", counted)
}

// TestNodeThatHearsNoWorkerHoldsNoZoneForCut has all workers leave a node's questions without an answer, also those of its own zone, while runners
// answer it. Its zone has no free place: requests go on to the runners of the other one.
func TestNodeThatHearsNoWorkerHoldsNoZoneForCut(t *testing.T) {
	for _, ownAnswers := range []bool{true, false} {
		table := tableOf(runner("near", "a"), runner("far", "b"))
		for _, worker := range []string{"1", "2"} {
			table.MissedZone("b", worker, start, start.Add(zonedUnanswered))
			if !ownAnswers {
				table.MissedZone("a", worker, start, start.Add(zonedUnanswered))
			}
		}
		now := start.Add(zonedUnanswered)
		for range 6 {
			_, err := table.StartAt("near", runnertable.Wish{Service: "s"}, now)
			assert.NilError(t, err)
		}
		chosen := pick(t, table, now, runnertable.Wish{}).Runner.ID
		assert.Equal(t, chosen == "far", !ownAnswers, "own zone answers: %v, chosen %s", ownAnswers, chosen)
	}
}
