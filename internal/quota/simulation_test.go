package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// The stated requirements of the limits: the window over which they count, and by how much they may be exceeded in it.
const (
	simWindow  = 5 * time.Second
	simOverage = 0.1
	simSlack   = 20
	// simSettleTime is how long after a change a lower limit becomes binding: the time in which a configuration takes effect, plus
	// a window.
	simSettleTime = 3*time.Second + simWindow
	simTenant     = ident.Tenant("tenant")
)

// simulation holds the simulated time, the faults and one tenant's requests.
type simulation struct {
	random *rand.Rand
	now    time.Time
	end    time.Time
	queue  events
	order  int

	nodes, owners int
	// limits holds the limit in force at each node; configured is the newest.
	limits     []Limit
	configured Limit
	// replaced holds the limits that were configured before, and until when each may still be used up.
	replaced []replacedLimit
	// partitioned nodes reach no owner; down nodes receive no requests; unresponsive owners answer no calls; unlisted owners are
	// not called.
	partitioned, down      []bool
	unresponsive, unlisted []bool
	// loss is the fraction of messages that are lost.
	loss float64

	admitted []time.Time
	// ideal is the level of a token bucket that sees all requests at once; within is how many of the requests it would admit.
	ideal   float64
	idealAt time.Time
	within  int
	broken  string
	// faultLog lists the faults so far.
	faultLog string
}

type replacedLimit struct {
	limit Limit
	until time.Time
}

type simEvent struct {
	at    time.Time
	order int
	run   func()
}

type events []simEvent

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].order < e[j].order)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (sim *simulation) after(delay time.Duration, run func()) {
	sim.order++
	heap.Push(&sim.queue, simEvent{at: sim.now.Add(delay), order: sim.order, run: run})
}

func (sim *simulation) run() {
	for len(sim.queue) > 0 && sim.broken == "" {
		next := heap.Pop(&sim.queue).(simEvent)
		if next.at.After(sim.end) {
			return
		}
		sim.now = next.at
		next.run()
	}
}

// call delivers a message to an owner and its answer back; answered is false if either is lost.
func (sim *simulation) call(node, owner int, serve func(), reply func(answered bool)) {
	const timeout = 100 * time.Millisecond
	hop := func() time.Duration { return time.Duration(200+sim.random.IntN(3000)) * time.Microsecond }
	lost := func() bool {
		return sim.partitioned[node] || sim.unresponsive[owner] || sim.random.Float64() < sim.loss
	}
	fails := func(spent time.Duration) { sim.after(timeout-spent, func() { reply(false) }) }
	there := hop()
	sim.after(there, func() {
		if lost() {
			fails(there)
			return
		}
		serve()
		away := hop()
		sim.after(away, func() {
			if lost() {
				fails(there + away)
				return
			}
			reply(true)
		})
	})
}

// owner returns the worker that nodes take for the tenant's owner: the first one listed.
func (sim *simulation) owner() int {
	for owner := range sim.owners {
		if !sim.unlisted[owner] {
			return owner
		}
	}
	return -1
}

// admit records an admitted request, and checks the window that ends with it.
func (sim *simulation) admit() {
	sim.admitted = append(sim.admitted, sim.now)
	limit := sim.configured
	for _, before := range sim.replaced {
		if sim.now.Before(before.until) && before.limit.Rate > limit.Rate {
			limit = before.limit
		}
	}
	count := 0
	for index := len(sim.admitted) - 1; index >= 0 && sim.now.Sub(sim.admitted[index]) <= simWindow; index-- {
		count++
	}
	bound := (limit.Rate*simWindow.Seconds()+limit.Burst)*(1+simOverage) + simSlack
	if float64(count) > bound {
		sim.broken = fmt.Sprintf(
			"%.1f s before the end: %d requests in a window, at most %.0f allowed (limit %+v); faults, in seconds before the end:%s",
			sim.end.Sub(sim.now).Seconds(), count, bound, limit, sim.faultLog,
		)
	}
}

// arrive simulates the arrival of a request at a node.
func (sim *simulation) arrive(limiter strategy, node int) {
	if sim.down[node] {
		return
	}
	sim.ideal = min(sim.configured.Burst, sim.ideal+sim.configured.Rate*sim.now.Sub(sim.idealAt).Seconds())
	sim.idealAt = sim.now
	if sim.ideal >= 1 {
		sim.ideal--
		sim.within++
	}
	limiter.request(node, func(admitted bool) {
		if admitted {
			sim.admit()
		}
	})
}

// served returns the number of admitted requests, but no more than the ideal bucket would admit.
func (sim *simulation) served() int { return min(len(sim.admitted), sim.within) }

// scenario holds the randomly chosen parameters of a simulated run.
type scenario struct {
	nodes, owners int
	limit         Limit
	// The request rate is demand times the limit's rate, spread over the first spread nodes, either in peaks or evenly.
	demand float64
	spread int
	peaks  bool
	faults bool
}

func drawScenario(random *rand.Rand, faults bool) scenario {
	sizes := []int{1, 9, 61, 330}
	p := scenario{
		nodes: sizes[random.IntN(len(sizes))], owners: 1 + random.IntN(4), faults: faults,
		limit:  Limit{Rate: float64(2 + random.IntN(150)), Burst: float64(random.IntN(300))},
		demand: []float64{0.3, 0.6, 0.9, 1.5, 3, 7.5}[random.IntN(6)], peaks: random.IntN(2) == 0,
	}
	p.spread = 1 + random.IntN(p.nodes)
	return p
}

// simulate runs a scenario with a strategy.
func simulate(p scenario, seed uint64, newStrategy func(*simulation) strategy) *simulation {
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	sim := &simulation{
		random: random, now: start, end: start.Add(30 * time.Second), nodes: p.nodes, owners: p.owners, configured: p.limit,
		limits: make([]Limit, p.nodes), partitioned: make([]bool, p.nodes), down: make([]bool, p.nodes),
		unresponsive: make([]bool, p.owners), unlisted: make([]bool, p.owners), ideal: p.limit.Burst, idealAt: start,
	}
	for node := range sim.limits {
		sim.limits[node] = p.limit
	}
	limiter := newStrategy(sim)
	if p.faults {
		sim.loss = 0.02
		for range 1 + random.IntN(5) {
			sim.after(time.Duration(random.IntN(24000))*time.Millisecond, func() { sim.injectFault(limiter) })
		}
	}
	var next func()
	next = func() {
		sim.arrive(limiter, random.IntN(p.spread))
		rate := p.limit.Rate * p.demand
		if p.peaks && sim.now.Sub(start)%(5800*time.Millisecond) < 3400*time.Millisecond {
			rate *= 0.38
		} else if p.peaks {
			rate *= 1.87
		}
		sim.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	sim.after(0, next)
	sim.run()
	return sim
}

// faultNames holds the names of the faults of injectFault.
var faultNames = []string{"cut", "cut", "nodes killed", "owner lost", "all killed", "limit lowered", "calls lost"}

// injectFault injects one random fault.
func (sim *simulation) injectFault(limiter strategy) {
	duration := time.Duration(500+sim.random.IntN(8000)) * time.Millisecond
	share := sim.random.Float64() * 0.6
	kind := sim.random.IntN(7)
	sim.faultLog += fmt.Sprintf(" %.1f s: %s (%.1f s, %.2f)", sim.end.Sub(sim.now).Seconds(), faultNames[kind], duration.Seconds(), share)
	switch kind {
	case 0, 1: // nodes are partitioned from all owners
		for node := range sim.partitioned {
			if sim.random.Float64() < share {
				sim.partitioned[node] = true
				sim.after(duration, func() { sim.partitioned[node] = false })
			}
		}
	case 2: // nodes are killed and start again
		for node := range sim.down {
			if sim.random.Float64() < share {
				sim.kill(limiter, node, time.Second)
			}
		}
	case 3: // the first owner is killed; it is unlisted after its lease and listed again when it is back
		sim.loseOwner(limiter, 0, duration)
	case 4: // all nodes and owners are killed at once
		for node := range sim.down {
			sim.kill(limiter, node, 1500*time.Millisecond)
		}
		for owner := range sim.unresponsive {
			sim.loseOwner(limiter, owner, 1500*time.Millisecond)
		}
	case 5: // the limit falls far below the demand, and nodes receive it one after the other
		sim.replaced = append(sim.replaced, replacedLimit{limit: sim.configured, until: sim.now.Add(simSettleTime)})
		sim.configured = Limit{Rate: max(sim.configured.Rate/8, 1), Burst: sim.configured.Burst / 8}
		limit := sim.configured
		for node := range sim.limits {
			sim.after(time.Duration(sim.random.IntN(1500))*time.Millisecond, func() {
				if limit.Rate < sim.limits[node].Rate {
					sim.limits[node] = limit
				}
			})
		}
	case 6: // messages are lost
		before := sim.loss
		sim.loss = 0.5
		sim.after(duration, func() { sim.loss = before })
	}
}

func (sim *simulation) kill(limiter strategy, node int, down time.Duration) {
	sim.down[node] = true
	sim.after(down, func() {
		sim.down[node] = false
		limiter.restartNode(node)
	})
}

func (sim *simulation) loseOwner(limiter strategy, owner int, away time.Duration) {
	const lease = 2 * time.Second
	sim.unresponsive[owner] = true
	sim.after(lease, func() { sim.unlisted[owner] = sim.unresponsive[owner] })
	sim.after(away, func() {
		sim.unresponsive[owner], sim.unlisted[owner] = false, false
		limiter.restartOwner(owner)
	})
}

// simulatedRuns returns the range of seeds. MALLOWLATCH_QUOTA_PLAYS sets another number of runs.
func simulatedRuns(t *testing.T, usual int) (from, count uint64) {
	from, count = 1, uint64(usual)
	if text := os.Getenv("MALLOWLATCH_QUOTA_PLAYS"); text != "" {
		drawn, err := strconv.ParseUint(text, 10, 64)
		assert.NilError(t, err)
		count = drawn
	}
	return from, count
}

// TestLimitHoldsUnderFaults draws random fleets, demands and faults: no window may ever exceed its bound.
func TestLimitHoldsUnderFaults(t *testing.T) {
	from, count := simulatedRuns(t, 15)
	for seed := from; seed < from+count; seed++ {
		p := drawScenario(rand.New(rand.NewPCG(seed, 2)), true)
		sim := simulate(p, seed, creditsStrategy)
		assert.Assert(t, sim.broken == "", "seed %d, %+v: %s", seed, p, sim.broken)
	}
}

// TestWhatIsWithinTheLimitIsServed draws random fleets without faults, and with the owner lost once.
func TestWhatIsWithinTheLimitIsServed(t *testing.T) {
	from, count := simulatedRuns(t, 6)
	for _, c := range []struct {
		name  string
		lost  bool
		least float64
	}{{"calm", false, 0.98}, {"owner lost", true, 0.95}} {
		within, served := 0, 0
		for seed := from; seed < from+count; seed++ {
			p := drawScenario(rand.New(rand.NewPCG(seed, 2)), false)
			p.owners = max(p.owners, 2)
			sim := simulate(p, seed, func(sim *simulation) strategy {
				limiter := newCredits(sim)
				if c.lost {
					sim.after(10*time.Second, func() { sim.loseOwner(limiter, 0, 8*time.Second) })
				}
				return limiter
			})
			assert.Assert(t, sim.broken == "", "seed %d, %+v: %s", seed, p, sim.broken)
			within, served = within+sim.within, served+sim.served()
		}
		share := float64(served) / float64(within)
		t.Logf("%s: %.4f of %d requests within the limit", c.name, share, within)
		assert.Assert(t, share >= c.least, "%s: only %.4f of the requests within the limit were served", c.name, share)
	}
}

// TestCompareStrategies logs the results of both strategies on the same scenarios, and checks that the one in use is the better
// one.
func TestCompareStrategies(t *testing.T) {
	from, count := simulatedRuns(t, 4)
	for _, faults := range []bool{false, true} {
		share := map[string]float64{}
		for name, newStrategy := range map[string]func(*simulation) strategy{"credits": creditsStrategy, "shares": sharesStrategy} {
			broken, within, served := 0, 0, 0
			least := 1.0
			for seed := from; seed < from+count; seed++ {
				sim := simulate(drawScenario(rand.New(rand.NewPCG(seed, 2)), faults), seed, newStrategy)
				if sim.broken != "" {
					broken++
					continue
				}
				within, served = within+sim.within, served+sim.served()
				if sim.within > 20 {
					least = min(least, float64(sim.served())/float64(sim.within))
				}
			}
			t.Logf(
				"faults %v, %s: %d of %d runs exceeded the bound; %.4f of the requests within the limit served, least %.4f in a run",
				faults, name, broken, count, float64(served)/float64(max(within, 1)), least,
			)
			share[name] = float64(served) / float64(max(within, 1))
		}
		assert.Assert(t, share["credits"] > share["shares"])
	}
}
