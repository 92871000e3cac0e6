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

// askEngines counts the requests that must run at most once and that engines, taken together, ran more often.
func (r *Run) askEngines(report *Report) {
	if len(r.options.EngineFaults) == 0 {
		report.Online.DoubledRuns = -1
		return
	}
	runs := map[string]int{}
	for _, address := range r.options.EngineFaults {
		if err := r.countRuns(address, runs); err != nil {
			report.Online.Details = append(report.Online.Details, err.Error())
			report.Online.DoubledRuns = -1
			return
		}
	}
	for _, count := range runs {
		if count > 1 {
			report.Online.DoubledRuns++
		}
	}
}

func (r *Run) countRuns(address string, runs map[string]int) error {
	ctx, cancel := context.WithTimeout(context.Background(), inspectTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/runs", nil)
	if err != nil {
		return fmt.Errorf("asking engine %s: %w", address, err)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return fmt.Errorf("asking engine %s: %w", address, err)
	}
	defer response.Body.Close()
	var ledger map[string]enginesim.Run
	if err := json.NewDecoder(response.Body).Decode(&ledger); err != nil {
		return fmt.Errorf("asking engine %s: %w", address, err)
	}
	for _, run := range ledger {
		if strings.HasPrefix(run.Idempotency, "load-"+r.name+"-") {
			runs[run.Idempotency] += run.Runs
		}
	}
	return nil
}
