package main

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"time"

	"mallowlatch.example/mallowlatch/internal/clock"
	"mallowlatch.example/mallowlatch/internal/fleetfeed"
	"mallowlatch.example/mallowlatch/internal/follower"
	"mallowlatch.example/mallowlatch/internal/handoff"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobpeer"
	"mallowlatch.example/mallowlatch/internal/jobworker"
	"mallowlatch.example/mallowlatch/internal/progress"
	"mallowlatch.example/mallowlatch/internal/quota"
	"mallowlatch.example/mallowlatch/internal/sitesettings"
	"mallowlatch.example/mallowlatch/internal/transport"
)

// drainReserve is kept of the grace for giving up the lease and ending the process.
const drainReserve = 1500 * time.Millisecond

// runWorker runs the items of batch jobs until it is asked to stop.
func runWorker(path string, settings sitesettings.Settings) error {
	process := newProcess(path, settings, "worker")
	options := jobworker.DefaultOptions
	options.LeaseTTL = max(options.LeaseTTL, settings.Store.ShortestLease())
	worker := &jobworker.Worker{
		Node: ident.Node(settings.Node.Name), Zone: ident.Zone(settings.Node.Zone), Address: settings.Listen.Peers,
		Records: process.records(), Store: process.store, Runners: process.runners, Routes: process.routes,
		Caller: process.caller, Ends: process.ends, Key: settings.Key(), Registry: process.registry(), Options: options, Logger: process.logger, Now: clock.Now,
	}
	worker.Budget = process.held
	worker.StartsAgain = !settings.Node.FirstStart
	kept, err := process.openHandoff()
	if err != nil {
		return err
	}
	worker.Handoff = kept
	if worker.Outputs, err = process.openOutputs(); err != nil {
		return err
	}
	pool := newPeerPool()
	defer func() { _ = pool.Close() }()
	peers := &jobpeer.Peers{Connect: pool.ConnAddress, Now: clock.Now}
	worker.Mirrors, worker.Lenders, worker.Readers, worker.Accounts = peers, peers, peers, peers
	worker.Tolerance = settings.Bounds.LostDisks
	worker.Seeds, worker.SeedsFor = settings.Seeds, process.startGrace()
	source := &jobpeer.LeaderFeed{Reader: worker.Reader, InLine: worker.ReadsForAll, Connect: pool.ConnAddress, Now: clock.Now}
	worker.Followed = source.Changed
	if settings.Node.DataFolder != "" {
		process.ends.Keep(filepath.Join(settings.Node.DataFolder, endsFile))
	}
	worker.Start(process.tomb)
	process.deliver(kept, worker)
	ends := &jobpeer.WorkerEnds{Node: worker.Node, Watch: process.ends, Workers: worker.Registered, Peers: peers}
	ends.Start(process.tomb)
	feed := fleetfeed.New(clock.Now)
	feed.Workers = jobpeer.FeedWorkers(worker)
	orders := &follower.Follower{Retire: worker.Retire, Feed: feed, Source: source}
	feed.Refresh = jobpeer.NewestReadings(orders.Refresh, clock.Now).Fresh
	process.follow(orders)
	if err := process.servePeers(worker, feed); err != nil {
		return err
	}
	process.waitForStop()
	worker.Drain(settings.Bounds.Grace() - drainReserve)
	return process.end()
}

const (
	// handoffFolder is the folder of the jobs that the store did not take yet, below the data folder.
	handoffFolder = "handoff"
	// handoffShare of the disk may be taken by them.
	handoffShare = 0.5
)

// openHandoff opens the jobs on the disk; nil where the machine has no disk.
func (p *process) openHandoff() (*handoff.Log, error) {
	if p.settings.Node.DataFolder == "" {
		return nil, nil
	}
	most := int64(handoffShare * float64(p.settings.Limits.DiskBytes()))
	log, err := handoff.Open(filepath.Join(p.settings.Node.DataFolder, handoffFolder), most)
	if err != nil {
		return nil, fmt.Errorf("opening the jobs on the disk: %w", err)
	}
	return log, nil
}

// deliver begins to hand the jobs on the disk over; nil has none.
func (p *process) deliver(log *handoff.Log, worker *jobworker.Worker) {
	if log == nil {
		return
	}
	deliverer := &handoff.Deliverer{
		Log: log, Store: p.records(), Lifetime: p.settings.Bounds.ResultRetention(), Taken: worker.Accepted, Logger: p.logger, Now: clock.Date,
		Held: p.held,
	}
	deliverer.Start(p.tomb)
}

const (
	// outputsFolder is the folder of the output of other workers' items, below the data folder.
	outputsFolder = "outputs"
	// outputsShare of the disk may be taken by it.
	outputsShare = 0.1
)

// openOutputs opens the output that this worker keeps for others; nil where the machine has no disk.
func (p *process) openOutputs() (*progress.Journal, error) {
	if p.settings.Node.DataFolder == "" {
		return nil, nil
	}
	most := int64(outputsShare * float64(p.settings.Limits.DiskBytes()))
	outputs, err := progress.OpenJournal(filepath.Join(p.settings.Node.DataFolder, outputsFolder), most, clock.Now())
	if err != nil {
		return nil, fmt.Errorf("opening the output kept on the disk: %w", err)
	}
	return outputs, nil
}

// endsFile has which requests end their runners, below the data folder, so that they outlive this process.
const endsFile = "ends.json"

// servePeers lets other nodes read the results of the worker's jobs, and what it read of the registry.
func (p *process) servePeers(worker *jobworker.Worker, feed *fleetfeed.Feed) error {
	listener, err := net.Listen("tcp4", p.settings.Listen.Peers)
	if err != nil {
		return fmt.Errorf("listening on %s: %w", p.settings.Listen.Peers, err)
	}
	server := transport.NewServer(transport.ServerOptions{PrivateNetwork: true, Logger: p.logger})
	if err := server.Register(&jobpeer.WorkerServer{
		Worker: worker, Ledger: quota.NewLedger(p.settings.Bounds.QuotaWindow(), clock.Now()),
	}, jobpeer.Description{}); err != nil {
		return fmt.Errorf("serving other nodes: %w", err)
	}
	if err := server.Register(feed, fleetfeed.Description{}); err != nil {
		return fmt.Errorf("serving other nodes: %w", err)
	}
	p.tomb.Go(func() error { return server.Serve(listener) })
	p.tomb.Go(func() error {
		<-p.tomb.Dying()
		ctx, cancel := context.WithTimeout(context.Background(), drainReserve/2)
		defer cancel()
		_ = server.Stop(ctx)
		return nil
	})
	return nil
}
