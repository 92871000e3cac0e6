package jobworker

import (
	"cmp"
	"maps"
	"slices"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
)

// roster is what a worker derives from the list of registered workers. It is made once for each list and not changed.
type roster struct {
	// listed are the workers, ordered by name.
	listed []jobrecord.Worker
	// zones are their zones, by address.
	zones map[string]ident.Zone
	// sources are the workers to ask for what the store says, in order.
	sources []jobrecord.Worker
	// mirrors are the workers to choose from for second copies of output: those of the same zone, because traffic between zones
	// costs money, or all others if there are none.
	mirrors []ident.Node
	// reader means that this worker is one of those that others ask, relay that it is the one that its zone asks.
	reader, relay bool
}

func newRoster(node ident.Node, zone ident.Zone, workers map[ident.Node]jobrecord.Worker) *roster {
	made := &roster{
		listed: slices.SortedFunc(maps.Values(workers), func(first, second jobrecord.Worker) int { return cmp.Compare(first.Node, second.Node) }),
		zones:  make(map[string]ident.Zone, len(workers)),
		reader: slices.Contains(firstByName(workers, MaxReaders), node),
	}
	for _, worker := range made.listed {
		made.zones[worker.Address] = worker.Zone
	}
	for _, source := range readersFor(node, zone, workers) {
		made.sources = append(made.sources, workers[source])
	}
	relay, found := relayOf(zone, workers)
	made.relay = found && relay == node
	made.mirrors = mirrorsOf(node, zone, made.listed)
	return made
}

// mirrorsOf returns the workers that may store second copies of a worker's output.
func mirrorsOf(node ident.Node, zone ident.Zone, listed []jobrecord.Worker) []ident.Node {
	var sameZone, otherZones []ident.Node
	for _, worker := range listed {
		switch {
		case worker.Node == node:
		case worker.Zone == zone:
			sameZone = append(sameZone, worker.Node)
		default:
			otherZones = append(otherZones, worker.Node)
		}
	}
	if len(sameZone) == 0 {
		return otherZones
	}
	return sameZone
}

// rosterNow returns the roster of the registered workers. The caller must hold the mutex.
func (w *Worker) rosterNow() *roster {
	if w.roster == nil {
		w.roster = newRoster(w.Node, w.Zone, w.workers)
	}
	return w.roster
}

// setWorkers stores the registered workers. The caller must hold the mutex.
func (w *Worker) setWorkers(workers map[ident.Node]jobrecord.Worker) {
	if maps.Equal(w.workers, workers) {
		return
	}
	w.workers, w.roster = maps.Clone(workers), nil
	w.ownersOfRunners().SetWorkers(w.workers)
	w.removeLenders(workers)
}

// Registered returns the workers in this node's view, ordered by name. The list must not be changed, and is the same one until the
// workers change.
func (w *Worker) Registered() []jobrecord.Worker {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.rosterNow().listed
}

// ZoneOf returns the zone of the registered worker at an address. It returns false for an unknown address.
func (w *Worker) ZoneOf(address string) (ident.Zone, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	zone, known := w.rosterNow().zones[address]
	return zone, known
}

// minRelayedWorkers is the number of workers from which a zone has a relay. In a smaller zone the step through the relay would
// cost more time than it saves calls between zones.
const minRelayedWorkers = 8

// readersFor returns the workers that a worker asks for what the store says, in order: the relay of its zone, unless it is the
// relay or a reader itself, and the readers of the fleet. A relay asks the readers, so that each fact crosses into a zone
// once, and holds what it knows for the workers of its zone as a reader does.
func readersFor(node ident.Node, zone ident.Zone, workers map[ident.Node]jobrecord.Worker) []ident.Node {
	readers := firstByName(workers, MaxReaders)
	relay, found := relayOf(zone, workers)
	if !found || relay == node || slices.Contains(readers, node) {
		return readers
	}
	others := slices.DeleteFunc(readers, func(reader ident.Node) bool { return reader == relay })
	return append([]ident.Node{relay}, others...)
}

// relayOf returns the first worker of a zone by name, or false if the zone needs no relay.
func relayOf(zone ident.Zone, workers map[ident.Node]jobrecord.Worker) (relay ident.Node, found bool) {
	count := 0
	for node, worker := range workers {
		if worker.Zone != zone {
			continue
		}
		count++
		if relay == "" || node < relay {
			relay = node
		}
	}
	return relay, count >= minRelayedWorkers
}

// firstByName returns the first nodes by name, at most limit of them.
func firstByName(workers map[ident.Node]jobrecord.Worker, limit int) []ident.Node {
	first := make([]ident.Node, 0, limit+1)
	for node := range workers {
		position, _ := slices.BinarySearch(first, node)
		if position == limit {
			continue
		}
		first = slices.Insert(first, position, node)
		first = first[:min(len(first), limit)]
	}
	return first
}
