package runnertable_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

func runnerOfVersion(id ident.Incarnation, version work.Version) work.Runner {
	return work.Runner{ID: id, Service: "s", Zone: "z", Slots: 2, Version: version}
}

// TestVersionsAreRememberedForTheTimeOfAStream guards against a version that is forgotten while streams that it began are in progress, and
// against one that is remembered for ever.
func TestVersionsAreRememberedForTheTimeOfAStream(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	table := runnertable.New("z")
	table.Replace([]work.Runner{runnerOfVersion("a", "v1"), runnerOfVersion("b", "v1")}, now, true)
	assert.DeepEqual(t, table.Versions("s", now), []work.Version{"v1"})
	<-table.NewVersion()
	table.Replace([]work.Runner{runnerOfVersion("a", "v1"), runnerOfVersion("b", "v2")}, now, true)
	<-table.NewVersion()
	assert.DeepEqual(t, table.Versions("s", now), []work.Version{"v1", "v2"})
	table.Replace([]work.Runner{runnerOfVersion("b", "v2")}, now, true)
	assert.DeepEqual(t, table.Versions("s", now.Add(time.Minute)), []work.Version{"v1", "v2"})
	assert.DeepEqual(t, table.Versions("s", now.Add(time.Minute+time.Second)), []work.Version{"v2"})
	later := now.Add(time.Hour)
	table.RememberVersions(map[string][]work.Version{"s": {"v0", "v2"}}, later)
	assert.DeepEqual(t, table.Versions("s", later), []work.Version{"v0", "v2"})
	assert.DeepEqual(t, table.Versions("s", later.Add(2*time.Minute)), []work.Version{"v2"})
}

// TestOnlyTheVersionThatBeganGoesOn guards against a choice of another version, also while all runners of the right one are full or failing,
// and against a guess where a version is unknown.
func TestOnlyTheVersionThatBeganGoesOn(t *testing.T) {
	now := time.Now()
	random := rand.New(rand.NewPCG(1, 1))
	table := runnertable.New("z")
	table.Replace([]work.Runner{
		runnerOfVersion("a", "v1"), runnerOfVersion("b", "v2"), runnerOfVersion("c", "v2"), runnerOfVersion("d", ""), runnerOfVersion("e", ""),
	}, now, true)
	pick := func(origin work.Origin) (*runnertable.Flight, error) {
		return table.Pick(runnertable.PickRequest{Service: "s", Origin: &origin}, now, random)
	}
	for range 20 {
		flight, err := pick(work.Origin{Service: "s", Version: "v1"})
		assert.NilError(t, err)
		assert.Equal(t, flight.Runner.ID, ident.Incarnation("a"), "it waits in the queue of its version")
		flight.Failed(runnertable.NoAnswer, now)
	}
	flight, err := pick(work.OriginOf(runnerOfVersion("e", ""), now))
	assert.NilError(t, err)
	assert.Equal(t, flight.Runner.ID, ident.Incarnation("e"), "only the same incarnation may go on with what is of no known version")
	for _, origin := range []work.Origin{{Service: "s", Version: "v3"}, {Service: "other", Version: "v1"}, {}, work.OriginOf(runnerOfVersion("x", ""), now)} {
		_, err := pick(origin)
		assert.ErrorIs(t, err, runnertable.ErrNoRunner, "%v", origin)
	}
	table.Replace([]work.Runner{runnerOfVersion("a", "v2"), runnerOfVersion("d", "v1")}, now, true)
	flight, err = pick(work.Origin{Service: "s", Version: "v1"})
	assert.NilError(t, err)
	assert.Equal(t, flight.Runner.ID, ident.Incarnation("d"), "an entry that changed its version is of the new one")
}
