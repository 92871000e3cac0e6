package jobpeer_test

import (
	"path/filepath"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
)

// restart stops the worker's process and starts it again after a delay, with its disk or an empty one.
func (w *intakeWorker) restart(after time.Duration, keepsDisk bool) {
	w.stop()
	time.Sleep(after)
	if !keepsDisk {
		w.folder = filepath.Join(w.site.t.TempDir(), "handoff")
	}
	w.start(true)
}

// fault injects a fault into a site for a while.
type fault func(s *intake, duration time.Duration)

type namedFault struct {
	name   string
	inject fault
}

// storeOutage makes the store unresponsive for a random part of the nodes, or has it refuse their calls.
func storeOutage(unresponsive bool, part float64) fault {
	return func(s *intake, duration time.Duration) {
		var affected []*intakeStore
		for _, store := range s.stores() {
			if s.draw() < part {
				affected = append(affected, store)
			}
		}
		set := func(active bool) {
			for _, store := range affected {
				if unresponsive {
					store.setUnresponsive(active)
				} else {
					store.SetFaults(kvtest.PagedFaults{Down: active})
				}
			}
		}
		set(true)
		time.Sleep(duration)
		set(false)
	}
}

// unansweredWrites has the store apply some writes without an answer, immediately or seconds later.
func unansweredWrites(late bool) fault {
	return func(s *intake, duration time.Duration) {
		for _, store := range s.stores() {
			if late {
				store.SetFaults(kvtest.PagedFaults{DelayNext: 2})
			} else {
				store.SetFaults(kvtest.PagedFaults{LoseNext: 2})
			}
		}
		time.Sleep(duration)
		for _, store := range s.stores() {
			store.SetFaults(kvtest.PagedFaults{})
			store.ApplyDelayed()
		}
	}
}

func slowStore(s *intake, duration time.Duration) {
	for _, store := range s.stores() {
		store.setDelay(40 * storeCall)
	}
	time.Sleep(duration)
	for _, store := range s.stores() {
		store.setDelay(storeCall)
	}
}

func unresponsiveWorker(s *intake, duration time.Duration) {
	affected := s.drawWorker()
	affected.setUnresponsive(true)
	time.Sleep(duration)
	affected.setUnresponsive(false)
}

func killedWorker(s *intake, duration time.Duration) { s.drawWorker().restart(duration/4, true) }

func allKilled(s *intake, duration time.Duration) {
	var restarts sync.WaitGroup
	for _, w := range s.workers {
		restarts.Go(func() { w.restart(duration/4, true) })
	}
	restarts.Wait()
}

func lostDisk(s *intake, duration time.Duration) { s.drawWorker().restart(duration/4, false) }

func (s *intake) draw() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.Float64()
}

func (s *intake) drawWorker() *intakeWorker { return s.workers[int(s.draw()*float64(len(s.workers)))] }

// Faults that are drawn, up to one of each group at the same time. Except for allKilled, they affect one worker at a time: the
// deployment tolerates the loss of one.
var (
	storeFaults = []namedFault{
		{"unresponsive store", storeOutage(true, 1)}, {"store refuses", storeOutage(false, 1)},
		{"unresponsive store for some nodes", storeOutage(true, 0.4)}, {"store refuses some nodes", storeOutage(false, 0.4)},
		{"lost answers", unansweredWrites(false)}, {"late writes", unansweredWrites(true)}, {"slow store", slowStore},
	}
	workerFaults = []namedFault{
		{"unresponsive worker", unresponsiveWorker}, {"killed worker", killedWorker}, {"lost disk", lostDisk}, {"all workers killed", allKilled},
	}
)
