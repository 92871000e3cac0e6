package interferencesim

import (
	"fmt"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/lab/enginesim"
)

// measured is what one arm gave between the warm-up and the end of the arrivals.
type measured struct {
	open        bool
	firstTokens []time.Duration
	// gaps counts the times between tokens, in units of gapUnit.
	gaps                      [gapCount]int64
	items, preemptions        int64
	batchTokens, batchPrompts int64
	counters                  enginesim.Counters
	window                    time.Duration
}

const (
	gapUnit  = 20 * time.Microsecond
	gapCount = 1 << 14
)

// token books an online token: its delay if it is the first, otherwise the time since the one before.
func (m *measured) token(delay, gap time.Duration, first bool) {
	if first {
		m.firstTokens = append(m.firstTokens, delay)
		return
	}
	m.gaps[min(gapCount-1, gap/gapUnit)]++
}

func (m *measured) preempted() {
	if m.open {
		m.preemptions++
	}
}

// Result is the figures of one arm. Times are in milliseconds, ratios are to online alone of the same run.
type Result struct {
	Arm      string `json:"arm"`
	Requests int    `json:"requests"`
	// ShareOfBound is the batch work done, as a share of what the capacity that online leaves idle would carry.
	ShareOfBound  float64 `json:"share_of_bound"`
	ItemsPerSec   float64 `json:"items_per_s"`
	Preemptions   int64   `json:"preemptions"`
	FirstTokenP50 float64 `json:"ttft_p50_ms"`
	FirstTokenP95 float64 `json:"ttft_p95_ms"`
	FirstTokenP99 float64 `json:"ttft_p99_ms"`
	InterTokenP99 float64 `json:"inter_token_p99_ms"`
	HarmP50       float64 `json:"harm_ttft_p50"`
	HarmP95       float64 `json:"harm_ttft_p95"`
	HarmP99       float64 `json:"harm_ttft_p99"`
	HarmInter     float64 `json:"harm_inter_token_p99"`
}

// reference is what the arms of one run are compared with.
type reference struct {
	alone Result
	// bound is the engine time of the batch work that the idle capacity would carry.
	bound time.Duration
}

func newReference(options Options) reference {
	arms := references()
	alone := newFleet(options, arms[0])
	aloneMeasured := alone.run()
	batch := newFleet(options, arms[1])
	batch.run()
	needed := aloneMeasured.counters.NeededTime(inference.Online, costModel(), options.MaxSequences)
	share := float64(needed) / float64(aloneMeasured.window) / float64(options.Runners)
	made := reference{bound: time.Duration(float64(batch.needed()) * (1 - share))}
	made.alone = made.result(alone)
	return made
}

// result works out the figures of an arm.
func (r reference) result(fleet *fleet) Result {
	found := &fleet.measured
	slices.Sort(found.firstTokens)
	made := Result{
		Arm:           fleet.arm.name,
		Requests:      len(found.firstTokens),
		ShareOfBound:  float64(fleet.needed()) / float64(r.bound),
		ItemsPerSec:   float64(found.items) / found.window.Seconds(),
		Preemptions:   found.preemptions,
		FirstTokenP50: found.firstToken(0.50),
		FirstTokenP95: found.firstToken(0.95),
		FirstTokenP99: found.firstToken(0.99),
		InterTokenP99: found.interToken(0.99),
	}
	alone := r.alone
	if alone.Requests == 0 {
		alone = made
	}
	made.HarmP50 = made.FirstTokenP50 / alone.FirstTokenP50
	made.HarmP95 = made.FirstTokenP95 / alone.FirstTokenP95
	made.HarmP99 = made.FirstTokenP99 / alone.FirstTokenP99
	made.HarmInter = made.InterTokenP99 / alone.InterTokenP99
	return made
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

func (m *measured) firstToken(quantile float64) float64 {
	if len(m.firstTokens) == 0 {
		return 0
	}
	return milliseconds(m.firstTokens[int(quantile*float64(len(m.firstTokens)-1))])
}

func (m *measured) interToken(quantile float64) float64 {
	total := int64(0)
	for _, count := range m.gaps {
		total += count
	}
	wanted := int64(quantile * float64(total))
	for unit, count := range m.gaps {
		wanted -= count
		if wanted <= 0 {
			return milliseconds(time.Duration(unit) * gapUnit)
		}
	}
	return 0
}

// Frontier plays the system with several values of the batch share setting. Online alone comes first.
func Frontier(options Options, shares []float64) []Result {
	against := newReference(options)
	results := []Result{against.alone}
	for _, share := range shares {
		options.ShareBesideOnline = share
		fleet := newFleet(options, arm{name: fmt.Sprintf("%s %.2f", System, share), online: true, startBatch: startWorkers})
		fleet.run()
		results = append(results, against.result(fleet))
	}
	return results
}

// Run plays every arm with the same arrivals.
func Run(options Options) []Result {
	against := newReference(options)
	results := []Result{against.alone}
	for _, arm := range compared() {
		fleet := newFleet(options, arm)
		fleet.run()
		results = append(results, against.result(fleet))
	}
	return results
}
