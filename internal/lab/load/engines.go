package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"mallowlatch.example/mallowlatch/internal/lab/enginesim"
)

// inspectTimeout bounds the question to one engine.
const inspectTimeout = 5 * time.Second

// askEngines holds the engines' own ledgers against what callers were told: requests that must run at most once and that
// engines, taken together, ran more often; starts of items of cancelled jobs; jobs that nobody was told of.
func (r *Run) askEngines(report *Report) {
	report.Online.DoubledRuns = -1
	if len(r.options.EngineFaults) == 0 {
		return
	}
	once, items := map[string]int{}, map[string]int{}
	for _, address := range r.options.EngineFaults {
		runs, err := r.engineRuns(address)
		if err != nil {
			report.Online.Details = append(report.Online.Details, err.Error())
			return
		}
		r.countOnce(runs, once)
		countItems(runs, r.recorder.onceJobs, items)
		report.Cancel.countStarts(runs, r.recorder.cancelled, r.options.CancelBound)
		if r.options.Storms > 0 {
			report.Resend.countUntold(runs, r.recorder.heaps)
		}
	}
	report.Online.DoubledRuns = moreThanOnce(once)
	report.Batch.DoubledRuns = moreThanOnce(items)
}

func moreThanOnce(runs map[string]int) int {
	doubled := 0
	for _, count := range runs {
		if count > 1 {
			doubled++
		}
	}
	return doubled
}

// countItems adds the runs of items that must run at most once, under whatever lease.
func countItems(runs map[string]enginesim.Run, onceJobs map[string]bool, items map[string]int) {
	for request, run := range runs {
		job, isItem := jobOf(request)
		if isItem && onceJobs[job] {
			items[request[:strings.LastIndex(request, "/")]] += run.Runs
		}
	}
}

func (r *Run) countOnce(runs map[string]enginesim.Run, once map[string]int) {
	for _, run := range runs {
		if strings.HasPrefix(run.Idempotency, "load-"+r.name+"-") {
			once[run.Idempotency] += run.Runs
		}
	}
}

func (r *Run) engineRuns(address string) (map[string]enginesim.Run, error) {
	ctx, cancel := context.WithTimeout(context.Background(), inspectTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/runs", nil)
	if err != nil {
		return nil, fmt.Errorf("asking engine %s: %w", address, err)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("asking engine %s: %w", address, err)
	}
	defer response.Body.Close()
	var ledger map[string]enginesim.Run
	if err := json.NewDecoder(response.Body).Decode(&ledger); err != nil {
		return nil, fmt.Errorf("asking engine %s: %w", address, err)
	}
	return ledger, nil
}
