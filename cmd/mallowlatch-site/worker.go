package main

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"time"

	"mallowlatch.example/mallowlatch/internal/clock"
	"mallowlatch.example/mallowlatch/internal/connlimit"
	"mallowlatch.example/mallowlatch/internal/fleetfeed"
	"mallowlatch.example/mallowlatch/internal/follower"
	"mallowlatch.example/mallowlatch/internal/handoff"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobpeer"
	"mallowlatch.example/mallowlatch/internal/jobworker"
	"mallowlatch.example/mallowlatch/internal/progress"
	"mallowlatch.example/mallowlatch/internal/quota"
	"mallowlatch.example/mallowlatch/internal/sitesettings"
	"mallowlatch.example/mallowlatch/internal/streamorigin"
	"mallowlatch.example/mallowlatch/internal/transport"
	"mallowlatch.example/mallowlatch/platform"
)

// drainReserve is the part of the grace period reserved for giving up the lease and exiting.
const drainReserve = 1500 * time.Millisecond

// runWorker runs the items of batch jobs until the process is asked to stop.
func runWorker(path string, settings sitesettings.Settings) error {
	process := newProcess(path, settings, "worker")
	options := jobworker.DefaultOptions
	options.LeaseTTL = max(options.LeaseTTL, settings.Store.ShortestLease())
	worker := &jobworker.Worker{
		Node: ident.Node(settings.Node.Name), Zone: ident.Zone(settings.Node.Zone), Address: settings.Listen.Peers,
		Records: process.records(), Store: process.store, Runners: process.runners, Routes: process.routes,
		Caller: process.caller, PoisonWatch: process.ends, Key: settings.RequestFingerprintKey(), Registry: process.registry,
		Options: options, Logger: process.logger, Now: clock.Now,
	}
	worker.PromptOf = platform.PromptOf
	worker.Budget = process.heldBytes
	worker.Restarted = !settings.Node.FirstStart
	handoffLog, err := process.openHandoff()
	if err != nil {
		return err
	}
	worker.Handoff = handoffLog
	if worker.MirrorJournal, err = process.openOutputs(); err != nil {
		return err
	}
	pool := newPeerPool()
	defer func() { _ = pool.Close() }()
	connect := process.peerCalls.Wrap(pool.ConnAddress)
	process.peerCalls.ZoneOf = worker.ZoneOf
	peers := &jobpeer.Peers{Connect: connect, Now: clock.Now}
	worker.Mirrors, worker.Lenders, worker.Readers, worker.Accounts = peers, peers, peers, peers
	worker.Tolerance = settings.Bounds.TolerableDiskLosses
	worker.Seeds, worker.SeedPeriod = settings.Seeds, process.startGrace()
	source := &jobpeer.LeaderFeed{Reader: worker.Reader, Eligible: worker.IsReader, Connect: connect, Now: clock.Now}
	worker.OnLiveChanged = source.Changed
	if settings.Node.DataFolder != "" {
		process.ends.Persist(filepath.Join(settings.Node.DataFolder, endsFile))
	}
	origins := &streamorigin.Keeper{
		Runners: process.runners, FirstStart: settings.Node.FirstStart, Logger: process.logger, Now: clock.Now, Date: clock.Date,
	}
	if err := process.openOrigins(origins); err != nil {
		return err
	}
	worker.Start(process.tomb)
	process.startDeliverer(handoffLog, worker)
	ends := &jobpeer.PoisonRecordSync{Node: worker.Node, Watch: process.ends, Workers: worker.Registered, Peers: peers}
	ends.Start(process.tomb)
	feed := fleetfeed.New(clock.Now)
	feed.Workers = jobpeer.FeedWorkers(worker)
	orders := &follower.Follower{Retire: worker.Retire, Feed: feed, Source: source}
	feed.Refresh = jobpeer.NewSharedReads(orders.Refresh, clock.Now).AwaitFresh
	orders.Fallback = func() follower.Fallback {
		return follower.Fallback{First: worker.IsRelay(), RelaysToOthers: true, Workers: len(worker.Registered())}
	}
	process.follow(orders)
	if err := process.servePeers(worker, feed, origins); err != nil {
		return err
	}
	process.waitForStop()
	worker.Drain(settings.Bounds.Grace() - drainReserve)
	return process.shutdown()
}

const (
	// handoffFolder is the folder, below the data folder, of the jobs that are not in the store yet.
	handoffFolder = "handoff"
	// handoffDiskFraction is the part of the disk that they may use.
	handoffDiskFraction = 0.5
)

// openHandoff opens the log of the jobs that are not in the store yet; it returns nil if the machine has no disk.
func (p *process) openHandoff() (*handoff.Log, error) {
	if p.settings.Node.DataFolder == "" {
		return nil, nil
	}
	maxBytes := int64(handoffDiskFraction * float64(p.settings.Limits.DiskBytes()))
	log, err := handoff.Open(filepath.Join(p.settings.Node.DataFolder, handoffFolder), maxBytes)
	if err != nil {
		return nil, fmt.Errorf("opening the handoff log: %w", err)
	}
	return log, nil
}

// startDeliverer starts writing the jobs of the handoff log to the store. It does nothing if the log is nil.
func (p *process) startDeliverer(log *handoff.Log, worker *jobworker.Worker) {
	if log == nil {
		return
	}
	deliverer := &handoff.Deliverer{
		Log: log, Store: p.records(), Lifetime: p.settings.Bounds.ResultRetention(), KnownAccepted: worker.Accepted, Logger: p.logger, Now: clock.Date,
		MemoryBudget: p.heldBytes,
	}
	deliverer.Start(p.tomb)
}

const (
	// outputsFolder is the folder, below the data folder, of the partial output of other workers' items.
	outputsFolder = "outputs"
	// outputsDiskFraction is the part of the disk that it may use.
	outputsDiskFraction = 0.1
)

// openOutputs opens the journal of the partial output of other workers' items; it returns nil if the machine has no
// disk.
func (p *process) openOutputs() (*progress.Journal, error) {
	if p.settings.Node.DataFolder == "" {
		return nil, nil
	}
	maxBytes := int64(outputsDiskFraction * float64(p.settings.Limits.DiskBytes()))
	outputs, err := progress.OpenJournal(filepath.Join(p.settings.Node.DataFolder, outputsFolder), maxBytes, clock.Now())
	if err != nil {
		return nil, fmt.Errorf("opening the output journal: %w", err)
	}
	return outputs, nil
}

// originsFolder is the folder, below the data folder, of the software versions at which streams of other nodes began.
const originsFolder = "origins"

// openOrigins loads and begins to keep where streams of other nodes began, in memory only if the machine has no disk.
func (p *process) openOrigins(origins *streamorigin.Keeper) error {
	folder := ""
	if p.settings.Node.DataFolder != "" {
		folder = filepath.Join(p.settings.Node.DataFolder, originsFolder)
	}
	if err := origins.Open(folder); err != nil {
		return fmt.Errorf("opening the origins of streams: %w", err)
	}
	origins.Start(p.tomb)
	return nil
}

// endsFile is the file, below the data folder, that records which requests crash their runners, so that this survives
// a restart of the process.
const endsFile = "ends.json"

// servePeers serves the worker's calls and its fleet feed to other nodes.
func (p *process) servePeers(worker *jobworker.Worker, feed *fleetfeed.Feed, origins *streamorigin.Keeper) error {
	listener, err := net.Listen("tcp4", p.settings.Listen.Peers)
	if err != nil {
		return fmt.Errorf("listening on %s: %w", p.settings.Listen.Peers, err)
	}
	limits := connlimit.PeerLimitsOf(p.settings.Limits.MemoryBytes(), p.settings.Limits.Descriptors)
	server := transport.NewServer(transport.ServerOptions{
		PrivateNetwork: true, Logger: p.logger, Limiter: connlimit.NewForMessages(limits, clock.Now),
	})
	if err := server.Register(&jobpeer.WorkerServer{
		Worker: worker, Ledger: quota.NewLedger(p.settings.Bounds.QuotaWindow(), clock.Now()), Origins: origins,
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
