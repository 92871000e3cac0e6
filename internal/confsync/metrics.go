package confsync

import (
	"fmt"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the gauges and counters of a Replica. Byte counts exclude framing, encryption and headers.
type metrics struct {
	revision      prometheus.Gauge
	inForce       prometheus.Gauge
	exchanges     *prometheus.CounterVec
	messageBytes  *prometheus.CounterVec
	followRetries prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) (*metrics, error) {
	created := &metrics{
		revision: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "mallowlatch_confsync_revision",
			Help: "Configuration revision of this node's copy.",
		}),
		inForce: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "mallowlatch_confsync_in_force_revision",
			Help: "Configuration revision this node serves from.",
		}),
		exchanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mallowlatch_confsync_exchanges_total",
			Help: "Exchanges with other nodes that this node began, by result.",
		}, []string{"result"}),
		messageBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mallowlatch_confsync_message_bytes",
			Help: "Bytes of messages between nodes, without framing, by direction.",
		}, []string{"direction"}),
		followRetries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mallowlatch_confsync_follow_retries_total",
			Help: "Times that following the key-value service failed and was tried again.",
		}),
	}
	if registerer == nil {
		return created, nil
	}
	for _, collector := range []prometheus.Collector{
		created.revision, created.inForce, created.exchanges, created.messageBytes, created.followRetries,
	} {
		if err := registerer.Register(collector); err != nil {
			return nil, fmt.Errorf("register metrics: %w", err)
		}
	}
	return created, nil
}
