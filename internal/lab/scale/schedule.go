package scale

import (
	"fmt"
	"runtime"
	"syscall"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/membership"
)

// What happens to a fleet on an ordinary day, from the size the system is designed for.
const (
	day                 = 24 * time.Hour
	replacementsOfADay  = 140
	configChangesOfADay = 520
)

// Schedule is a run in simulated time.
type Schedule struct {
	Shape Shape
	Seed  uint64
	// Steady is the length of the phase with an ordinary day's changes; Fault is how long a zone is lost, and a region
	// cut.
	Steady, Fault time.Duration
	// Loss is the share of messages lost throughout.
	Loss float64
}

// run is a schedule under way.
type run struct {
	schedule Schedule
	fleet    *Simulation
	cut      bool
	revision int64
	started  int
	results  []Measurement
}

// Run plays the schedule: the start of the whole fleet, steady service with the day's replacements and configuration
// changes at their rates, the loss and return of a zone, and the cut and heal between a region and the others.
func (s Schedule) Run() []Measurement {
	r := &run{schedule: s, started: s.Shape.Nodes}
	r.fleet = NewFleet(s.Seed, s.Shape, membership.DefaultConfig(), r.network)
	r.fleet.Encode = true
	r.measure("start", func() time.Duration { return r.settle(2 * time.Minute) })
	r.measure("steady", r.steady)
	r.zoneLoss()
	r.regionCut()
	return r.results
}

func (r *run) network(from, to membership.Self) Link {
	link := Healthy(from, to)
	link.Loss = r.schedule.Loss
	link.Cut = r.cut && (from.Region == "region-0") != (to.Region == "region-0")
	return link
}

// settle lets time pass until all agree, and returns how long that took; the phase goes on to its full length.
func (r *run) settle(length time.Duration) time.Duration {
	start := r.fleet.Now()
	if !r.fleet.RunUntil(length, r.fleet.Agree) {
		return -1
	}
	took := r.fleet.Now().Sub(start)
	r.fleet.Run(length - took)
	return took
}

// steady replaces machines and changes the configuration at an ordinary day's rates.
func (r *run) steady() time.Duration {
	end := r.fleet.Now().Add(r.schedule.Steady)
	nextReplacement := r.fleet.Now().Add(day / replacementsOfADay / 2)
	nextChange := r.fleet.Now().Add(day / configChangesOfADay / 2)
	for r.fleet.Now().Before(end) {
		if !r.fleet.Now().Before(nextReplacement) {
			nextReplacement = nextReplacement.Add(day / replacementsOfADay)
			r.replace()
		}
		if !r.fleet.Now().Before(nextChange) {
			nextChange = nextChange.Add(day / configChangesOfADay)
			r.changeConfig()
		}
		r.fleet.Run(time.Second)
	}
	return r.settle(time.Minute)
}

// replace ends a machine, by plan or by a crash in turn, and starts another in its zone.
func (r *run) replace() {
	running := r.running("")
	victim := running[r.fleet.Random().IntN(len(running))]
	if r.started%2 == 0 {
		r.fleet.Stop(victim)
	} else {
		victim.Core.Leave()
		r.fleet.Exit(victim)
	}
	replacement := r.schedule.Shape.Place(r.started)
	replacement.Zone, replacement.Region = victim.Self.Zone, victim.Self.Region
	r.started++
	r.fleet.Add(replacement, r.schedule.Shape.Seeds())
}

func (r *run) changeConfig() {
	r.revision++
	for _, node := range r.running("") {
		node.Core.SetAttributes(membership.Attributes{ConfigRevision: r.revision})
	}
}

// running returns the nodes that are up, of one zone or of all.
func (r *run) running(zone ident.Zone) []*Hollow {
	var nodes []*Hollow
	for _, node := range r.fleet.Order {
		if node.Up && (zone == "" || node.Self.Zone == zone) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

func (r *run) zoneLoss() {
	lost := r.running(r.schedule.Shape.Place(1).Zone)
	for _, node := range lost {
		r.fleet.Stop(node)
	}
	r.measure("zone lost", func() time.Duration { return r.settle(r.schedule.Fault) })
	for _, node := range lost {
		r.fleet.Start(node, r.schedule.Shape.Seeds())
	}
	r.measure("zone back", func() time.Duration { return r.settle(2 * time.Minute) })
}

func (r *run) regionCut() {
	r.cut = true
	r.measure("region cut", func() time.Duration {
		start := r.fleet.Now()
		seen := r.fleet.RunUntil(r.schedule.Fault, r.everyoneSeesTheCut)
		took := r.fleet.Now().Sub(start)
		r.fleet.Run(r.schedule.Fault - took)
		if !seen {
			return -1
		}
		return took
	})
	r.cut = false
	r.measure("region healed", func() time.Duration { return r.settle(2 * time.Minute) })
}

// everyoneSeesTheCut says whether each node holds exactly the zones on the other side for cut off.
func (r *run) everyoneSeesTheCut() bool {
	regions := map[ident.Zone]ident.Region{}
	for _, node := range r.running("") {
		regions[node.Self.Zone] = node.Self.Region
	}
	for _, node := range r.running("") {
		other := 0
		for _, region := range regions {
			if (region == "region-0") != (node.Self.Region == "region-0") {
				other++
			}
		}
		if len(node.Core.View().CutOff) != other {
			return false
		}
	}
	return true
}

// measure runs one phase and keeps what it cost.
func (r *run) measure(phase string, act func() time.Duration) {
	before := r.traffic()
	start, processor := r.fleet.Now(), processorTime()
	settled := act()
	seconds := r.fleet.Now().Sub(start).Seconds()
	spent := processorTime() - processor
	nodes := float64(len(r.running("")))
	result := Measurement{
		Phase: phase, Nodes: int(nodes), Seconds: seconds, Settled: settled,
		CoreShare:   spent.Seconds() / seconds / nodes,
		MemoryBytes: liveHeap() / nodes,
	}
	for node, after := range r.traffic() {
		out := float64(after.BytesOut-before[node].BytesOut) / seconds
		result.MessagesOut += float64(after.MessagesOut-before[node].MessagesOut) / seconds / nodes
		result.BytesOut += out / nodes
		result.BytesIn += float64(after.BytesIn-before[node].BytesIn) / seconds / nodes
		result.PeakBytesOut = max(result.PeakBytesOut, out)
	}
	r.results = append(r.results, result)
}

func (r *run) traffic() map[ident.Node]Traffic {
	traffic := map[ident.Node]Traffic{}
	for _, node := range r.fleet.Order {
		traffic[node.Self.Node] = node.Traffic
	}
	return traffic
}

// processorTime returns the user and system time the process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(fmt.Sprintf("getrusage: %v", err))
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func liveHeap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
