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

// What the users state of the limits: the window in which they count, and by how much they may be passed in it.
const (
	simWindow  = 5 * time.Second
	simOverage = 0.1
	simSlack   = 20
	// simAfter is how long after a change a lower limit binds: the time in which configurations are in force, and a window.
	simAfter  = 3*time.Second + simWindow
	simTenant = ident.Tenant("tenant")
)

// world is simulated time, the faults, and one tenant's requests.
type world struct {
	random *rand.Rand
	now    time.Time
	end    time.Time
	queue  events
	order  int

	nodes, owners int
	// limits are those in force at each node, configured the newest.
	limits     []Limit
	configured Limit
	// replaced are the limits that were configured before, and until when each may still be used up.
	replaced []replacedLimit
	// cut nodes reach no owner, down ones get no requests; gone owners answer nobody, and unlisted ones are not asked.
	cut, down      []bool
	gone, unlisted []bool
	// loss is the part of the calls that is lost, way the longest time of one.
	loss float64

	admitted []time.Time
	// ideal is a bucket that sees all at once; within is how many of the requests it would let through.
	ideal   float64
	idealAt time.Time
	within  int
	broken  string
	// struck tells the faults so far.
	struck string
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

func (w *world) after(delay time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, simEvent{at: w.now.Add(delay), order: w.order, run: run})
}

func (w *world) run() {
	for len(w.queue) > 0 && w.broken == "" {
		next := heap.Pop(&w.queue).(simEvent)
		if next.at.After(w.end) {
			return
		}
		w.now = next.at
		next.run()
	}
}

// call passes a message to an owner and its answer back; answer is false where one of the two is lost.
func (w *world) call(node, owner int, serve func(), back func(answered bool)) {
	const timeout = 100 * time.Millisecond
	hop := func() time.Duration { return time.Duration(200+w.random.IntN(3000)) * time.Microsecond }
	lost := func() bool { return w.cut[node] || w.gone[owner] || w.random.Float64() < w.loss }
	fails := func(spent time.Duration) { w.after(timeout-spent, func() { back(false) }) }
	there := hop()
	w.after(there, func() {
		if lost() {
			fails(there)
			return
		}
		serve()
		away := hop()
		w.after(away, func() {
			if lost() {
				fails(there + away)
				return
			}
			back(true)
		})
	})
}

// owner is the worker that a node takes for the tenant's: the first that is listed.
func (w *world) owner() int {
	for owner := range w.owners {
		if !w.unlisted[owner] {
			return owner
		}
	}
	return -1
}

// admit notes a request that was let through, and checks each window that it ends.
func (w *world) admit() {
	w.admitted = append(w.admitted, w.now)
	limit := w.configured
	for _, before := range w.replaced {
		if w.now.Before(before.until) && before.limit.Rate > limit.Rate {
			limit = before.limit
		}
	}
	count := 0
	for index := len(w.admitted) - 1; index >= 0 && w.now.Sub(w.admitted[index]) <= simWindow; index-- {
		count++
	}
	bound := (limit.Rate*simWindow.Seconds()+limit.Burst)*(1+simOverage) + simSlack
	if float64(count) > bound {
		w.broken = fmt.Sprintf("%.1f s before the end %d requests in a window, at most %.0f may (limit %+v); faults before the end:%s",
			w.end.Sub(w.now).Seconds(), count, bound, limit, w.struck)
	}
}

// arrive has a request come to a node.
func (w *world) arrive(by way, node int) {
	if w.down[node] {
		return
	}
	w.ideal = min(w.configured.Burst, w.ideal+w.configured.Rate*w.now.Sub(w.idealAt).Seconds())
	w.idealAt = w.now
	if w.ideal >= 1 {
		w.ideal--
		w.within++
	}
	by.request(node, func(admitted bool) {
		if admitted {
			w.admit()
		}
	})
}

// served is how many requests were let through, no more than the ideal bucket would have.
func (w *world) served() int { return min(len(w.admitted), w.within) }

// plan is what is drawn for a play.
type plan struct {
	nodes, owners int
	limit         Limit
	// demand times the rate is what comes, spread over that many nodes, in peaks or evenly.
	demand float64
	spread int
	peaks  bool
	faults bool
}

func drawPlan(random *rand.Rand, faults bool) plan {
	sizes := []int{1, 9, 61, 330}
	p := plan{
		nodes: sizes[random.IntN(len(sizes))], owners: 1 + random.IntN(4), faults: faults,
		limit:  Limit{Rate: float64(2 + random.IntN(150)), Burst: float64(random.IntN(300))},
		demand: []float64{0.3, 0.6, 0.9, 1.5, 3, 7.5}[random.IntN(6)], peaks: random.IntN(2) == 0,
	}
	p.spread = 1 + random.IntN(p.nodes)
	return p
}

// play runs a plan one way.
func play(p plan, seed uint64, made func(*world) way) *world {
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	w := &world{
		random: random, now: start, end: start.Add(30 * time.Second), nodes: p.nodes, owners: p.owners, configured: p.limit,
		limits: make([]Limit, p.nodes), cut: make([]bool, p.nodes), down: make([]bool, p.nodes),
		gone: make([]bool, p.owners), unlisted: make([]bool, p.owners), ideal: p.limit.Burst, idealAt: start,
	}
	for node := range w.limits {
		w.limits[node] = p.limit
	}
	by := made(w)
	if p.faults {
		w.loss = 0.02
		for range 1 + random.IntN(5) {
			w.after(time.Duration(random.IntN(24000))*time.Millisecond, func() { w.strike(by) })
		}
	}
	var next func()
	next = func() {
		w.arrive(by, random.IntN(p.spread))
		rate := p.limit.Rate * p.demand
		if p.peaks && w.now.Sub(start)%(5800*time.Millisecond) < 3400*time.Millisecond {
			rate *= 0.38
		} else if p.peaks {
			rate *= 1.87
		}
		w.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	w.after(0, next)
	w.run()
	return w
}

// strikes names the faults of strike.
var strikes = []string{"cut", "cut", "nodes killed", "owner lost", "all killed", "limit lowered", "calls lost"}

// strike does one thing that may happen at any time.
func (w *world) strike(by way) {
	lasts := time.Duration(500+w.random.IntN(8000)) * time.Millisecond
	share := w.random.Float64() * 0.6
	kind := w.random.IntN(7)
	w.struck += fmt.Sprintf(" %.1f s: %s (%.1f s, %.2f)", w.end.Sub(w.now).Seconds(), strikes[kind], lasts.Seconds(), share)
	switch kind {
	case 0, 1: // nodes are cut off from all owners
		for node := range w.cut {
			if w.random.Float64() < share {
				w.cut[node] = true
				w.after(lasts, func() { w.cut[node] = false })
			}
		}
	case 2: // nodes are killed and start again
		for node := range w.down {
			if w.random.Float64() < share {
				w.kill(by, node, time.Second)
			}
		}
	case 3: // the first owner is killed; it is not listed after a while, and again when it is back
		w.loseOwner(by, 0, lasts)
	case 4: // all is killed at once
		for node := range w.down {
			w.kill(by, node, 1500*time.Millisecond)
		}
		for owner := range w.gone {
			w.loseOwner(by, owner, 1500*time.Millisecond)
		}
	case 5: // the limit falls far below what is sent, and nodes hear of it one after the other
		w.replaced = append(w.replaced, replacedLimit{limit: w.configured, until: w.now.Add(simAfter)})
		w.configured = Limit{Rate: max(w.configured.Rate/8, 1), Burst: w.configured.Burst / 8}
		limit := w.configured
		for node := range w.limits {
			w.after(time.Duration(w.random.IntN(1500))*time.Millisecond, func() {
				if limit.Rate < w.limits[node].Rate {
					w.limits[node] = limit
				}
			})
		}
	case 6: // calls are lost
		before := w.loss
		w.loss = 0.5
		w.after(lasts, func() { w.loss = before })
	}
}

func (w *world) kill(by way, node int, down time.Duration) {
	w.down[node] = true
	w.after(down, func() {
		w.down[node] = false
		by.restartNode(node)
	})
}

func (w *world) loseOwner(by way, owner int, away time.Duration) {
	const lease = 2 * time.Second
	w.gone[owner] = true
	w.after(lease, func() { w.unlisted[owner] = w.gone[owner] })
	w.after(away, func() {
		w.gone[owner], w.unlisted[owner] = false, false
		by.restartOwner(owner)
	})
}

// plays is the number of drawn plays: more by hand.
func plays(t *testing.T, usual int) (from, count uint64) {
	from, count = 1, uint64(usual)
	if text := os.Getenv("MALLOWLATCH_QUOTA_PLAYS"); text != "" {
		drawn, err := strconv.ParseUint(text, 10, 64)
		assert.NilError(t, err)
		count = drawn
	}
	return from, count
}

// TestLimitHoldsUnderFaults draws fleets, demands and faults: no window may ever pass its bound.
func TestLimitHoldsUnderFaults(t *testing.T) {
	from, count := plays(t, 15)
	for seed := from; seed < from+count; seed++ {
		p := drawPlan(rand.New(rand.NewPCG(seed, 2)), true)
		w := play(p, seed, creditsWay)
		assert.Assert(t, w.broken == "", "seed %d, %+v: %s", seed, p, w.broken)
	}
}

// TestWhatIsWithinTheLimitIsServed draws fleets without faults, and with the owner lost once.
func TestWhatIsWithinTheLimitIsServed(t *testing.T) {
	from, count := plays(t, 6)
	for _, c := range []struct {
		name  string
		lost  bool
		least float64
	}{{"calm", false, 0.98}, {"owner lost", true, 0.95}} {
		within, served := 0, 0
		for seed := from; seed < from+count; seed++ {
			p := drawPlan(rand.New(rand.NewPCG(seed, 2)), false)
			p.owners = max(p.owners, 2)
			w := play(p, seed, func(w *world) way {
				by := newCredits(w)
				if c.lost {
					w.after(10*time.Second, func() { w.loseOwner(by, 0, 8*time.Second) })
				}
				return by
			})
			assert.Assert(t, w.broken == "", "seed %d, %+v: %s", seed, p, w.broken)
			within, served = within+w.within, served+w.served()
		}
		share := float64(served) / float64(within)
		t.Logf("%s: %.4f of %d requests within the limit", c.name, share, within)
		assert.Assert(t, share >= c.least, "%s: %.4f of what is within the limit was served", c.name, share)
	}
}

// TestCompareWays prints what both ways do on the same plays, and checks that the one that stands is the better one.
func TestCompareWays(t *testing.T) {
	from, count := plays(t, 4)
	for _, faults := range []bool{false, true} {
		share := map[string]float64{}
		for name, made := range map[string]func(*world) way{"credits": creditsWay, "shares": sharesWay} {
			broken, within, served := 0, 0, 0
			least := 1.0
			for seed := from; seed < from+count; seed++ {
				w := play(drawPlan(rand.New(rand.NewPCG(seed, 2)), faults), seed, made)
				if w.broken != "" {
					broken++
					continue
				}
				within, served = within+w.within, served+w.served()
				if w.within > 20 {
					least = min(least, float64(w.served())/float64(w.within))
				}
			}
			t.Logf("faults %v, %s: %d of %d plays passed the bound; %.4f of what was within the limit served, least %.4f", faults, name, broken, count, float64(served)/float64(max(within, 1)), least)
			share[name] = float64(served) / float64(max(within, 1))
		}
		assert.Assert(t, share["credits"] > share["shares"])
	}
}
