package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowlatch.example/mallowlatch/internal/access"
	"mallowlatch.example/mallowlatch/internal/clock"
	"mallowlatch.example/mallowlatch/internal/connlimit"
	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/follower"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobentry"
	"mallowlatch.example/mallowlatch/internal/jobpeer"
	"mallowlatch.example/mallowlatch/internal/listener"
	"mallowlatch.example/mallowlatch/internal/online"
	"mallowlatch.example/mallowlatch/internal/quota"
	"mallowlatch.example/mallowlatch/internal/site"
	"mallowlatch.example/mallowlatch/internal/sitesettings"
	"mallowlatch.example/mallowlatch/internal/transport"
	"mallowlatch.example/mallowlatch/platform"
)

// Limits of a client connection. They only close dead connections; the limits that clients must respect are in the
// configuration.
const (
	headerTimeout = 20 * time.Second
	idleTimeout   = 3 * time.Minute
	// maxHeaderBytes limits a head while the node knows no configuration.
	maxHeaderBytes = 256 << 10
	// peerDialTimeout limits the time to open a connection to another node.
	peerDialTimeout = 300 * time.Millisecond
)

// newPeerPool returns the connection pool for calls to other nodes.
func newPeerPool() *transport.Pool {
	return transport.NewPool(transport.PoolOptions{PrivateNetwork: true, DialTimeout: peerDialTimeout, Jitter: rand.Float64})
}

// runFront serves client requests until the process is asked to stop.
func runFront(path string, settings sitesettings.Settings) error {
	process := newProcess(path, settings, "front")
	if !settings.Node.FirstStart {
		process.runners.AssumeFullUntilReported()
	}
	forwarder := &online.Forwarder{
		Runners: process.runners, Caller: process.caller, PoisonWatch: process.ends, MemoryBudget: process.heldBytes, Key: settings.RequestFingerprintKey(),
		Logger: process.logger, Now: clock.Now, Date: clock.Date, Stop: process.lifecycle,
	}
	pool := newPeerPool()
	defer func() { _ = pool.Close() }()
	records := process.records()
	holders := &jobpeer.WorkerClient{
		Records: records, Zone: ident.Zone(settings.Node.Zone), Connect: process.peerCalls.Wrap(pool.ConnAddress), Copies: settings.Bounds.TolerableDiskLosses + 1,
		Seeds: settings.Seeds, SeedsFor: process.startGrace(), Reach: process.reachability, Now: clock.Now,
	}
	process.peerCalls.ZoneOf = holders.ZoneOf
	desk := &jobentry.Intake{
		Records: records, Logger: process.logger, Workers: holders, LinkBytes: settings.Limits.LinkBytes(), Reachability: process.reachability,
	}
	newest := &jobpeer.NewestConfiguration{Client: holders, Logger: process.logger}
	orders := &follower.Follower{
		Source: &jobpeer.WorkerFeed{Client: holders, Index: xxhash.Sum64String(settings.Node.Name)}, Newest: newest.Catalog,
	}
	orders.Fallback = func() follower.Fallback { return follower.Fallback{Workers: holders.KnownWorkers()} }
	process.follow(orders)
	gate := &access.Gate{Routes: process.routes, Refresh: orders.Refresh, Logger: process.logger, Now: clock.Now}
	onlineWork := &jobpeer.OnlineWork{
		Node: ident.Node(settings.Node.Name), Client: holders, Runners: process.runners, Ends: process.ends, Tenants: forwarder, Waiters: forwarder,
		Logger: process.logger, Now: clock.Now,
	}
	reporter := process.startDemandReporter(onlineWork)
	forwarder.Owners = &jobpeer.Owners{Work: onlineWork, Reporter: reporter}
	forwarder.RequestSlots = func() { reporter.Changed(true) }
	origins := &jobpeer.StreamOrigins{Client: holders, Runners: process.runners, Now: clock.Now}
	origins.Start(process.tomb)
	forwarder.Origins = origins
	holders.SendPoisonRecords(process.tomb, process.ends)
	jobs := platform.NewJobAPI(desk, ident.Zone(settings.Node.Zone), gate)
	jobs.Held = process.heldBytes
	start := &site.Start{Known: process.knowsFleet, Together: holders.StartsWithOthers, Now: clock.Now}
	front := &platform.Front{
		Routes: process.routes, Serve: forwarder.Serve, Jobs: jobs, Gate: gate, Limiter: process.limiter(holders), Held: process.heldBytes,
		Await: start.Await, Stopping: process.lifecycle.Stopping, Logger: process.logger, Now: clock.Now,
	}
	callers, err := process.serve(settings.Listen.Callers, front, process.callers)
	if err != nil {
		return err
	}
	checks := connlimit.New(readinessLimits, process.routes.HeadLimit, clock.Now)
	if _, err := process.serve(settings.Listen.Ready, platform.ReadyHandler(process.ready), checks); err != nil {
		return err
	}
	process.waitForStop()
	process.lifecycle.StopServer(callers, settings.Bounds.Grace())
	return process.shutdown()
}

// limiter returns the limiter that enforces the quotas of tenants together with the ledger owners among the workers.
func (p *process) limiter(holders *jobpeer.WorkerClient) *access.Limiter {
	node, now := ident.Node(p.settings.Node.Name), clock.Now()
	limiter := &access.Limiter{
		Meter: quota.NewMeter(node, clock.Date().UnixNano(), p.settings.Bounds.QuotaWindow(), now),
		Owner: holders.QuotaOwner, Report: holders.ReportQuota, Logger: p.logger, Now: clock.Now,
	}
	limiter.Start(p.tomb)
	return limiter
}

// startDemandReporter starts reporting the online work of this node to the workers.
func (p *process) startDemandReporter(onlineWork *jobpeer.OnlineWork) *demand.Reporter {
	reporter := demand.NewReporter(ident.Node(p.settings.Node.Name), onlineWork, clock.Now)
	reporter.Send = onlineWork.Report
	p.runners.OnOnlineChanged(reporter.Changed)
	reporter.Start(p.tomb)
	return reporter
}

// ready reports whether the node can serve: it knows the configuration and the runners, and is not stopping.
func (p *process) ready() bool {
	return !p.lifecycle.Stopping() && p.knowsFleet()
}

// knowsFleet reports whether the node knows the configuration and the runners.
func (p *process) knowsFleet() bool { return p.routes.Catalog() != nil && p.runners.Count() > 0 }

// readinessLimits bound the readiness checks: few clients ask, once a second each.
var readinessLimits = connlimit.Limits{Connections: 32, HeadBytes: 1 << 20}

// serve starts an HTTP server for the handler on an address, within the limits on connections.
func (p *process) serve(address string, handler http.Handler, limiter *connlimit.Limiter) (*http.Server, error) {
	open, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listening on %s: %w", address, err)
	}
	server := &http.Server{
		Handler: connlimit.Handler(listener.LogPanics(handler, p.logger, platform.RequestID)), ConnContext: connlimit.ConnContext, ConnState: connlimit.ConnState,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: listener.FaultLog(p.logger, address),
	}
	p.tomb.Go(func() error {
		if err := server.Serve(limiter.Listen(open)); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serving %s: %w", address, err)
		}
		return nil
	})
	p.tomb.Go(func() error {
		<-p.tomb.Dying()
		return server.Close()
	})
	return server, nil
}
