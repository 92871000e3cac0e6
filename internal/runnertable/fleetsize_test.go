package runnertable

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

// fleetOf returns a number of ready runners of one zone.
func fleetOf(size int) []work.Runner {
	var listed []work.Runner
	for index := range size {
		listed = append(listed, work.Runner{ID: ident.Incarnation(fmt.Sprintf("r-%05d", index)), Service: "s", Zone: "a", Slots: 8, State: work.Ready})
	}
	return listed
}

// TestReportWalksTheRunnersInUseOnly has requests and failures at a few runners of fleets of several sizes: the reports walk
// those, and none once the requests have ended and the ejections are over.
func TestReportWalksTheRunnersInUseOnly(t *testing.T) {
	for _, size := range []int{100, 1000, 10000} {
		now := time.Unix(1000, 0)
		table := New("a")
		table.Replace(fleetOf(size), now, true)
		var flights []*Flight
		for index := range 5 {
			flight, err := table.StartAt(ident.Incarnation(fmt.Sprintf("r-%05d", index)), PickRequest{Service: "s"}, now)
			assert.NilError(t, err)
			flights = append(flights, flight)
		}
		assert.Equal(t, len(table.Online(now)), 5)
		assert.Equal(t, len(table.inUse), 5)
		assert.Equal(t, len(table.InFlight(Online, now)), 5)
		for _, flight := range flights {
			flight.End()
		}
		flights[0].Failed(Unreachable, now)
		flights[0].Failed(Unreachable, now)
		assert.Equal(t, len(table.Online(now)), 1, "the ejected runner")
		assert.Equal(t, len(table.inUse), 1)
		now = now.Add(longestEjection)
		assert.Equal(t, len(table.Online(now)), 0)
		assert.Equal(t, len(table.inUse), 0)
	}
}

func TestRemovedRunnerIsNotInUse(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New("a")
	table.Replace(fleetOf(3), now, true)
	flight, err := table.StartAt("r-00001", PickRequest{Service: "s"}, now)
	assert.NilError(t, err)
	table.UpdateShares([]demand.Share{{Runner: "r-00001", Rationed: true}}, now)
	assert.Equal(t, len(table.Rationed(now)), 1)
	table.Replace(fleetOf(1), now, true)
	flight.Failed(NoAnswer, now)
	flight.End()
	assert.Equal(t, len(table.inUse), 0)
	assert.Equal(t, len(table.Rationed(now)), 0)
}

// TestUnchangedListAllocatesNothing applies a list again that was applied before, in fleets of several sizes.
func TestUnchangedListAllocatesNothing(t *testing.T) {
	for _, size := range []int{100, 1000, 10000} {
		now := time.Unix(1000, 0)
		table := New("a")
		table.Replace(fleetOf(size), now, true)
		again, generation := fleetOf(size), table.Generation()
		// The least of some runs: other goroutines of the process allocate as well.
		bytes := uint64(math.MaxUint64)
		for range 5 {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			change := table.Replace(again, now, true)
			runtime.ReadMemStats(&after)
			assert.Equal(t, len(change.Added)+len(change.Removed)+len(change.Retained), 0)
			bytes = min(bytes, after.TotalAlloc-before.TotalAlloc)
		}
		assert.Assert(t, bytes < 1024, "%d bytes for %d runners", bytes, size)
		assert.Equal(t, table.Generation(), generation)
	}
}

// TestSameListIsNotWalkedAgain applies one list several times, in fleets of several sizes: it is compared with the runners once,
// unless time alone may change what follows from it, as while a missing runner is kept in use.
func TestSameListIsNotWalkedAgain(t *testing.T) {
	for _, size := range []int{100, 1000, 10000} {
		now := time.Unix(1000, 0)
		table := New("a")
		listed := fleetOf(size)
		for range 5 {
			table.Replace(listed, now, true)
		}
		assert.Equal(t, table.pass, uint64(1))
		table.Replace(listed[1:], now, false)
		assert.Equal(t, table.Count(), size, "the missing runner is kept")
		change := table.Replace(listed[1:], now.Add(time.Second), true)
		assert.Equal(t, len(change.Removed), 1)
		assert.Equal(t, table.pass, uint64(3))
		table.Replace(listed[1:], now.Add(2*time.Second), true)
		assert.Equal(t, table.pass, uint64(3))
	}
}

// TestRepeatedListHasTheEffectOfACopy draws lists with runners that leave, start again, are written late or cannot be read, and
// repeats each at later times: a table that is given the same list has the same runners as one that is given copies.
func TestRepeatedListHasTheEffectOfACopy(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	now := time.Unix(1000, 0)
	repeated, copied := New("a"), New("a")
	for range 500 {
		var listed []work.Runner
		for index := range 6 {
			started := time.UnixMilli(int64(1 + random.IntN(3)))
			id, _ := ident.NewIncarnation(ident.Runner(fmt.Sprint("r-", index)), started)
			state := []work.State{work.Ready, work.Ready, work.Ready, work.Draining, work.Unreadable}[random.IntN(5)]
			if random.IntN(4) > 0 {
				listed = append(listed, work.Runner{ID: id, Service: "s", Zone: "a", Slots: 8, State: state})
			}
		}
		for range 1 + random.IntN(4) {
			now = now.Add(time.Duration(random.IntN(1500)) * time.Millisecond)
			proof := random.IntN(2) == 0
			first, second := repeated.Replace(listed, now, proof), copied.Replace(slices.Clone(listed), now, proof)
			assert.Equal(t, len(first.Removed), len(second.Removed))
			assert.Equal(t, len(first.Retained), len(second.Retained))
			assert.DeepEqual(t, repeated.InZone("a"), copied.InZone("a"))
		}
	}
}

// TestListsAreAppliedAlikeHoweverTheyCome applies lists with additions, removals, changes, duplicates and absences that prove
// nothing, and checks the ordered lists against the runners.
func TestListsAreAppliedAlikeHoweverTheyCome(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	table := New("a")
	for range 300 {
		listed := fleetOf(8)
		random.Shuffle(len(listed), func(i, j int) { listed[i], listed[j] = listed[j], listed[i] })
		listed = listed[:random.IntN(len(listed))]
		for index := range listed {
			listed[index].Zone = ident.Zone([]string{"a", "a", "b"}[random.IntN(3)])
			listed[index].Service = []string{"s", "s", "t"}[random.IntN(3)]
			if random.IntN(4) == 0 {
				listed[index].State = work.Draining
			}
		}
		if len(listed) > 1 && random.IntN(5) == 0 {
			listed[0] = listed[1]
		}
		now = now.Add(time.Second)
		absenceIsProof := random.IntN(2) == 0
		table.Replace(listed, now, absenceIsProof)
		again := table.Replace(listed, now, absenceIsProof)
		assert.Equal(t, len(again.Added)+len(again.Removed), 0)
		inServices, inZones := 0, 0
		for service, entries := range table.services {
			inServices += len(entries)
			for index, known := range entries {
				assert.Assert(t, known.runner.Service == service && table.runners[known.runner.ID] == known)
				assert.Assert(t, index == 0 || entries[index-1].runner.ID < known.runner.ID)
			}
		}
		for zone, entries := range table.byZone {
			inZones += len(entries)
			for _, known := range entries {
				assert.Equal(t, known.runner.Zone, zone)
				assert.Equal(t, table.zones.names[known.zoneIndex], zone)
			}
		}
		assert.Equal(t, inServices, len(table.runners))
		assert.Equal(t, inZones, len(table.runners))
		for _, runner := range listed {
			got, known := table.Runner(runner.ID)
			assert.Assert(t, known)
			assert.Equal(t, got.State, runner.State)
		}
		if absenceIsProof {
			assert.Assert(t, len(table.runners) <= len(listed))
		}
	}
}

// TestChangedListAllocatesByItsChanges applies lists of fleets of several sizes of which 25 runners were replaced.
func TestChangedListAllocatesByItsChanges(t *testing.T) {
	const changed = 25
	var bytes []uint64
	for _, size := range []int{1000, 10000, 20000} {
		now := time.Unix(1000, 0)
		table := New("a")
		table.Replace(fleetOf(size), now, true)
		var before, after runtime.MemStats
		listed := fleetOf(size + changed)[changed:]
		runtime.ReadMemStats(&before)
		change := table.Replace(listed, now.Add(time.Second), true)
		runtime.ReadMemStats(&after)
		assert.Equal(t, len(change.Added), changed)
		assert.Equal(t, len(change.Removed), changed)
		bytes = append(bytes, after.TotalAlloc-before.TotalAlloc)
	}
	// One growth of the ordered lists of pointers is allowed for.
	assert.Assert(t, bytes[2] <= bytes[0]+4*8*20000, "%d bytes", bytes)
}
