package exchange

import (
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"mallowlatch.example/mallowlatch/internal/dispatch/dispatchpb"
)

// sized is a message whose bytes are counted.
type sized = proto.Message

// metrics counts messages and polls.
type metrics struct {
	messages *prometheus.CounterVec
	bytes    *prometheus.CounterVec
	polls    *prometheus.CounterVec
	// questions counts questions about prefix caches, and cacheBytes what replies carry of them.
	questions  *prometheus.CounterVec
	cacheBytes prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	vector := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
	}
	created := &metrics{
		messages:  vector("mallowlatch_exchange_messages_total", "Messages sent to peers, by kind.", "kind"),
		bytes:     vector("mallowlatch_exchange_payload_bytes_total", "Payload bytes sent to peers, by kind, without transport overhead.", "kind"),
		polls:     vector("mallowlatch_exchange_polls_total", "Load reports asked of runners, by result.", "result"),
		questions: vector("mallowlatch_exchange_cache_questions_total", "Questions to engines about their prefix caches, by kind: events, listing, or failed.", "kind"),
		cacheBytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mallowlatch_exchange_cache_bytes_total",
			Help: "Payload bytes about prefix caches in replies to peers.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(created.messages, created.bytes, created.polls, created.questions, created.cacheBytes)
	}
	return created
}

func (m *metrics) sent(kind string, message sized) {
	m.messages.WithLabelValues(kind).Inc()
	m.bytes.WithLabelValues(kind).Add(float64(proto.Size(message)))
}

func (m *metrics) repliedCaches(caches []*dispatchpb.CacheDelta) {
	for _, delta := range caches {
		m.cacheBytes.Add(float64(proto.Size(delta)))
	}
}

func (m *metrics) polled(err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.polls.WithLabelValues(result).Inc()
}
