package admin

import (
	"fmt"

	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	requests *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) (*metrics, error) {
	created := &metrics{requests: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "mallowlatch_admin_requests_total",
		Help: "Requests to the administration API, by route and by the code of the answer.",
	}, []string{"method", "route", "code"})}
	if registerer == nil {
		return created, nil
	}
	if err := registerer.Register(created.requests); err != nil {
		return nil, fmt.Errorf("registering the metrics of the administration API: %w", err)
	}
	return created, nil
}
