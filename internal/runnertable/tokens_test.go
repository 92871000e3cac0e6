package runnertable_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// runnerMemory is the memory of a runner of eight slots, in tokens. It does not limit requests of 450 prompt and
	// 20 output tokens.
	runnerMemory = 101_495
	// longPrompt is a prompt length of which eight exceed the memory.
	longPrompt = 20_000
)

// twoRunners returns a table of two runners with eight slots each.
func twoRunners(now time.Time) *runnertable.Table {
	table := runnertable.New("z")
	table.Replace([]work.Runner{{ID: "1", Service: "s", Zone: "z", Slots: 8}, {ID: "2", Service: "s", Zone: "z", Slots: 8}}, now, true)
	return table
}

// pickLong sends requests with long prompts until no runner takes another one, at most as many as there are slots.
func pickLong(t *testing.T, table *runnertable.Table, now time.Time) map[ident.Incarnation][]*runnertable.Flight {
	t.Helper()
	picked := map[ident.Incarnation][]*runnertable.Flight{}
	request := runnertable.PickRequest{Service: "s", PromptTokens: longPrompt, Tokens: longPrompt, RefusedBy: map[ident.Incarnation]bool{}}
	for range 16 {
		flight, err := table.Pick(request, now, rand.New(rand.NewPCG(1, 1)))
		if err != nil {
			assert.ErrorIs(t, err, runnertable.ErrFull)
			return picked
		}
		picked[flight.Runner.ID] = append(picked[flight.Runner.ID], flight)
	}
	return picked
}

// TestLongPromptsStayWithinTheMemoryOfRunners sends a peak of requests with 20,000 tokens to runners with memory for
// 101,495: each gets four, and the others wait until one of these ends. A runner that exceeds its memory crashes and
// loses all its requests.
func TestLongPromptsStayWithinTheMemoryOfRunners(t *testing.T) {
	now := time.Unix(1000, 0)
	table := twoRunners(now)
	table.SetMemory("1", runnerMemory)
	table.SetMemory("2", runnerMemory)
	picked := pickLong(t, table, now)
	assert.Equal(t, len(picked["1"]), 4)
	assert.Equal(t, len(picked["2"]), 4)
	picked["2"][0].End()
	picked["2"][0].End()
	assert.Equal(t, len(pickLong(t, table, now)["2"]), 1)
}

// TestWhatOthersHoldAtARunnerCounts has the owner of one runner report 60,000 tokens of other nodes there.
func TestWhatOthersHoldAtARunnerCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	table := twoRunners(now)
	table.SetMemory("2", runnerMemory)
	table.UpdateShares([]demand.Share{{Runner: "1", Tokens: 60_000, TokenCapacity: runnerMemory}, {Runner: "2"}}, now)
	picked := pickLong(t, table, now)
	assert.Equal(t, len(picked["1"]), 1)
	assert.Equal(t, len(picked["2"]), 4)
}

// TestRunnerThatTellsNoMemoryIsNotBounded sends as many long prompts as there are slots to runners with unknown
// memory: all slots of a runner are used.
func TestRunnerThatTellsNoMemoryIsNotBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	assert.Equal(t, len(pickLong(t, twoRunners(now), now)["1"]), 8)
}

// TestSharedPartsCountOnce has requests share 18,000 of 20,000 prompt tokens, at a runner with memory for 45,000: all
// slots are used, with 34,160 tokens in total, although the prompts add up to 160,000.
func TestSharedPartsCountOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	table := twoRunners(now)
	table.SetMemory("1", 45_000)
	request := runnertable.PickRequest{
		Service: "s", PromptTokens: longPrompt, Tokens: longPrompt + 20,
		Exclude: map[ident.Incarnation]bool{"2": true}, RefusedBy: map[ident.Incarnation]bool{},
	}
	for index := range 8 {
		request.Prefix = []work.Part{{ID: "shared", Tokens: longPrompt - 2000}, {ID: fmt.Sprint(index), Tokens: 2000}}
		_, err := table.Pick(request, now, rand.New(rand.NewPCG(1, 1)))
		assert.NilError(t, err)
	}
}

// TestIdleRunnerIsAskedWhateverTheSize checks that an idle runner gets any request, even one larger than its memory as
// known here. The runner itself decides, because the table does not know all parts it has cached, and a request that
// no runner may get would wait in vain.
func TestIdleRunnerIsAskedWhateverTheSize(t *testing.T) {
	now := time.Unix(1000, 0)
	table := twoRunners(now)
	table.SetMemory("1", longPrompt/2)
	table.SetMemory("2", longPrompt/2)
	picked := pickLong(t, table, now)
	assert.Equal(t, len(picked["1"])+len(picked["2"]), 2)
}

// TestTokensAreReportedWithTheOnlineWork checks the tokens that the owner of a runner adds up.
func TestTokensAreReportedWithTheOnlineWork(t *testing.T) {
	now := time.Unix(1000, 0)
	table := twoRunners(now)
	flight, err := table.StartAt("1", runnertable.PickRequest{Service: "s", Tokens: 470}, now)
	assert.NilError(t, err)
	_, err = table.StartAt("1", runnertable.PickRequest{Service: "s", Class: runnertable.Batch, Tokens: 300}, now)
	assert.NilError(t, err)
	for _, count := range table.Online(now) {
		assert.Equal(t, count.Tokens, 470)
	}
	own, _ := table.MemoryUse("1")
	assert.Equal(t, own, 770)
	flight.End()
	own, _ = table.MemoryUse("1")
	assert.Equal(t, own, 300)
}

// TestRequestThatRanAlreadyAsksForMemory has 80,000 of 101,495 tokens in use at each runner. A stream that broke off
// elsewhere with 20,000 tokens gets no runner, because one with 100,000 would be close to a crash; with 15,000 it gets
// one, although a new request, which can wait, would not.
func TestRequestThatRanAlreadyAsksForMemory(t *testing.T) {
	now := time.Unix(1000, 0)
	table := twoRunners(now)
	table.SetMemory("1", runnerMemory)
	table.SetMemory("2", runnerMemory)
	picked := pickLong(t, table, now)
	resumed := func(tokens int) (*runnertable.Flight, error) {
		return table.Pick(runnertable.PickRequest{Service: "s", PromptTokens: tokens - 1000, Tokens: tokens}, now, rand.New(rand.NewPCG(1, 1)))
	}
	_, err := resumed(20_000)
	assert.ErrorIs(t, err, runnertable.ErrFull)
	_, err = resumed(15_000)
	assert.NilError(t, err)
	picked["2"][0].End()
	picked["2"][1].End()
	flight, err := resumed(20_000)
	assert.NilError(t, err)
	assert.Equal(t, flight.Runner.ID, ident.Incarnation("2"))
}
