package quota

import (
	"fmt"
	"strconv"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// way is one way to keep a limit over many nodes.
type way interface {
	// request has a node decide on a request and tells what became of it, now or later.
	request(node int, decided func(admitted bool))
	// restart has a node or an owner lose its memory; reach cuts a node or an owner off, or joins it again.
	restartNode(node int)
	restartOwner(owner int)
}

// credits is the way of this package: meters at the nodes, ledgers at the owners.
type credits struct {
	w       *world
	meters  []*Meter
	ledgers []*Ledger
	starts  int64
	// waiting are the requests of each node that wait for an answer.
	waiting [][]*waiter
}

type waiter struct {
	until   time.Time
	decided func(bool)
}

func newCredits(w *world) *credits {
	c := &credits{w: w, waiting: make([][]*waiter, w.nodes)}
	for node := range w.nodes {
		c.meters = append(c.meters, nil)
		c.restartNode(node)
		w.after(time.Duration(w.random.IntN(100))*time.Millisecond, func() { c.tellOn(node) })
	}
	for range w.owners {
		c.ledgers = append(c.ledgers, NewLedger(simWindow, w.now.Add(-time.Minute)))
	}
	return c
}

func (c *credits) restartNode(node int) {
	c.starts++
	began := c.w.now
	if c.starts <= int64(c.w.nodes) {
		began = began.Add(-time.Minute)
	}
	c.meters[node] = NewMeter(ident.Node(strconv.Itoa(node)), c.starts, simWindow, began)
	c.waiting[node] = nil
}

func (c *credits) restartOwner(owner int) { c.ledgers[owner] = NewLedger(simWindow, c.w.now) }

func (c *credits) tellOn(node int) {
	c.tell(node)
	c.w.after(100*time.Millisecond, func() { c.tellOn(node) })
}

// tell has a node tell what is due.
func (c *credits) tell(node int) {
	owner := c.w.owner()
	if owner < 0 || c.w.down[node] {
		return
	}
	meter, sent := c.meters[node], c.w.now
	for _, spending := range meter.Due(func(ident.Tenant) string { return fmt.Sprint("owner-", owner) }, c.w.now) {
		var answer *Answer
		c.w.call(node, owner, func() {
			answer = c.ledgers[owner].Settle(spending, func(ident.Tenant) (Limit, bool) { return c.w.configured, true }, c.w.now)
		}, func(answered bool) {
			if answered {
				meter.Settle(spending, answer, sent)
			} else {
				meter.Failed(spending)
			}
			if meter == c.meters[node] {
				c.decide(node, answered)
			}
		})
	}
}

func (c *credits) request(node int, decided func(bool)) {
	meter, limit := c.meters[node], c.w.limits[node]
	switch verdict := meter.Take(simTenant, limit, c.w.now); verdict.Decision {
	case Admit:
		decided(true)
	case Refuse:
		decided(false)
	case Ask:
		meter.Wait(simTenant, limit)
		c.waiting[node] = append(c.waiting[node], &waiter{until: c.w.now.Add(askFor), decided: decided})
		if c.w.owner() < 0 {
			c.decide(node, false)
		}
		c.tell(node)
	}
}

// decide decides on the requests of a node that wait, after an answer or for the lack of one.
func (c *credits) decide(node int, answered bool) {
	meter, limit := c.meters[node], c.w.limits[node]
	var left []*waiter
	for _, waits := range c.waiting[node] {
		verdict := meter.Take(simTenant, limit, c.w.now)
		if verdict.Decision == Ask && answered && c.w.now.Before(waits.until) {
			left = append(left, waits)
			continue
		}
		if verdict.Decision == Ask {
			verdict = meter.TakeAlone(simTenant, limit, c.w.now)
		}
		meter.Leave(simTenant)
		waits.decided(verdict.Decision == Admit)
	}
	c.waiting[node] = left
	if len(left) > 0 {
		c.tell(node)
	}
}

// askFor is how long a request waits for credit.
const askFor = 150 * time.Millisecond

// shares is the other way: each node has a part of the limit, by the demand that all told the owner lately.
type shares struct {
	w      *world
	parts  []sharePart
	totals []map[int]float64
}

type sharePart struct {
	demand, level float64
	at            time.Time
	total, own    float64
	told          time.Time
}

func newShares(w *world) *shares {
	s := &shares{w: w, parts: make([]sharePart, w.nodes)}
	for range w.owners {
		s.totals = append(s.totals, map[int]float64{})
	}
	for node := range w.nodes {
		s.parts[node] = sharePart{at: w.now, level: w.configured.Burst / float64(w.nodes)}
		w.after(time.Duration(w.random.IntN(2000))*time.Millisecond, func() { s.tellOn(node) })
	}
	return s
}

func (s *shares) restartNode(node int)   { s.parts[node] = sharePart{at: s.w.now} }
func (s *shares) restartOwner(owner int) { s.totals[owner] = map[int]float64{} }

func (s *shares) tellOn(node int) {
	if owner := s.w.owner(); owner >= 0 && !s.w.down[node] {
		own := s.parts[node].demand
		total := 0.0
		s.w.call(node, owner, func() {
			s.totals[owner][node] = own
			for _, demand := range s.totals[owner] {
				total += demand
			}
		}, func(answered bool) {
			if answered {
				s.parts[node].total, s.parts[node].own, s.parts[node].told = total, own, s.w.now
			}
		})
	}
	s.w.after(2*time.Second, func() { s.tellOn(node) })
}

func (s *shares) request(node int, decided func(bool)) {
	const floor, halfLife, believed = 0.1, 5.0, 15 * time.Second
	part, limit := &s.parts[node], s.w.limits[node]
	elapsed := s.w.now.Sub(part.at).Seconds()
	part.at = s.w.now
	part.demand = part.demand/(1+elapsed/halfLife) + 0.69/halfLife
	share := 1 / float64(s.w.nodes)
	if part.total > 0 && s.w.now.Sub(part.told) < believed {
		share = floor/float64(s.w.nodes) + (1-floor)*min(1, part.own/part.total)
	}
	part.level = min(max(1, limit.Burst*share), part.level+limit.Rate*share*elapsed)
	if part.level < 1 {
		decided(false)
		return
	}
	part.level--
	decided(true)
}

func creditsWay(w *world) way { return newCredits(w) }
func sharesWay(w *world) way  { return newShares(w) }
