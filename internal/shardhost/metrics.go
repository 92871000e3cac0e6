package shardhost

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	proposals *prometheus.CounterVec
	batch     prometheus.Histogram
	messages  *prometheus.CounterVec
	swaps     *prometheus.CounterVec
	leading   prometheus.GaugeFunc
	replicas  prometheus.GaugeFunc
	disk      prometheus.GaugeFunc
	syncs     prometheus.CounterFunc
	leftover  prometheus.Gauge
	removed   prometheus.Counter
	catchUp   prometheus.Counter
	resumed   prometheus.Counter
}

const maximumBatchBucket = 12

func newMetrics(registerer prometheus.Registerer, host *Host) *metrics {
	created := &metrics{
		proposals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mallowlatch_shard_proposals_total", Help: "Proposals by their end.",
		}, []string{"outcome"}),
		batch: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "mallowlatch_shard_batch_commands", Help: "Commands that one write of the log made durable.",
			Buckets: prometheus.ExponentialBuckets(1, 2, maximumBatchBucket),
		}),
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mallowlatch_shard_messages_total", Help: "Messages between replicas, sent, received or dropped.",
		}, []string{"direction"}),
		swaps: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mallowlatch_shard_set_requests_total", Help: "Requests to the key-value service about replica sets.",
		}, []string{"kind"}),
		leading: prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "mallowlatch_shard_led_replicas", Help: "Shards this node leads.",
		}, func() float64 { return float64(len(host.Led())) }),
		replicas: prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "mallowlatch_shard_local_replicas", Help: "Replicas on this node.",
		}, func() float64 { return float64(len(host.localReplicas())) }),
		disk: prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "mallowlatch_shard_disk_bytes", Help: "Disk space of the shard store.",
		}, func() float64 { return float64(host.options.Store.Usage().DiskBytes) }),
		leftover: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "mallowlatch_shard_leftover_bytes", Help: "Disk space of replicas that left their sets.",
		}),
		removed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mallowlatch_shard_removed_replicas_total", Help: "Replicas that left their sets and were removed.",
		}),
		catchUp: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mallowlatch_shard_catch_up_bytes_total", Help: "Bytes of state sent to replicas that lacked it.",
		}),
		resumed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mallowlatch_shard_resumed_transfers_total", Help: "Transfers of state that went on where one broke off.",
		}),
		syncs: prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "mallowlatch_shard_log_syncs_total", Help: "Syncs of the write-ahead log.",
		}, func() float64 { return float64(host.options.Store.Usage().Syncs) }),
	}
	if registerer != nil {
		registerer.MustRegister(created.proposals, created.batch, created.messages, created.swaps, created.leading,
			created.replicas, created.disk, created.syncs, created.leftover, created.removed, created.catchUp,
			created.resumed)
	}
	return created
}
