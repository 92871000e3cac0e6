package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles are in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func quantilesOf(histogram *hdrhistogram.Histogram) Quantiles {
	milliseconds := func(quantile float64) float64 {
		return float64(histogram.ValueAtQuantile(quantile)) / 1000
	}
	return Quantiles{
		Count: histogram.TotalCount(),
		P50:   milliseconds(50),
		P95:   milliseconds(95),
		P99:   milliseconds(99),
		Max:   float64(histogram.Max()) / 1000,
	}
}

// Second is one second of the timeline.
type Second struct {
	Arrived        int     `json:"arrived"`
	Completed      int     `json:"completed"`
	FirstTokenP50  float64 `json:"ttft_p50_ms"`
	FirstTokenP99  float64 `json:"ttft_p99_ms"`
	BatchCompleted int     `json:"batch_completed"`
}

// Report holds the figures of a run. Rates and quantiles leave out the warm-up.
type Report struct {
	Seed     uint64  `json:"seed"`
	Measured float64 `json:"measured_s"`
	// RequestsPerSecond counts completed online requests by their planned arrival.
	RequestsPerSecond float64 `json:"requests_per_s"`
	// GoodPerSecond counts those of them whose first token came within the goal.
	GoodPerSecond   float64   `json:"good_requests_per_s"`
	TokensPerSecond float64   `json:"tokens_per_s"`
	FirstToken      Quantiles `json:"ttft"`
	InterToken      Quantiles `json:"inter_token"`
	Whole           Quantiles `json:"whole_answer"`
	// Lateness is the generator's own delay in sending.
	Lateness         Quantiles    `json:"generator_lateness"`
	BatchItemsPerSec float64      `json:"batch_items_per_s"`
	Online           OnlineLedger `json:"online"`
	Batch            BatchLedger  `json:"batch"`
	Cancel           CancelLedger `json:"cancel"`
	Resend           ResendLedger `json:"resend"`
	Timeline         []Second     `json:"timeline"`
}

func (r *Run) report() *Report {
	recorder := r.recorder
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	measured := (r.options.Duration - r.options.Warmup).Seconds()
	report := &Report{
		Seed:              r.options.Seed,
		Measured:          measured,
		RequestsPerSecond: float64(recorder.firstToken.TotalCount()) / measured,
		GoodPerSecond:     float64(recorder.good) / measured,
		TokensPerSecond:   float64(recorder.tokens) / measured,
		FirstToken:        quantilesOf(recorder.firstToken),
		InterToken:        quantilesOf(recorder.interToken),
		Whole:             quantilesOf(recorder.whole),
		Lateness:          quantilesOf(recorder.late),
		Online:            recorder.online,
		Batch:             recorder.batch,
		Cancel:            recorder.cancel,
		Resend:            recorder.resend,
		Timeline:          recorder.timeline(),
	}
	report.Online.Planned = len(r.schedule.Online)
	for _, heap := range r.schedule.Batch {
		report.Batch.Planned += len(heap.Items)
	}
	report.BatchItemsPerSec = float64(recorder.batchItems(r.options)) / measured
	return report
}

// batchItems counts the items reported as completed between the warm-up and the end of the arrivals.
func (r *recorder) batchItems(options Options) int {
	first, last := int(options.Warmup/time.Second), int(options.Duration/time.Second)
	total := 0
	for index := first; index < min(last, len(r.batchSeconds)); index++ {
		total += r.batchSeconds[index]
	}
	return total
}

func (r *recorder) timeline() []Second {
	timeline := make([]Second, len(r.seconds))
	for index, second := range r.seconds {
		timeline[index] = Second{Arrived: second.arrived, Completed: second.completed, BatchCompleted: r.batchSeconds[index]}
		if second.firstToken != nil {
			quantiles := quantilesOf(second.firstToken)
			timeline[index].FirstTokenP50, timeline[index].FirstTokenP99 = quantiles.P50, quantiles.P99
		}
	}
	return timeline
}

// Write writes the report for reading.
func (r *Report) Write(out io.Writer) {
	fmt.Fprintf(out, "measured %.0f s, seed %d\n", r.Measured, r.Seed)
	fmt.Fprintf(out, "online   %.1f requests/s (%.1f in time)  %.0f tokens/s\n", r.RequestsPerSecond, r.GoodPerSecond, r.TokensPerSecond)
	r.FirstToken.write(out, "first token")
	r.InterToken.write(out, "inter token")
	r.Whole.write(out, "whole answer")
	r.Lateness.write(out, "generator late")
	online := r.Online
	fmt.Fprintf(out, "online   planned %d sent %d retried %d completed %d interrupted %d cut %d wrong %d failed %d unfinished %d doubled runs %d\n",
		online.Planned, online.Sent, online.Retried, online.Completed, online.Interrupted, online.Cut, online.Wrong, online.Failed, online.Unfinished, online.DoubledRuns)
	writeCounts(out, online.Refused)
	batch := r.Batch
	fmt.Fprintf(out, "batch    %.1f items/s\n", r.BatchItemsPerSec)
	fmt.Fprintf(out, "batch    planned %d accepted %d completed %d failed %d cancelled %d unknown %d doubled runs %d lost %d unfinished %d doubled %d foreign %d wrong %d backwards %d changed %d; jobs accepted %d ended %d\n",
		batch.Planned, batch.Accepted, batch.Completed, batch.Failed, batch.Cancelled, batch.Unknown, batch.DoubledRuns, batch.Lost, batch.Unfinished, batch.Doubled, batch.Foreign, batch.Wrong, batch.Backwards, batch.Changed, batch.JobsAccepted, batch.JobsEnded)
	writeCounts(out, batch.Refused)
	for _, detail := range append(slices.Clone(online.Details), batch.Details...) {
		fmt.Fprintf(out, "  detail: %s\n", detail)
	}
}

func (q Quantiles) write(out io.Writer, name string) {
	fmt.Fprintf(out, "%-15s p50 %.1f ms  p95 %.1f ms  p99 %.1f ms  max %.1f ms  (%d)\n", name, q.P50, q.P95, q.P99, q.Max, q.Count)
}

func writeCounts(out io.Writer, counts map[string]int) {
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(out, "  refused %s: %d\n", name, counts[name])
	}
}
