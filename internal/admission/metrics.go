package admission

import (
	"github.com/prometheus/client_golang/prometheus"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// metrics counts refusals.
type metrics struct {
	refusals *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	created := &metrics{refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "mallowlatch_admission_refusals_total", Help: "Online requests refused before dispatch, by failure code.",
	}, []string{"code"})}
	if registerer != nil {
		registerer.MustRegister(created.refusals)
	}
	return created
}

func (m *metrics) refused(code failure.Code) { m.refusals.WithLabelValues(string(code)).Inc() }
