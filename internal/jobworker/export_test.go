package jobworker

import (
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
)

// SetWorkers sets the registered workers, for tests without a store.
func (w *Worker) SetWorkers(listed []jobrecord.Worker) {
	workers := map[ident.Node]jobrecord.Worker{}
	for _, worker := range listed {
		workers[worker.Node] = worker
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.setWorkers(workers)
}
