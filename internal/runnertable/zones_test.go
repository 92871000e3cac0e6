package runnertable_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

// served counts the requests that arrived in a period, by the zone they arrived in, and those sent to a zone from
// elsewhere.
type served struct{ arrivals, onTime, received map[ident.Zone]int }

func newServed() *served {
	return &served{arrivals: map[ident.Zone]int{}, onTime: map[ident.Zone]int{}, received: map[ident.Zone]int{}}
}

func (s *served) count(z *zoneSim, from, until time.Duration) {
	for _, request := range z.requests {
		if at := request.arrived.Sub(z.startedAt); at < from || at >= until {
			continue
		}
		s.arrivals[request.from]++
		if !request.begun.IsZero() && request.begun.Sub(request.arrived) <= simMaxWait {
			s.onTime[request.from]++
		}
		if request.at != request.from && request.at != "" {
			s.received[request.at]++
		}
	}
}

func (s *served) share(zone ident.Zone) float64 {
	return float64(s.onTime[zone]) / float64(s.arrivals[zone])
}

func (s *served) mean() float64 {
	arrivals, onTime := 0, 0
	for zone := range s.arrivals {
		arrivals += s.arrivals[zone]
		onTime += s.onTime[zone]
	}
	return float64(onTime) / float64(arrivals)
}

func (s *served) String() string {
	text := fmt.Sprintf("on time %.3f;", s.mean())
	for _, zone := range []ident.Zone{"a", "b", "c"} {
		text += fmt.Sprintf(" %s %.3f of %d, %d from other zones;", zone, s.share(zone), s.arrivals[zone], s.received[zone])
	}
	return text
}

// minShareOfMean is the minimum on-time share of each zone relative to the mean: callers of all zones are to be served
// equally well.
const minShareOfMean = 0.95

func (s *served) assertEven(t *testing.T) {
	t.Helper()
	t.Log(s)
	for zone := range s.arrivals {
		assert.Assert(t, s.share(zone) >= minShareOfMean*s.mean(), "zone %s: %v", zone, s)
	}
}

// rateOf returns the number of requests per second that keep a number of slots busy.
func rateOf(slots float64) float64 { return slots / simRun.Seconds() }

// TestZoneWithMoreDemandThanPlacesIsServedAsTheOthers has demand of 2:1:1 and slots of 1:1:2, at seven eighths of the
// total capacity: more than two fifths of the requests to a have to leave, and c has the most free slots. The
// objective is that 95 in 100 requests are on time.
func TestZoneWithMoreDemandThanPlacesIsServedAsTheOthers(t *testing.T) {
	counted := newServed()
	for seed := range uint64(4) {
		z := newZoneSim(seed, zoneSetup{"a", 6, rateOf(84)}, zoneSetup{"b", 6, rateOf(42)},
			zoneSetup{"c", 12, rateOf(42)}).run(6 * time.Second)
		counted.count(z, time.Second, 5500*time.Millisecond)
	}
	counted.assertEven(t)
	assert.Assert(t, counted.mean() >= 0.95, "%v", counted)
}

// partition cuts a zone off for a period.
func (z *zoneSim) partition(zone ident.Zone, from, until time.Duration) *zoneSim {
	z.partitioned, z.partitionedFrom, z.partitionedUntil = zone, z.startedAt.Add(from), z.startedAt.Add(until)
	return z
}

// misdirected counts the requests of a zone in a period that were sent to an unreachable zone.
func (z *zoneSim) misdirected(zone ident.Zone, from, until time.Duration) int {
	count := 0
	for _, request := range z.requests {
		at := request.arrived.Sub(z.startedAt)
		if request.from == zone && at >= from && at < until && len(request.tried) > 0 {
			count++
		}
	}
	return count
}

// TestZoneThatIsCutOffServesWithItsOwn partitions a zone for 4 s at a load of nine tenths of its capacity, and three
// quarters of that of the others. After 0.7 s, when the unanswered polls have timed out, it has to be served as well
// as the others. A request that tries to connect to an unreachable zone is late; of the 5 in 100 that may be late, at
// most 2 may have this cause.
func TestZoneThatIsCutOffServesWithItsOwn(t *testing.T) {
	counted, misdirected := newServed(), 0
	const from, until = 2200 * time.Millisecond, 5500 * time.Millisecond
	for seed := range uint64(12) {
		z := newZoneSim(seed, zoneSetup{"a", 8, rateOf(58)}, zoneSetup{"b", 8, rateOf(48)}, zoneSetup{"c", 8, rateOf(48)})
		z.partition("a", 1500*time.Millisecond, until).run(6 * time.Second)
		counted.count(z, from, until)
		misdirected += z.misdirected("a", from, until)
	}
	counted.assertEven(t)
	assert.Assert(t, misdirected*100 <= 2*counted.arrivals["a"], "%d requests of a were sent to unreachable zones; %v",
		misdirected, counted)
}

// TestZoneThatIsBackIsServedAsTheOthers partitions a zone that needs a quarter more than its own capacity for 4 s. In
// the first 0.7 s afterwards its nodes poll the workers of the other zones again; from then on 95 in 100 requests have
// to be on time, and the zone has to be served as well as the others.
func TestZoneThatIsBackIsServedAsTheOthers(t *testing.T) {
	counted, first := newServed(), newServed()
	for seed := range uint64(6) {
		z := newZoneSim(seed, zoneSetup{"a", 8, rateOf(80)}, zoneSetup{"b", 8, rateOf(42)}, zoneSetup{"c", 8, rateOf(42)})
		z.partition("a", 1500*time.Millisecond, 5500*time.Millisecond).run(8 * time.Second)
		first.count(z, 5500*time.Millisecond, 6200*time.Millisecond)
		counted.count(z, 6200*time.Millisecond, 7200*time.Millisecond)
	}
	t.Log("first:", first)
	counted.assertEven(t)
	assert.Assert(t, counted.mean() >= 0.95, "%v", counted)
}

// TestRunnersOfASilentOwnerAreNotTakenForIdle has three runners whose slots are all taken, and one whose owner last
// reported it as idle, 1.2 s or 3 s ago. That runner must get no more than about its share of the requests, because it
// may have no free slot either.
func TestRunnersOfASilentOwnerAreNotTakenForIdle(t *testing.T) {
	for _, age := range []time.Duration{1200 * time.Millisecond, 3 * time.Second} {
		var listed []work.Runner
		for index := range 4 {
			listed = append(listed, work.Runner{ID: ident.Incarnation(fmt.Sprint("r", index)), Service: "s",
				Address: fmt.Sprint("r", index), Zone: "a", Slots: simSlots})
		}
		source, unreported := random(), 0
		const requests = 200
		for range requests {
			table := runnertable.New("a")
			table.Replace(listed, start, true)
			table.UpdateShares([]demand.Share{{Runner: "r0"}}, start.Add(-age))
			table.UpdateShares([]demand.Share{{Runner: "r1", Others: 8}, {Runner: "r2", Others: 8}, {Runner: "r3", Others: 8}}, start)
			flight, err := table.Pick(runnertable.PickRequest{Service: "s", PromptTokens: 450}, start, source)
			assert.NilError(t, err)
			if flight.Runner.ID == "r0" {
				unreported++
			}
		}
		assert.Assert(t, unreported <= requests/3, "%d of %d requests went to the runner without a recent report", unreported, requests)
	}
}

// TestNodesThatLeaveAtOnceSpreadByRoom has all nodes of a zone send requests to other zones from one moment on,
// because its load is one and a half times its capacity. Of the other zones, b is two thirds full and c one third:
// callers of b must not be served worse, and most requests have to go to c.
func TestNodesThatLeaveAtOnceSpreadByRoom(t *testing.T) {
	counted := newServed()
	for seed := range uint64(4) {
		z := newZoneSim(seed, zoneSetup{"a", 8, rateOf(10)}, zoneSetup{"b", 8, rateOf(43)},
			zoneSetup{"c", 8, rateOf(21)}).run(2 * time.Second)
		z.zones[0].rate = rateOf(96)
		z.run(2500 * time.Millisecond)
		counted.count(z, 2*time.Second, 4*time.Second)
	}
	counted.assertEven(t)
	assert.Assert(t, counted.share("b") >= minShareOfMean, "%v", counted)
	assert.Assert(t, counted.received["c"] > counted.received["b"], "%v", counted)
}

// TestPartitionedNodeTreatsNoZoneAsUnreachable has all workers, including those of the node's own zone, leave polls
// unanswered, while runners respond. The node's zone has no free slot: requests still go to the runners of the other
// zone.
func TestPartitionedNodeTreatsNoZoneAsUnreachable(t *testing.T) {
	for _, ownAnswers := range []bool{true, false} {
		table := tableOf(runner("near", "a"), runner("far", "b"))
		for _, worker := range []string{"1", "2"} {
			table.ZoneTimedOut("b", worker, start, start.Add(simPollTimeout))
			if !ownAnswers {
				table.ZoneTimedOut("a", worker, start, start.Add(simPollTimeout))
			}
		}
		now := start.Add(simPollTimeout)
		for range 6 {
			_, err := table.StartAt("near", runnertable.PickRequest{Service: "s"}, now)
			assert.NilError(t, err)
		}
		chosen := pick(t, table, now, runnertable.PickRequest{}).Runner.ID
		assert.Equal(t, chosen == "far", !ownAnswers, "own zone answers: %v, chosen %s", ownAnswers, chosen)
	}
}
