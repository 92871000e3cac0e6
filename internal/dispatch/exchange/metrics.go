package exchange

import (
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"mallowlatch.example/mallowlatch/internal/dispatch/dispatchpb"
)

// sizedMessage is a message whose encoded size is counted.
type sizedMessage = proto.Message

// metrics holds the counters of messages, polls and cache queries.
type metrics struct {
	messages *prometheus.CounterVec
	bytes    *prometheus.CounterVec
	polls    *prometheus.CounterVec
	// cacheQueries counts queries of prefix caches, and cacheBytes the bytes of cache changes in replies.
	cacheQueries *prometheus.CounterVec
	cacheBytes   prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	vector := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
	}
	created := &metrics{
		messages:     vector("mallowlatch_exchange_messages_total", "Messages sent to peers, by kind.", "kind"),
		bytes:        vector("mallowlatch_exchange_payload_bytes_total", "Payload bytes sent to peers, by kind, without transport overhead.", "kind"),
		polls:        vector("mallowlatch_exchange_polls_total", "Load reports asked of runners, by result.", "result"),
		cacheQueries: vector("mallowlatch_exchange_cache_questions_total", "Questions to engines about their prefix caches, by kind: events, listing, or failed.", "kind"),
		cacheBytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mallowlatch_exchange_cache_bytes_total",
			Help: "Payload bytes about prefix caches in replies to peers.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(created.messages, created.bytes, created.polls, created.cacheQueries, created.cacheBytes)
	}
	return created
}

func (m *metrics) sent(kind string, message sizedMessage) {
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
