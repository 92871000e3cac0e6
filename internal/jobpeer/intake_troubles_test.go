package jobpeer_test

import (
	"path/filepath"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
)

// restart ends the worker's process and starts it again after a while, with its disk or an empty one.
func (w *intakeWorker) restart(after time.Duration, keepsDisk bool) {
	w.stop()
	time.Sleep(after)
	if !keepsDisk {
		w.folder = filepath.Join(w.site.t.TempDir(), "handoff")
	}
	w.start(true)
}

// trouble is something that happens to a site for a while.
type trouble func(s *intake, lasting time.Duration)

type namedTrouble struct {
	name   string
	happen trouble
}

// away has the store give some nodes no answer, or refuse each call.
func away(silent bool, part float64) trouble {
	return func(s *intake, lasting time.Duration) {
		var struck []*intakeStore
		for _, store := range s.stores() {
			if s.draw() < part {
				struck = append(struck, store)
			}
		}
		set := func(begin bool) {
			for _, store := range struck {
				if silent {
					store.setSilent(begin)
				} else {
					store.SetFaults(kvtest.PagedFaults{Down: begin})
				}
			}
		}
		set(true)
		time.Sleep(lasting)
		set(false)
	}
}

// unanswered has the store do some writes without an answer, at once or seconds later.
func unanswered(late bool) trouble {
	return func(s *intake, lasting time.Duration) {
		for _, store := range s.stores() {
			if late {
				store.SetFaults(kvtest.PagedFaults{DelayNext: 2})
			} else {
				store.SetFaults(kvtest.PagedFaults{LoseNext: 2})
			}
		}
		time.Sleep(lasting)
		for _, store := range s.stores() {
			store.SetFaults(kvtest.PagedFaults{})
			store.ApplyDelayed()
		}
	}
}

func slowStore(s *intake, lasting time.Duration) {
	for _, store := range s.stores() {
		store.setTakes(40 * storeCall)
	}
	time.Sleep(lasting)
	for _, store := range s.stores() {
		store.setTakes(storeCall)
	}
}

func silentWorker(s *intake, lasting time.Duration) {
	struck := s.drawWorker()
	struck.setSilent(true)
	time.Sleep(lasting)
	struck.setSilent(false)
}

func killedWorker(s *intake, lasting time.Duration) { s.drawWorker().restart(lasting/4, true) }

func allKilled(s *intake, lasting time.Duration) {
	var restarts sync.WaitGroup
	for _, w := range s.workers {
		restarts.Go(func() { w.restart(lasting/4, true) })
	}
	restarts.Wait()
}

func lostDisk(s *intake, lasting time.Duration) { s.drawWorker().restart(lasting/4, false) }

func (s *intake) draw() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.Float64()
}

func (s *intake) drawWorker() *intakeWorker { return s.workers[int(s.draw()*float64(len(s.workers)))] }

// Troubles that are drawn one or two beside each other. Of the workers one is struck at a time: the deployment bears the loss of one.
var (
	troublesOfStores = []namedTrouble{
		{"silent store", away(true, 1)}, {"store refuses", away(false, 1)}, {"silent store for some", away(true, 0.4)},
		{"store refuses some", away(false, 0.4)}, {"lost answers", unanswered(false)}, {"late writes", unanswered(true)}, {"slow store", slowStore},
	}
	troublesOfWorkers = []namedTrouble{
		{"silent worker", silentWorker}, {"killed worker", killedWorker}, {"lost disk", lostDisk}, {"all workers killed", allKilled},
	}
)
