package main

import (
	"mallowlatch.example/mallowlatch/internal/sitesettings"
)

// runWorker runs the items of batch jobs until it is asked to stop.
func runWorker(path string, settings sitesettings.Settings) error {
	process := newProcess(path, settings, "worker")
	process.follow()
	process.waitForStop()
	return process.end()
}
