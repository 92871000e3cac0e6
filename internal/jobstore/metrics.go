package jobstore

import (
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts what the job shards of a node do. A nil Metrics counts nothing.
type Metrics struct {
	commands     prometheus.Counter
	commandBytes prometheus.Counter
	leased       prometheus.Counter
	completed    prometheus.Counter
	unknown      prometheus.Counter
	lapsed       prometheus.Counter
}

// NewMetrics registers the job store's metrics.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	counter := func(name, help string) prometheus.Counter {
		made := prometheus.NewCounter(prometheus.CounterOpts{Name: "mallowlatch_jobstore_" + name, Help: help})
		registerer.MustRegister(made)
		return made
	}
	return &Metrics{
		commands:     counter("commands_total", "Commands proposed to job shards."),
		commandBytes: counter("command_bytes_total", "Bytes of commands proposed to job shards."),
		leased:       counter("leased_items_total", "Items handed to workers."),
		completed:    counter("completed_items_total", "Item results recorded as first."),
		unknown:      counter("outcome_unknown_items_total", "Non-repeatable items that ended with outcome_unknown."),
		lapsed:       counter("lapsed_leases_total", "Leases that ran out at the leader."),
	}
}

func (m *Metrics) proposed(bytes int) {
	if m == nil {
		return
	}
	m.commands.Inc()
	m.commandBytes.Add(float64(bytes))
}

func (m *Metrics) add(counter func(*Metrics) prometheus.Counter, amount int) {
	if m != nil {
		counter(m).Add(float64(amount))
	}
}

func (m *Metrics) leasedItems() prometheus.Counter    { return m.leased }
func (m *Metrics) completedItems() prometheus.Counter { return m.completed }
func (m *Metrics) unknownItems() prometheus.Counter   { return m.unknown }
func (m *Metrics) lapsedLeases() prometheus.Counter   { return m.lapsed }
