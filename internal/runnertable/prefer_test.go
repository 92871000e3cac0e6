package runnertable

import (
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

// preferringTable returns a table of runners with eight slots each, of which the first few are preferred.
func preferringTable(size, preferred int, now time.Time) *Table {
	table := New("a")
	listed := fleetOf(size)
	table.Replace(listed, now, true)
	var ids []ident.Incarnation
	for _, runner := range listed[:preferred] {
		ids = append(ids, runner.ID)
	}
	table.Prefer(ids)
	return table
}

// TestChoiceConsidersThePreferredRunnersWhileOneIsFree fills the preferred runners of fleets of several sizes: until they are
// full a choice considers no other one, then all.
func TestChoiceConsidersThePreferredRunnersWhileOneIsFree(t *testing.T) {
	const preferred, slots = 5, 8
	for _, size := range []int{100, 1000, 10000} {
		now, random := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 1))
		table := preferringTable(size, preferred, now)
		request := PickRequest{Service: "s", RefusedBy: map[ident.Incarnation]bool{}}
		for index := range preferred * slots {
			assert.Equal(t, len(table.considered(request, now)), preferred, "request %d", index)
			flight, err := table.Pick(request, now, random)
			assert.NilError(t, err)
			assert.Assert(t, strings.Compare(string(flight.Runner.ID), "r-00005") < 0, "%s", flight.Runner.ID)
		}
		assert.Equal(t, len(table.considered(request, now)), size)
		flight, err := table.Pick(request, now, random)
		assert.NilError(t, err)
		assert.Assert(t, strings.Compare(string(flight.Runner.ID), "r-00005") >= 0, "the full runners are not chosen")
		flight.End()
	}
}

// TestPreferenceLeavesTheRulesOfAChoice has preferred runners that are excluded, leaving, removed or ejected.
func TestPreferenceLeavesTheRulesOfAChoice(t *testing.T) {
	now, random := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 1))
	table := preferringTable(3, 1, now)
	excluded := PickRequest{Service: "s", Exclude: map[ident.Incarnation]bool{"r-00000": true}}
	flight, err := table.Pick(excluded, now, random)
	assert.NilError(t, err)
	assert.Assert(t, flight.Runner.ID != "r-00000")
	listed := fleetOf(3)
	listed[0].State = work.Draining
	table.Replace(listed, now, true)
	flight, err = table.Pick(PickRequest{Service: "s"}, now, random)
	assert.NilError(t, err)
	assert.Assert(t, flight.Runner.ID != "r-00000")
	table.Replace(listed[1:], now, true)
	flight, err = table.Pick(PickRequest{Service: "s"}, now, random)
	assert.NilError(t, err)
	assert.Assert(t, flight.Runner.ID != "r-00000")
	table.Replace(nil, now, true)
	_, err = table.Pick(PickRequest{Service: "s"}, now, random)
	assert.Assert(t, errors.Is(err, ErrNoRunner))
}

// TestLongSharedPrefixGoesToTheRunnerOfAllNodes checks that two nodes with different preferences send a shared prefix to the
// same runner.
func TestLongSharedPrefixGoesToTheRunnerOfAllNodes(t *testing.T) {
	now := time.Unix(1000, 0)
	prefix := []work.Part{{ID: "shared", Tokens: 6000}, {ID: "own", Tokens: 10}}
	request := PickRequest{Service: "s", Prefix: prefix, PromptTokens: 6010}
	var chosen []ident.Incarnation
	for _, preferred := range []int{0, 1, 20} {
		table := preferringTable(100, preferred, now)
		flight, err := table.Pick(request, now, rand.New(rand.NewPCG(1, 1)))
		assert.NilError(t, err)
		chosen = append(chosen, flight.Runner.ID)
	}
	assert.Equal(t, chosen[0], chosen[1])
	assert.Equal(t, chosen[0], chosen[2])
}
