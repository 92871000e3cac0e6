package shard

import "time"

// Driver joins the replication protocol of one replica with the planning of its replica set. It is pure like Core; the
// host and the simulation run the same one.
type Driver struct {
	Core        *Core
	coordinator *Coordinator
	settings    PlanSettings
}

// NewDriver returns a driver of the core.
func NewDriver(core *Core, settings PlanSettings, seed uint64) *Driver {
	return &Driver{Core: core, coordinator: NewCoordinator(settings, seed), settings: settings}
}

// Tick lets time pass and returns the next request to the key-value service, if one is due.
func (d *Driver) Tick(now time.Duration, world World) (StoreRequest, bool, error) {
	if err := d.Core.Tick(now); err != nil {
		return StoreRequest{}, false, err
	}
	status := d.Core.Status(now)
	if status.Role == Leader {
		d.Core.SetLearners(Learners(status, world, d.settings))
	}
	if successor, due := HandOver(status, world, d.settings); due {
		d.Core.Transfer(successor)
	}
	request, due := d.coordinator.Tick(now, status, world)
	return request, due, nil
}

// Observe takes a replica set that the key-value service holds.
func (d *Driver) Observe(configuration Configuration, revision int64) {
	d.coordinator.Observe(configuration, revision)
	d.Core.Adopt(configuration)
}

// StoreResult takes the outcome of a request. The replica that wrote a new set campaigns at once.
func (d *Driver) StoreResult(now time.Duration, request StoreRequest, result StoreResult) error {
	configuration, won := d.coordinator.Result(now, request, result)
	if configuration == nil {
		return nil
	}
	adopted := d.Core.Adopt(*configuration)
	if won && adopted {
		return d.Core.Campaign(false)
	}
	return nil
}
