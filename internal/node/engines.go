package node

import (
	"net/http"
	"sync"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/engine/openaihttp"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/machine"
)

// engineDirectory keeps one adapter for each runner on the machine list. It is safe for concurrent use.
type engineDirectory struct {
	client *http.Client

	mutex   sync.RWMutex
	entries map[ident.Runner]engineEntry
}

type engineEntry struct {
	address string
	engine  engine.Engine
}

func newEngineDirectory() *engineDirectory {
	return &engineDirectory{client: openaihttp.NewHTTPClient(), entries: map[ident.Runner]engineEntry{}}
}

// Engine returns the adapter of a runner, or false if the runner is not on the list.
func (d *engineDirectory) Engine(runner ident.Runner) (engine.Engine, bool) {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	entry, known := d.entries[runner]
	return entry.engine, known
}

// Update takes a reading of the machine list. A runner whose address changed gets a new adapter; calls under way keep
// the old one.
func (d *engineDirectory) Update(list machine.List) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	entries := make(map[ident.Runner]engineEntry, len(list.Runners))
	for _, runner := range list.Runners {
		entries[runner.ID] = d.entryFor(runner)
	}
	d.entries = entries
}

func (d *engineDirectory) entryFor(runner machine.Runner) engineEntry {
	existing, known := d.entries[runner.ID]
	if known && existing.address == runner.Address {
		return existing
	}
	return engineEntry{address: runner.Address, engine: openaihttp.New(runner.Address, d.client)}
}

func (d *engineDirectory) empty() bool {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	return len(d.entries) == 0
}
