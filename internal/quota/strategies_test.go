package quota

import (
	"fmt"
	"strconv"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// strategy is a method of enforcing a limit over many nodes.
type strategy interface {
	// request has a node decide on a request and reports the outcome, now or later.
	request(node int, decided func(admitted bool))
	// restartNode and restartOwner have a node or an owner lose its state.
	restartNode(node int)
	restartOwner(owner int)
}

// credits is the strategy of this package: meters at the nodes, ledgers at the owners.
type credits struct {
	sim     *simulation
	meters  []*Meter
	ledgers []*Ledger
	starts  int64
	// waiting holds the requests of each node that wait for an answer.
	waiting [][]*waitingRequest
}

type waitingRequest struct {
	until   time.Time
	decided func(bool)
}

func newCredits(sim *simulation) *credits {
	c := &credits{sim: sim, waiting: make([][]*waitingRequest, sim.nodes)}
	for node := range sim.nodes {
		c.meters = append(c.meters, nil)
		c.restartNode(node)
		sim.after(time.Duration(sim.random.IntN(100))*time.Millisecond, func() { c.reportPeriodically(node) })
	}
	for range sim.owners {
		c.ledgers = append(c.ledgers, NewLedger(simWindow, sim.now.Add(-time.Minute)))
	}
	return c
}

func (c *credits) restartNode(node int) {
	c.starts++
	began := c.sim.now
	if c.starts <= int64(c.sim.nodes) {
		began = began.Add(-time.Minute)
	}
	c.meters[node] = NewMeter(ident.Node(strconv.Itoa(node)), c.starts, simWindow, began)
	c.waiting[node] = nil
}

func (c *credits) restartOwner(owner int) { c.ledgers[owner] = NewLedger(simWindow, c.sim.now) }

func (c *credits) reportPeriodically(node int) {
	c.report(node)
	c.sim.after(100*time.Millisecond, func() { c.reportPeriodically(node) })
}

// report sends a node's due reports.
func (c *credits) report(node int) {
	owner := c.sim.owner()
	if owner < 0 || c.sim.down[node] {
		return
	}
	meter, sent := c.meters[node], c.sim.now
	for _, spending := range meter.DueReports(func(ident.Tenant) string { return fmt.Sprint("owner-", owner) }, c.sim.now) {
		var answer *Answer
		c.sim.call(node, owner, func() {
			answer = c.ledgers[owner].ApplyReport(spending, func(ident.Tenant) (Limit, bool) { return c.sim.configured, true }, c.sim.now)
		}, func(answered bool) {
			if answered {
				meter.ApplyAnswer(spending, answer, sent)
			} else {
				meter.ReportFailed(spending)
			}
			if meter == c.meters[node] {
				c.decide(node, answered)
			}
		})
	}
}

func (c *credits) request(node int, decided func(bool)) {
	meter, limit := c.meters[node], c.sim.limits[node]
	switch verdict := meter.Take(simTenant, limit, c.sim.now); verdict.Decision {
	case Admit:
		decided(true)
	case Refuse:
		decided(false)
	case Ask:
		meter.BeginWait(simTenant, limit)
		c.waiting[node] = append(c.waiting[node], &waitingRequest{until: c.sim.now.Add(askTimeout), decided: decided})
		if c.sim.owner() < 0 {
			c.decide(node, false)
		}
		c.report(node)
	}
}

// decide decides on a node's waiting requests after an answer, or after the lack of one.
func (c *credits) decide(node int, answered bool) {
	meter, limit := c.meters[node], c.sim.limits[node]
	var left []*waitingRequest
	for _, request := range c.waiting[node] {
		verdict := meter.Take(simTenant, limit, c.sim.now)
		if verdict.Decision == Ask && answered && c.sim.now.Before(request.until) {
			left = append(left, request)
			continue
		}
		if verdict.Decision == Ask {
			verdict = meter.TakeIsolated(simTenant, limit, c.sim.now)
		}
		meter.EndWait(simTenant)
		request.decided(verdict.Decision == Admit)
	}
	c.waiting[node] = left
	if len(left) > 0 {
		c.report(node)
	}
}

// askTimeout is how long a request waits for credit.
const askTimeout = 150 * time.Millisecond

// shares is the alternative strategy: each node has a fraction of the limit in proportion to its part of the demand that all nodes
// reported to the owner recently.
type shares struct {
	sim    *simulation
	parts  []sharePart
	totals []map[int]float64
}

type sharePart struct {
	demand, level float64
	at            time.Time
	total, own    float64
	answeredAt    time.Time
}

func newShares(sim *simulation) *shares {
	s := &shares{sim: sim, parts: make([]sharePart, sim.nodes)}
	for range sim.owners {
		s.totals = append(s.totals, map[int]float64{})
	}
	for node := range sim.nodes {
		s.parts[node] = sharePart{at: sim.now, level: sim.configured.Burst / float64(sim.nodes)}
		sim.after(time.Duration(sim.random.IntN(2000))*time.Millisecond, func() { s.reportPeriodically(node) })
	}
	return s
}

func (s *shares) restartNode(node int)   { s.parts[node] = sharePart{at: s.sim.now} }
func (s *shares) restartOwner(owner int) { s.totals[owner] = map[int]float64{} }

func (s *shares) reportPeriodically(node int) {
	if owner := s.sim.owner(); owner >= 0 && !s.sim.down[node] {
		own := s.parts[node].demand
		total := 0.0
		s.sim.call(node, owner, func() {
			s.totals[owner][node] = own
			for _, demand := range s.totals[owner] {
				total += demand
			}
		}, func(answered bool) {
			if answered {
				s.parts[node].total, s.parts[node].own, s.parts[node].answeredAt = total, own, s.sim.now
			}
		})
	}
	s.sim.after(2*time.Second, func() { s.reportPeriodically(node) })
}

func (s *shares) request(node int, decided func(bool)) {
	const floor, halfLife, believed = 0.1, 5.0, 15 * time.Second
	part, limit := &s.parts[node], s.sim.limits[node]
	elapsed := s.sim.now.Sub(part.at).Seconds()
	part.at = s.sim.now
	part.demand = part.demand/(1+elapsed/halfLife) + 0.69/halfLife
	share := 1 / float64(s.sim.nodes)
	if part.total > 0 && s.sim.now.Sub(part.answeredAt) < believed {
		share = floor/float64(s.sim.nodes) + (1-floor)*min(1, part.own/part.total)
	}
	part.level = min(max(1, limit.Burst*share), part.level+limit.Rate*share*elapsed)
	if part.level < 1 {
		decided(false)
		return
	}
	part.level--
	decided(true)
}

func creditsStrategy(sim *simulation) strategy { return newCredits(sim) }
func sharesStrategy(sim *simulation) strategy  { return newShares(sim) }
