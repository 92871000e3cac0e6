package jobpeer

import (
	"slices"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// answerTTL is how long a worker counts as available after it answered a report.
	answerTTL = time.Second
	// unlistedGrace is how long this zone's workers remain in use while the list has none of them. It covers the time until a
	// zone that was partitioned from the store has its registrations back and every node has read them.
	unlistedGrace = 4 * time.Second
)

// zoneWorkers keeps this zone's workers in use when all of them disappear from the list at once but still answer. Their
// registrations expired and return as soon as they reach the store. Without this, all nodes of the zone would briefly report
// their work to workers of other zones, at different times, and none of those workers would know the load of the runners. The
// zero value knows no workers. It is safe for concurrent use.
type zoneWorkers struct {
	mutex sync.Mutex
	// listed is the last list, if it could be used as it is.
	listed []jobrecord.Worker
	// lastListed are the zone's workers before all of them disappeared from the list; vanishedSince is when that happened, zero once they
	// are back.
	lastListed    []jobrecord.Worker
	vanishedSince time.Time
	// lastAnswered is when the last answered report was sent to each worker, by address.
	lastAnswered map[string]time.Time
}

// answered records that a worker answered a report sent at asked.
func (z *zoneWorkers) answered(address string, asked time.Time) {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	if z.lastAnswered == nil {
		z.lastAnswered = map[string]time.Time{}
	}
	z.lastAnswered[address] = asked
}

// workers returns the workers to use, given the listed ones. While the zone's registrations return one by one, answering
// workers without a registration stay in use: otherwise the owners of the zone's runners would change with every registration.
func (z *zoneWorkers) workers(zone ident.Zone, listed []jobrecord.Worker, now time.Time) []jobrecord.Worker {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	if work.SameList(z.listed, listed) {
		return listed
	}
	z.listed = nil
	near := slices.DeleteFunc(slices.Clone(listed), func(worker jobrecord.Worker) bool { return worker.Zone != zone })
	if len(near) == 0 && z.vanishedSince.IsZero() {
		z.vanishedSince = now
	}
	if z.vanishedSince.IsZero() || now.Sub(z.vanishedSince) >= unlistedGrace {
		z.useListOnly(near)
		if len(near) > 0 {
			z.listed = listed
		}
		return listed
	}
	lacking := 0
	for _, worker := range z.lastListed {
		if slices.Contains(near, worker) {
			continue
		}
		lacking++
		if now.Sub(z.lastAnswered[worker.Address]) < answerTTL {
			listed = append(listed, worker)
		}
	}
	if lacking == 0 {
		z.useListOnly(near)
	}
	return listed
}

// useListOnly returns to using the list alone. The caller holds the mutex.
func (z *zoneWorkers) useListOnly(near []jobrecord.Worker) {
	z.lastListed = near
	if len(near) > 0 {
		z.vanishedSince = time.Time{}
	}
}
