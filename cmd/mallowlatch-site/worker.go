package main

import (
	"context"
	"fmt"
	"net"
	"time"

	"mallowlatch.example/mallowlatch/internal/fleetfeed"
	"mallowlatch.example/mallowlatch/internal/follower"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobentry"
	"mallowlatch.example/mallowlatch/internal/jobpeer"
	"mallowlatch.example/mallowlatch/internal/jobworker"
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
		Caller: process.caller, Registry: process.registry(), Options: options, Logger: process.logger, Now: time.Now,
	}
	worker.Start(process.tomb)
	feed := fleetfeed.New(time.Now)
	process.follow(&follower.Follower{Retire: worker.Retire, Feed: feed})
	if err := process.servePeers(worker, feed); err != nil {
		return err
	}
	process.waitForStop()
	worker.Drain(settings.Bounds.Grace() - drainReserve)
	return process.end()
}

// servePeers lets other nodes read the results of the worker's jobs, and what it read of the registry.
func (p *process) servePeers(worker *jobworker.Worker, feed *fleetfeed.Feed) error {
	listener, err := net.Listen("tcp4", p.settings.Listen.Peers)
	if err != nil {
		return fmt.Errorf("listening on %s: %w", p.settings.Listen.Peers, err)
	}
	server := transport.NewServer(transport.ServerOptions{PrivateNetwork: true, Logger: p.logger})
	if err := server.Register(&jobpeer.WorkerServer{
		Worker: worker, Accepter: &jobentry.Desk{Records: p.records(), Logger: p.logger},
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
