package load

import (
	"math"
	"math/rand/v2"
	"time"
)

// lengthSpread is the standard deviation of the logarithm of lengths.
const lengthSpread = 0.5

// lengthLimit bounds a length to this multiple of its median.
const lengthLimit = 4

// unseenCancels is the part of the cancels, one in this many, that do not wait until the job runs.
const unseenCancels = 2

// Arrival is one online request of the schedule.
type Arrival struct {
	// At is counted from the start of the run.
	At     time.Duration
	Number int
	prompt promptShape
	// repeatable is false for a request that must run at most once.
	repeatable bool
}

// Heap is one batch submission of the schedule.
type Heap struct {
	At     time.Duration
	Number int
	Items  []promptShape
	// Once marks the items as not repeatable.
	Once bool
	// CancelAfter is how long after its first completed item was seen the job is cancelled, or after its acceptance if
	// CancelUnseen; zero means never.
	CancelAfter  time.Duration
	CancelUnseen bool
}

// Schedule is everything a run will send, fixed before it starts.
type Schedule struct {
	Online []Arrival
	Batch  []Heap
}

// Plan returns the schedule of a run. It depends on the options alone.
func Plan(options Options) Schedule {
	options = options.withDefaults()
	return Schedule{Online: planOnline(options), Batch: planBatch(options)}
}

func planOnline(options Options) []Arrival {
	random := rand.New(rand.NewPCG(options.Seed, 1))
	var arrivals []Arrival
	if options.peak() <= 0 {
		return nil
	}
	// Thinning: candidates come at the highest rate, and each is kept with the share of the rate at its time.
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / options.peak() * float64(time.Second))
		if at >= options.Duration {
			return arrivals
		}
		if random.Float64()*options.peak() >= options.rateAt(at) {
			continue
		}
		arrivals = append(arrivals, Arrival{
			At:         at,
			Number:     len(arrivals),
			repeatable: random.Float64() >= options.NotRepeatable,
			prompt: promptShape{
				identity:     random.Uint64(),
				prefix:       random.IntN(options.Prefixes),
				prefixTokens: options.PrefixTokens,
				tokens:       length(random, options.PromptTokens),
				answer:       length(random, options.AnswerTokens),
			},
		})
	}
}

func planBatch(options Options) []Heap {
	random := rand.New(rand.NewPCG(options.Seed, 2))
	cancels := rand.New(rand.NewPCG(options.Seed, 4))
	var heaps []Heap
	if options.BatchEvery <= 0 {
		return nil
	}
	for at := time.Duration(0); at < options.Duration; at += options.BatchEvery {
		heap := Heap{At: at, Number: len(heaps)}
		heap.Once = options.OnceEvery > 0 && heap.Number%options.OnceEvery == options.OnceEvery-1
		for range options.BatchItems {
			heap.Items = append(heap.Items, promptShape{
				identity: random.Uint64(),
				prefix:   -1 - len(heaps),
				tokens:   length(random, options.BatchPromptTokens),
				answer:   length(random, options.BatchAnswerTokens),
			})
		}
		if cancels.Float64() < options.CancelShare {
			heap.CancelUnseen = cancels.IntN(unseenCancels) == 0
			heap.CancelAfter = time.Duration(1 + cancels.Float64()*float64(options.CancelWithin))
		}
		heaps = append(heaps, heap)
	}
	return heaps
}

func (o Options) peak() float64 {
	peak := o.Rate
	for _, surge := range o.Surges {
		peak = max(peak, surge.Rate)
	}
	return peak
}

func (o Options) rateAt(at time.Duration) float64 {
	for _, surge := range o.Surges {
		if at >= surge.At && at < surge.At+surge.For {
			return surge.Rate
		}
	}
	return o.Rate
}

func length(random *rand.Rand, median int) int {
	drawn := float64(median) * math.Exp(random.NormFloat64()*lengthSpread)
	return max(1, min(int(drawn), median*lengthLimit))
}
