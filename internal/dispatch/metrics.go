package dispatch

import (
	"github.com/prometheus/client_golang/prometheus"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// metrics holds the dispatcher's counters.
type metrics struct {
	requests *prometheus.CounterVec
	attempts *prometheus.CounterVec
	retries  prometheus.Counter
	resumes  prometheus.Counter
	denied   prometheus.Counter
	aborts   prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	vector := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
	}
	created := &metrics{
		requests: vector("mallowlatch_dispatch_requests_total", "Requests ended, by failure code.", "code"),
		attempts: vector("mallowlatch_dispatch_attempts_total", "Attempts ended, by whether the request was not run.", "not_run"),
		retries:  counter("mallowlatch_dispatch_retries_total", "Requests given to a further runner."),
		resumes:  counter("mallowlatch_dispatch_resumes_total", "Broken streams completed by resuming on their runner."),
		denied:   counter("mallowlatch_dispatch_retries_denied_total", "Retries not made because the retry budget was spent."),
		aborts:   counter("mallowlatch_dispatch_aborts_failed_total", "Aborts that no engine confirmed."),
	}
	if registerer != nil {
		registerer.MustRegister(created.requests, created.attempts, created.retries, created.resumes, created.denied, created.aborts)
	}
	return created
}

func (m *metrics) finished(failed *failure.Error) {
	code := "ok"
	if failed != nil {
		code = string(failed.Code)
	}
	m.requests.WithLabelValues(code).Inc()
}

func (m *metrics) attempted(failed *attemptFailure) {
	notRun := "false"
	if failed != nil {
		notRun = failed.outcome.String()
	}
	m.attempts.WithLabelValues(notRun).Inc()
}

func (m *metrics) retried()     { m.retries.Inc() }
func (m *metrics) resumed()     { m.resumes.Inc() }
func (m *metrics) budgetSpent() { m.denied.Inc() }
func (m *metrics) abortFailed() { m.aborts.Inc() }
