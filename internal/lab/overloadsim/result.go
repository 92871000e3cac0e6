package overloadsim

import (
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/lab/virtualtime"
	"mallowlatch.example/mallowlatch/internal/outcome"
)

// Counts are of one tenant, by arrival after the warm-up.
type Counts struct{ Offered, Completed, Good int }

// Result is what a run gave. Counts leave out arrivals before the warm-up.
type Result struct {
	Counts
	// GoodPerSecond counts completed requests whose first token came in time.
	GoodPerSecond float64
	// Refusals counts refused requests by code and message; returns count each time.
	Refusals map[string]int
	// Delays are the times from arrival to refusal, sorted; Retried are the advised times to come back, sorted.
	RefusalDelays, RetryAfters []time.Duration
	// Unadvised counts refusals that were not run but did not say when to come back.
	Unadvised int
	// Failed counts requests that ended with an outcome other than not run.
	Failed int
	// FirstTokens are the delays of first tokens, sorted.
	FirstTokens                       []time.Duration
	Tenants                           map[ident.Tenant]*Counts
	Attempts, Retries, EngineRefusals int
	// Returned counts requests that waited again because the runners had no room.
	Returned int
	// Timeline counts good requests by the second of their arrival.
	Timeline []int
	// Occupied is the mean share of the runners' sequences in use, over the arrivals' time, by second.
	Occupied []float64
	// Busy is the mean share of time in which runners stepped.
	Busy float64
}

func newResult(options Options) Result {
	return Result{
		Refusals: map[string]int{},
		Tenants:  map[ident.Tenant]*Counts{},
		Timeline: make([]int, int(options.Duration/time.Second)+1),
	}
}

func (r *Result) tenant(name ident.Tenant) *Counts {
	if r.Tenants[name] == nil {
		r.Tenants[name] = &Counts{}
	}
	return r.Tenants[name]
}

func (o Options) counts(made *arrival) bool {
	return made.at.Sub(virtualtime.Epoch) >= o.Warmup
}

func (r *Result) offered(made *arrival, options Options) {
	if !options.counts(made) {
		return
	}
	r.Offered++
	r.tenant(made.tenant).Offered++
}

func (r *Result) completed(ended *call, options Options) {
	first := ended.firstAt.Sub(ended.began)
	good := first <= FirstTokenGoal
	if good {
		r.Timeline[int(ended.arrival.at.Sub(virtualtime.Epoch)/time.Second)]++
	}
	if !options.counts(ended.arrival) {
		return
	}
	r.FirstTokens = append(r.FirstTokens, first)
	for _, counts := range []*Counts{&r.Counts, r.tenant(ended.arrival.tenant)} {
		counts.Completed++
		if good {
			counts.Good++
		}
	}
}

func (r *Result) refused(ended *call, failed *failure.Error, now time.Time, options Options) {
	if failed.Outcome == outcome.NotRun && failed.RetryAfter <= 0 {
		r.Unadvised++
	}
	if !options.counts(ended.arrival) {
		return
	}
	if failed.Outcome != outcome.NotRun {
		r.Failed++
	}
	waited := ""
	if now.After(ended.began) {
		waited = " (waited)"
	}
	r.Refusals[string(failed.Code)+": "+failed.Message+waited]++
	r.RefusalDelays = append(r.RefusalDelays, now.Sub(ended.began))
	r.RetryAfters = append(r.RetryAfters, failed.RetryAfter)
}

// sample notes how full the runners are.
func (f *Fleet) sample() {
	if f.clock.Elapsed() > f.options.Duration {
		return
	}
	full := 0.0
	for _, runner := range f.runners {
		full += runner.full / float64(len(f.runners))
		runner.full = 0
	}
	f.result.Occupied = append(f.result.Occupied, full)
}

func (f *Fleet) finish() Result {
	result := f.result
	slices.Sort(result.RefusalDelays)
	slices.Sort(result.RetryAfters)
	slices.Sort(result.FirstTokens)
	result.GoodPerSecond = float64(result.Good) / (f.options.Duration - f.options.Warmup).Seconds()
	for _, runner := range f.runners {
		result.Busy += runner.busy.Seconds() / f.options.Duration.Seconds() / float64(len(f.runners))
	}
	return result
}

// Quantile returns a quantile of sorted durations, or zero.
func Quantile(sorted []time.Duration, quantile float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(quantile*float64(len(sorted))))]
}
