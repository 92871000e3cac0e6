package load

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/lab/enginesim"
)

func TestPlanDependsOnSeedAlone(t *testing.T) {
	options := Options{Rate: 50, Duration: time.Minute, Seed: 7, BatchEvery: 8 * time.Second, BatchItems: 3, NotRepeatable: 0.5}
	first, second := Plan(options), Plan(options)
	assert.Equal(t, fmt.Sprint(first), fmt.Sprint(second))
	assert.Equal(t, len(first.Batch), 8)
	options.Seed = 8
	assert.Assert(t, fmt.Sprint(Plan(options)) != fmt.Sprint(first))
}

func TestPlanFollowsRates(t *testing.T) {
	schedule := Plan(Options{
		Rate:     20,
		Duration: 100 * time.Second,
		Surges:   []Surge{{At: 50 * time.Second, For: 50 * time.Second, Rate: 100}},
		Seed:     1,
	})
	before := 0
	for index, arrival := range schedule.Online {
		assert.Assert(t, index == 0 || arrival.At >= schedule.Online[index-1].At)
		if arrival.At < 50*time.Second {
			before++
		}
	}
	assert.Assert(t, before > 900 && before < 1100, "%d", before)
	during := len(schedule.Online) - before
	assert.Assert(t, during > 4700 && during < 5300, "%d", during)
}

func startEngine(t *testing.T, faults enginesim.Faults) *enginesim.Engine {
	t.Helper()
	running := enginesim.New(enginesim.Options{TimeScale: 20, Seed: 1})
	_, err := running.Start()
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, running.Stop()) })
	running.SetFaults(faults)
	return running
}

func runAgainst(t *testing.T, running *enginesim.Engine) *Report {
	t.Helper()
	report, err := Start(t.Context(), Options{
		Targets:       []string{"http://" + running.Address()},
		Model:         "base",
		Rate:          50,
		Duration:      time.Second,
		Seed:          1,
		NotRepeatable: 0.5,
		EngineFaults:  []string{running.FaultAddress()},
	})
	assert.NilError(t, err)
	return report
}

// The online ledger must tell every kind of damage from a whole answer.
func TestOnlineLedger(t *testing.T) {
	cases := []struct {
		name   string
		faults enginesim.Faults
		count  func(OnlineLedger) int
	}{
		{"whole", enginesim.Faults{}, func(l OnlineLedger) int { return l.Completed }},
		{"cut", enginesim.Faults{CutProbability: 1}, func(l OnlineLedger) int { return l.Cut }},
		{"doubled chunks", enginesim.Faults{Duplicate: 1}, func(l OnlineLedger) int { return l.Wrong }},
		{"refused", enginesim.Faults{Refuse: 1}, func(l OnlineLedger) int { return l.Refused["busy not_run=true"] }},
		{"dropped", enginesim.Faults{DropBefore: 1}, func(l OnlineLedger) int { return l.Failed }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			report := runAgainst(t, startEngine(t, test.faults))
			assert.Assert(t, report.Online.Planned > 0)
			assert.Equal(t, test.count(report.Online), report.Online.Planned, "%+v", report.Online)
			assert.Equal(t, report.Online.DoubledRuns, 0)
		})
	}
}

// resultFor returns an output line with an answer of the right length to the body.
func resultFor(customID, answer string) string {
	const line = `{"custom_id":%q,"response":{"status_code":200,"body":{"choices":[{"message":{"content":%q}}]}}}` + "\n"
	return fmt.Sprintf(line, customID, answer)
}

// Every item is booked once, under the name of its damage.
func TestItemChecker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bodies := map[string][]byte{}
		var expected BatchLedger
		file := ""
		for index := range rapid.IntRange(1, 30).Draw(t, "items") {
			customID := fmt.Sprintf("item-%d", index)
			body := promptShape{identity: uint64(index), tokens: 4, answer: 3}.chat("m", false, true)
			bodies[customID] = body
			right := resultFor(customID, enginesim.Expected(body, 3))
			switch rapid.SampledFrom([]string{"right", "lost", "doubled", "wrong", "failed", "cancelled", "unknown", "foreign"}).Draw(t, "fate") {
			case "right":
				file += right
				expected.Completed++
			case "lost":
				expected.Lost++
			case "doubled":
				file += right + right
				expected.Completed++
				expected.Doubled++
			case "wrong":
				file += resultFor(customID, "x")
				expected.Completed++
				expected.Wrong++
			case "failed":
				file += fmt.Sprintf(`{"custom_id":%q,"response":{"status_code":500}}`+"\n", customID)
				expected.Failed++
			case "cancelled":
				file += fmt.Sprintf(`{"custom_id":%q,"response":null,"error":{"code":"batch_cancelled"}}`+"\n", customID)
				expected.Cancelled++
			case "unknown":
				file += fmt.Sprintf(`{"custom_id":%q,"response":null,"error":{"code":"outcome_unknown"}}`+"\n", customID)
				expected.Unknown++
			case "foreign":
				file += right + resultFor("never sent", "x")
				expected.Completed++
				expected.Foreign++
			}
		}
		checker := newItemChecker(bodies)
		assert.NilError(t, checker.file([]byte(file)))
		var ledger BatchLedger
		checker.book(&ledger, "completed")
		ledger.Details = nil
		assert.DeepEqual(t, ledger, expected)
	})
}
