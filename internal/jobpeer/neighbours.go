package jobpeer

import (
	"slices"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
)

const (
	// answersFor is how long a worker that answered a report is known to be at work.
	answersFor = time.Second
	// unlistedFor is how long the workers of this zone stay while the list has none of them: until the zone has its registrations
	// back, which lapsed while it was cut off from the store, and every node has heard of it.
	unlistedFor = 4 * time.Second
)

// neighbours keeps the workers of this node's own zone in use when all of them vanish from the list at once though they answer: their
// registrations lapsed, and they are back as soon as they have the store again. Otherwise all nodes of the zone would tell workers of other
// zones of their work for a moment, one sooner than the other, and none of those told would know how full the runners are. The zero
// neighbours knows none. It is safe for concurrent use.
type neighbours struct {
	mutex sync.Mutex
	// last are the workers of the zone before all of them vanished from the list, vanished is when that was; zero once they are back.
	last     []jobrecord.Worker
	vanished time.Time
	// heard is when each of them was last asked and answered, by address.
	heard map[string]time.Time
}

// answered notes that a worker answered a report.
func (n *neighbours) answered(address string, asked time.Time) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.heard == nil {
		n.heard = map[string]time.Time{}
	}
	n.heard[address] = asked
}

// workers returns the workers to go by, given those that are listed. While the zone gets its registrations back, one after the other, those
// that lack theirs stay: the owners of its runners would change with each.
func (n *neighbours) workers(zone ident.Zone, listed []jobrecord.Worker, now time.Time) []jobrecord.Worker {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	near := slices.DeleteFunc(slices.Clone(listed), func(worker jobrecord.Worker) bool { return worker.Zone != zone })
	if len(near) == 0 && n.vanished.IsZero() {
		n.vanished = now
	}
	if n.vanished.IsZero() || now.Sub(n.vanished) >= unlistedFor {
		n.forgetVanished(near)
		return listed
	}
	lacking := 0
	for _, worker := range n.last {
		if slices.Contains(near, worker) {
			continue
		}
		lacking++
		if now.Sub(n.heard[worker.Address]) < answersFor {
			listed = append(listed, worker)
		}
	}
	if lacking == 0 {
		n.forgetVanished(near)
	}
	return listed
}

// forgetVanished goes by the list again. The caller holds the mutex.
func (n *neighbours) forgetVanished(near []jobrecord.Worker) {
	n.last = near
	if len(near) > 0 {
		n.vanished = time.Time{}
	}
}
