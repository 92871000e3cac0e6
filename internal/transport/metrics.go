package transport

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"
)

// Label values of the metrics.
const (
	sideClient     = "client"
	sideServer     = "server"
	serviceUnknown = "unknown"
)

// Metrics counts the traffic between nodes. Byte counts are of TCP payload including TLS, measured on this node.
type Metrics struct {
	received    *prometheus.CounterVec
	sent        *prometheus.CounterVec
	connections *prometheus.GaugeVec
	calls       *prometheus.CounterVec
}

// NewMetrics registers the metrics of the transport; a nil registerer leaves them unregistered.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		received: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mallowlatch_transport_received_bytes",
			Help: "Bytes received from other nodes, by drpc service and side of the connection.",
		}, []string{"service", "side"}),
		sent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mallowlatch_transport_sent_bytes",
			Help: "Bytes sent to other nodes, by drpc service and side of the connection.",
		}, []string{"service", "side"}),
		connections: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "mallowlatch_transport_open_connections",
			Help: "Open connections to and from other nodes, by side.",
		}, []string{"side"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mallowlatch_transport_finished_calls",
			Help: "Finished calls, by drpc service and side of the connection.",
		}, []string{"service", "side"}),
	}
	if registerer != nil {
		registerer.MustRegister(metrics.received, metrics.sent, metrics.connections, metrics.calls)
	}
	return metrics
}

// account adds the bytes transferred on the connection since the previous call to the counters of the service. A drpc
// connection carries one call at a time, so all these bytes belong to that call.
func (m *Metrics) account(connection *meteredConn, service, side string) {
	received, sent := connection.takeUnaccounted()
	m.received.WithLabelValues(service, side).Add(float64(received))
	m.sent.WithLabelValues(service, side).Add(float64(sent))
	m.calls.WithLabelValues(service, side).Inc()
}

// serviceOf returns the service in a drpc method name of the form "/package.Service/Method".
func serviceOf(rpc string) string {
	service, _, _ := strings.Cut(strings.TrimPrefix(rpc, "/"), "/")
	return service
}
