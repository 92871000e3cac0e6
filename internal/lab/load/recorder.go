package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramMaximum = int64(10 * time.Minute / time.Microsecond)
	histogramDigits  = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMaximum, histogramDigits)
}

// second is what happened in one second of the run, by planned arrival.
type second struct {
	arrived, completed int
	firstToken         *hdrhistogram.Histogram
}

// recorder gathers the figures of a run. It is safe for concurrent use.
type recorder struct {
	warmup, goal time.Duration

	mu         sync.Mutex
	firstToken *hdrhistogram.Histogram
	interToken *hdrhistogram.Histogram
	whole      *hdrhistogram.Histogram
	late       *hdrhistogram.Histogram
	online     OnlineLedger
	batch      BatchLedger
	cancel     CancelLedger
	// cancelled holds when the cancel of a job was answered.
	cancelled map[string]time.Time
	resend    ResendLedger
	// jobs holds the job that a heap was first answered with, heaps the heap of a job.
	jobs  map[int]string
	heaps map[string]int
	// onceJobs are the jobs whose items must run at most once.
	onceJobs map[string]bool
	// files are the result files that were read.
	files        []resultFile
	seconds      []second
	batchSeconds []int
	tokens       int64
	// good counts the completed requests whose first token came in time.
	good int
}

func newRecorder(options Options) *recorder {
	count := int(options.Duration/time.Second) + 1
	return &recorder{
		warmup:       options.Warmup,
		goal:         options.FirstTokenGoal,
		firstToken:   newHistogram(),
		interToken:   newHistogram(),
		whole:        newHistogram(),
		late:         newHistogram(),
		online:       OnlineLedger{Refused: map[string]int{}},
		batch:        BatchLedger{Refused: map[string]int{}},
		cancelled:    map[string]time.Time{},
		jobs:         map[int]string{},
		heaps:        map[string]int{},
		onceJobs:     map[string]bool{},
		seconds:      make([]second, count),
		batchSeconds: make([]int, count),
	}
}

func record(histogram *hdrhistogram.Histogram, duration time.Duration) {
	value := max(1, min(int64(duration/time.Microsecond), histogramMaximum))
	_ = histogram.RecordValue(value)
}

// sent notes that a request left this much after its planned arrival: the generator's own lateness.
func (r *recorder) sent(arrival Arrival, lateness time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.online.Sent++
	record(r.late, lateness)
	r.seconds[arrival.At/time.Second].arrived++
}

func (r *recorder) retried() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.online.Retried++
}

// onlineResult books the end of an online request.
func (r *recorder) onlineResult(arrival Arrival, result onlineResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.online.book(result)
	if result.verdict != verdictCompleted {
		return
	}
	bucket := &r.seconds[arrival.At/time.Second]
	bucket.completed++
	if bucket.firstToken == nil {
		bucket.firstToken = hdrhistogram.New(1, histogramMaximum, 2)
	}
	record(bucket.firstToken, result.firstToken)
	if arrival.At < r.warmup {
		return
	}
	record(r.firstToken, result.firstToken)
	record(r.whole, result.whole)
	if result.firstToken <= r.goal {
		r.good++
	}
	r.tokens += int64(len(result.gaps) + 1)
	for _, gap := range result.gaps {
		record(r.interToken, gap)
	}
}

// batchProgress notes that items more are reported as completed at a time of the run.
func (r *recorder) batchProgress(at time.Duration, items int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	index := int(at / time.Second)
	if index < len(r.batchSeconds) {
		r.batchSeconds[index] += items
	}
}

func (r *recorder) batchResult(book func(*BatchLedger)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	book(&r.batch)
}
