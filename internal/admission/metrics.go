package admission

import (
	"github.com/prometheus/client_golang/prometheus"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// metrics holds the counter of refusals.
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

// Descriptions of the gauges per service.
var (
	limitDescription    = serviceGauge("limit", "Requests of the service that this node may have in flight.")
	inFlightDescription = serviceGauge("in_flight", "Requests of the service that this node has in flight.")
	waitingDescription  = serviceGauge("waiting", "Requests of the service that wait for their turn on this node.")
)

func serviceGauge(name, help string) *prometheus.Desc {
	return prometheus.NewDesc("mallowlatch_admission_"+name, help, []string{"service"}, nil)
}

// gauges is a collector that reads the state of the services on each scrape.
type gauges struct{ controller *Controller }

// Describe implements prometheus.Collector.
func (g gauges) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- limitDescription
	descriptions <- inFlightDescription
	descriptions <- waitingDescription
}

// Collect implements prometheus.Collector.
func (g gauges) Collect(collected chan<- prometheus.Metric) {
	g.controller.mutex.Lock()
	defer g.controller.mutex.Unlock()
	gauge := func(description *prometheus.Desc, value float64, service string) {
		collected <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, service)
	}
	for name, held := range g.controller.services {
		gauge(limitDescription, held.concurrency.limit, name)
		gauge(inFlightDescription, float64(held.concurrency.inFlight), name)
		gauge(waitingDescription, float64(held.queue.len()), name)
	}
}
