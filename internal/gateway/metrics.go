package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// codeOK is the code label of an exchange that ended well.
const codeOK = "ok"

type metrics struct {
	requests      *prometheus.CounterVec
	duration      *prometheus.HistogramVec
	firstToken    prometheus.Observer
	betweenTokens prometheus.Observer
	panics        prometheus.Counter
	callersFailed prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer, gateway *Gateway) *metrics {
	factory := promauto.With(registerer)
	seconds := []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, .75, 1, 1.3, 2, 5, 10, 30, 60, 300}
	betweenSeconds := []float64{.001, .005, .01, .02, .03, .04, .047, .06, .08, .1, .2, .5, 1, 5}
	factory.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "mallowlatch_gateway_requests_in_progress_count", Help: "Caller requests in progress.",
	}, func() float64 { return float64(gateway.draining.count()) })
	factory.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "mallowlatch_gateway_bodies_held_bytes", Help: "Request bodies held in memory.",
	}, func() float64 { return float64(gateway.buffered.held.Load()) })
	return &metrics{
		requests: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "mallowlatch_gateway_requests_total", Help: "Caller requests ended, by route and code; ok is success.",
		}, []string{"route", "code"}),
		duration: factory.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mallowlatch_gateway_request_duration_seconds", Help: "Time from arrival to the end of the answer.", Buckets: seconds,
		}, []string{"route"}),
		firstToken: factory.NewHistogram(prometheus.HistogramOpts{
			Name: "mallowlatch_gateway_first_token_seconds", Help: "Time from arrival to the first token.", Buckets: seconds,
		}),
		betweenTokens: factory.NewHistogram(prometheus.HistogramOpts{
			Name: "mallowlatch_gateway_between_tokens_seconds", Help: "Time between tokens of an answer.", Buckets: betweenSeconds,
		}),
		panics: factory.NewCounter(prometheus.CounterOpts{
			Name: "mallowlatch_gateway_panics_total", Help: "Requests whose code panicked.",
		}),
		callersFailed: factory.NewCounter(prometheus.CounterOpts{
			Name: "mallowlatch_gateway_callers_failed_total", Help: "Answers that the caller did not take.",
		}),
	}
}

// served counts an exchange that has ended.
func (m *metrics) served(exchange *exchange) {
	code := string(exchange.code)
	if code == "" {
		code = codeOK
	}
	m.requests.WithLabelValues(exchange.route, code).Inc()
	m.duration.WithLabelValues(exchange.route).Observe(exchange.gateway.options.Now().Sub(exchange.arrived).Seconds())
}

// timing measures the tokens of one answer.
type timing struct {
	metrics *metrics
	now     func() time.Time
	last    time.Time
	begun   bool
}

func (m *metrics) timing(exchange *exchange) timing {
	return timing{metrics: m, now: exchange.gateway.options.Now, last: exchange.arrived}
}

// chunk observes a chunk of some tokens. The tokens of one chunk share its delay.
func (t *timing) chunk(tokens int) {
	if tokens <= 0 {
		return
	}
	now := t.now()
	elapsed := now.Sub(t.last).Seconds()
	t.last = now
	if !t.begun {
		t.begun = true
		t.metrics.firstToken.Observe(elapsed)
		return
	}
	t.metrics.betweenTokens.Observe(elapsed / float64(tokens))
}
