package load

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"gopkg.in/tomb.v2"
)

// maxInFlight bounds the requests under way at once. Arrivals beyond it count as unfinished.
const maxInFlight = 20_000

// readAgainBound bounds the second reading of the result files, from the end of the drain.
const readAgainBound = 30 * time.Second

// Run is one run of a schedule.
type Run struct {
	options  Options
	schedule Schedule
	recorder *recorder
	client   *http.Client
	// name makes idempotency keys differ between runs.
	name    string
	started time.Time
	slots   chan struct{}
	balance balance
}

// Start runs the options' schedule to its end, or to the end of the context, and returns the report.
func Start(ctx context.Context, options Options) (*Report, error) {
	options = options.withDefaults()
	if len(options.Targets) == 0 || options.Duration <= 0 || options.Warmup >= options.Duration {
		return nil, fmt.Errorf("%w: need a target and a duration above the warm-up", ErrBadOptions)
	}
	run := &Run{
		options:  options,
		schedule: Plan(options),
		recorder: newRecorder(options),
		client:   newClient(options),
		slots:    make(chan struct{}, maxInFlight),
		balance:  balance{inFlight: make([]int, len(options.Targets))},
	}
	return run.run(ctx)
}

func newClient(options Options) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxInFlight,
		DisableCompression:  true,
		DisableKeepAlives:   options.FreshConnections,
		TLSClientConfig:     &tls.Config{RootCAs: options.Authorities},
	}}
}

func (r *Run) run(ctx context.Context) (*Report, error) {
	r.started = time.Now()
	r.name = strconv.FormatInt(r.started.UnixNano(), 36)
	again, stopAgain := context.WithDeadline(ctx, r.started.Add(r.options.Duration+r.options.Drain+readAgainBound))
	defer stopAgain()
	ctx, cancel := context.WithDeadline(ctx, r.started.Add(r.options.Duration+r.options.Drain))
	defer cancel()
	arrivals, stop := context.WithDeadline(ctx, r.started.Add(r.options.Duration))
	defer stop()
	var group tomb.Tomb
	group.Go(func() error { return r.sendOnline(ctx, &group) })
	jobs := ctx
	if r.options.AbandonJobs {
		jobs = arrivals
	}
	group.Go(func() error { return r.sendBatch(jobs, &group) })
	r.startDirectBatch(arrivals, &group)
	// A run lasts its whole duration, also when nothing is left to send.
	group.Go(func() error {
		<-arrivals.Done()
		return nil
	})
	if err := group.Wait(); err != nil {
		return nil, fmt.Errorf("running load: %w", err)
	}
	r.readAgain(again)
	r.client.CloseIdleConnections()
	report := r.report()
	r.askEngines(report)
	return report, nil
}

// sendOnline starts each request at its planned time, whatever became of those before.
func (r *Run) sendOnline(ctx context.Context, group *tomb.Tomb) error {
	for _, arrival := range r.schedule.Online {
		planned := r.started.Add(arrival.At)
		if !pause(ctx, time.Until(planned)) {
			return nil
		}
		select {
		case r.slots <- struct{}{}:
		default:
			r.recorder.onlineResult(arrival, onlineResult{verdict: verdictUnfinished, detail: "too many requests in flight"})
			continue
		}
		r.recorder.sent(arrival, time.Since(planned))
		group.Go(func() error {
			defer func() { <-r.slots }()
			r.recorder.onlineResult(arrival, r.online(ctx, arrival, planned))
			return nil
		})
	}
	return nil
}

func (r *Run) sendBatch(ctx context.Context, group *tomb.Tomb) error {
	for _, heap := range r.schedule.Batch {
		if !pause(ctx, time.Until(r.started.Add(heap.At))) {
			return nil
		}
		group.Go(func() error {
			r.batch(ctx, heap)
			return nil
		})
	}
	return nil
}

// newRequest makes a call with the key whose turn it is. One number always has the same key.
func (r *Run) newRequest(ctx context.Context, target, method string, number int, path, contentType string, body []byte) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, target+path, reader)
	if err != nil {
		return nil, fmt.Errorf("making request: %w", err)
	}
	if contentType != "" {
		request.Header.Set("Content-Type", contentType)
	}
	if key := r.options.Keys[number%len(r.options.Keys)]; key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	return request, nil
}
