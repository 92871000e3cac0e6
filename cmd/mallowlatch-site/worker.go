package main

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobworker"
	"mallowlatch.example/mallowlatch/internal/sitesettings"
)

// drainReserve is kept of the grace for giving up the lease and ending the process.
const drainReserve = 1500 * time.Millisecond

// runWorker runs the items of batch jobs until it is asked to stop.
func runWorker(path string, settings sitesettings.Settings) error {
	process := newProcess(path, settings, "worker")
	process.follow()
	options := jobworker.DefaultOptions
	options.LeaseTTL = max(options.LeaseTTL, settings.Store.ShortestLease())
	worker := &jobworker.Worker{
		Node: ident.Node(settings.Node.Name), Zone: ident.Zone(settings.Node.Zone),
		Records: process.records(), Store: process.store, Runners: process.runners, Routes: process.routes,
		Caller: process.caller, Options: options, Logger: process.logger, Now: time.Now,
	}
	worker.Start(process.tomb)
	process.waitForStop()
	worker.Drain(settings.Bounds.Grace() - drainReserve)
	return process.end()
}
