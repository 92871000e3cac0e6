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
	// reportEvery is the time between reports of demand.
	reportEvery = 2 * time.Second
	// reportTimeout bounds one report.
	reportTimeout = time.Second
	// leastDemand is the rate below which a limit is not reported and forgotten.
	leastDemand = 0.01
	milli       = 1000
)

// Exchange reports this node's demand to the homes of the limits in use and serves as home of others. Messages grow
// with the limits in use on a node, not with the number of nodes.
type Exchange struct {
	controller *Controller
	dialer     transport.Dialer
	tomb       tomb.Tomb
}

// NewExchange returns the exchange of a controller. Start begins it.
func NewExchange(controller *Controller, dialer transport.Dialer) *Exchange {
	return &Exchange{controller: controller, dialer: dialer}
}

// Start begins the reports.
func (e *Exchange) Start() { e.tomb.Go(e.loop) }

// Stop ends them.
func (e *Exchange) Stop() error {
	e.tomb.Kill(nil)
	return e.tomb.Wait()
}

func (e *Exchange) loop() error {
	ticker := time.NewTicker(reportEvery)
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

// report tells one home. A home that can't be reached leaves the old totals to run out.
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

// Report serves as home of limits.
func (e *Exchange) Report(_ context.Context, report *admissionpb.DemandReport) (*admissionpb.DemandTotals, error) {
	return e.controller.HomeReport(report), nil
}

// Reports groups this node's demand by home, and forgets limits out of use.
func (c *Controller) Reports() map[ident.Node]*admissionpb.DemandReport {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.config.Now()
	c.home.forget(now)
	nodes := c.config.Nodes()
	messages := map[ident.Node]*admissionpb.DemandReport{}
	for name, held := range c.limits {
		rate := held.demand.current(now)
		if rate < leastDemand && held.bucket.full(now) {
			delete(c.limits, name)
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

// HomeReport takes a node's demand for limits this node is home of, and returns the sums over all nodes.
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

// TakeTotals takes the sums of a home.
func (c *Controller) TakeTotals(totals *admissionpb.DemandTotals) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.config.Now()
	for _, stated := range totals.GetTotals() {
		if held, known := c.limits[stated.GetLimit()]; known {
			held.before = held.total
			held.total = total{demand: float64(stated.GetRateMilli()) / milli, own: held.reported, until: now.Add(totalTime)}
		}
	}
}
