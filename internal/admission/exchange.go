package admission

import (
	"context"
	"time"

	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/admission/admissionpb"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/transport"
)

const (
	// ReportInterval is the interval between demand reports.
	ReportInterval = 2 * time.Second
	// reportTimeout is the time limit of one report.
	reportTimeout = time.Second
	// minDemand is the rate, in units per second, below which the state of a limit is deleted once its bucket is full.
	minDemand = 0.01
	// milli converts units to the thousandths used in messages.
	milli = 1000
)

// Exchange reports this node's demand to the home nodes of the limits in use, and serves the reports of other nodes as a
// home node. Message size grows with the number of limits in use on a node, not with the number of nodes.
type Exchange struct {
	controller *Controller
	dialer     transport.Dialer
	tomb       tomb.Tomb
}

// NewExchange returns an exchange for a controller. Call Start to run it.
func NewExchange(controller *Controller, dialer transport.Dialer) *Exchange {
	return &Exchange{controller: controller, dialer: dialer}
}

// Start starts the periodic reports.
func (e *Exchange) Start() { e.tomb.Go(e.loop) }

// Stop stops the reports and waits for those in progress.
func (e *Exchange) Stop() error {
	e.tomb.Kill(nil)
	return e.tomb.Wait()
}

func (e *Exchange) loop() error {
	ticker := time.NewTicker(ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.tomb.Dying():
			return nil
		case <-ticker.C:
			e.reportAll()
		}
	}
}

func (e *Exchange) reportAll() {
	for home, report := range e.controller.Reports() {
		e.tomb.Go(func() error {
			e.report(home, report)
			return nil
		})
	}
}

// report sends one report to a home node. If that node is unreachable, the previous totals stay in use until they expire.
func (e *Exchange) report(home ident.Node, report *admissionpb.DemandReport) {
	ctx, cancel := context.WithTimeout(e.tomb.Context(context.Background()), reportTimeout)
	defer cancel()
	if home == e.controller.config.Node {
		totals, _ := e.Report(ctx, report)
		e.controller.TakeTotals(totals)
		return
	}
	connection, err := e.dialer.Conn(ctx, home)
	if err != nil {
		return
	}
	totals, err := admissionpb.NewDRPCDemandHomeClient(connection).Report(ctx, report)
	if err != nil {
		return
	}
	e.controller.TakeTotals(totals)
}

// Report handles a demand report from a node.
func (e *Exchange) Report(_ context.Context, report *admissionpb.DemandReport) (*admissionpb.DemandTotals, error) {
	return e.controller.HomeReport(report), nil
}

// Reports returns this node's demand grouped by home node, and deletes the state of unused limits.
func (c *Controller) Reports() map[ident.Node]*admissionpb.DemandReport {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.config.Now()
	c.home.removeExpired(now)
	nodes := c.config.Nodes()
	messages := map[ident.Node]*admissionpb.DemandReport{}
	for name, held := range c.limits {
		rate := held.demand.current(now)
		if rate < minDemand && held.bucket.full(now) {
			delete(c.limits, name)
			continue
		}
		if rate <= unreportedDemand(held.rate, len(nodes)) {
			continue
		}
		held.reported = rate
		home := homeOf(name, nodes)
		if messages[home] == nil {
			messages[home] = &admissionpb.DemandReport{Node: string(c.config.Node)}
		}
		messages[home].Demands = append(messages[home].Demands, &admissionpb.Demand{Limit: name, RateMilli: uint64(rate * milli)})
	}
	return messages
}

// unreportedDemand returns the maximum demand that a node need not report: half of its part of the evenly split fraction,
// which the shares of the reporting nodes leave unused.
func unreportedDemand(rate float64, nodes int) float64 {
	return evenFraction / 2 * rate / float64(max(1, nodes))
}

// HomeReport records a node's demand for limits that have this node as their home node, and returns the sums over all
// nodes.
func (c *Controller) HomeReport(report *admissionpb.DemandReport) *admissionpb.DemandTotals {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.config.Now()
	totals := &admissionpb.DemandTotals{}
	for _, reported := range report.GetDemands() {
		sum := c.home.report(reported.GetLimit(), ident.Node(report.GetNode()), float64(reported.GetRateMilli())/milli, now)
		totals.Totals = append(totals.Totals, &admissionpb.Demand{Limit: reported.GetLimit(), RateMilli: uint64(sum * milli)})
	}
	return totals
}

// TakeTotals records the totals that a home node returned.
func (c *Controller) TakeTotals(totals *admissionpb.DemandTotals) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.config.Now()
	for _, stated := range totals.GetTotals() {
		held, known := c.limits[stated.GetLimit()]
		if !known {
			continue
		}
		held.before = held.total
		held.total = total{demand: float64(stated.GetRateMilli()) / milli, own: held.reported, until: now.Add(totalLifetime)}
	}
}
