// Package settings holds what a node learns from its settings file and flags. Every field is described once, by the
// tags of its struct field: the decoder, the flags, the range checks and docs/SETTINGS.md all follow from them.
//
// Tags: yaml is the name, doc the one line of documentation, unit the unit of a plain number, default the value of an
// absent field, min and max the range, oneof the permitted words, and required marks a field without a default.
package settings

import "time"

// Settings is the whole of a node's settings.
type Settings struct {
	Node       Node       `yaml:"node"`
	Listen     Listen     `yaml:"listen"`
	Platform   Platform   `yaml:"platform"`
	DataDir    Path       `yaml:"data_dir" doc:"Folder for job data. Empty means that the node stores no jobs and writes nothing to disk."`
	Jobs       Jobs       `yaml:"jobs"`
	TLS        TLS        `yaml:"tls"`
	Limits     Limits     `yaml:"limits"`
	Dispatch   Dispatch   `yaml:"dispatch"`
	Batch      Batch      `yaml:"batch"`
	Membership Membership `yaml:"membership"`
	Process    Process    `yaml:"process"`
	Log        Log        `yaml:"log"`
	Bootstrap  Bootstrap  `yaml:"bootstrap"`
}

// Node names the node and its place.
type Node struct {
	ID     Name `yaml:"id" required:"true" doc:"Name of the node, unique in the fleet and the same after a restart."`
	Zone   Name `yaml:"zone" required:"true" doc:"Zone the node stands in."`
	Region Name `yaml:"region" required:"true" doc:"Region of the zone."`
}

// Listen holds the addresses the node serves and is reached at.
type Listen struct {
	Caller    Address   `yaml:"caller" default:"127.0.0.1:8080" doc:"Address of the caller API."`
	Admin     Address   `yaml:"admin" default:"127.0.0.1:8081" doc:"Address of the admin API, metrics and profiles."`
	Peer      Address   `yaml:"peer" default:"127.0.0.1:8082" doc:"Address for other nodes, TCP for calls and UDP for membership."`
	Advertise Address   `yaml:"advertise" doc:"Address other nodes reach this one at. Empty means listen.peer."`
	Seeds     []Address `yaml:"seeds" doc:"Peer addresses of nodes to join through; any that answer will do."`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	KVEndpoints  []Address     `yaml:"kv_endpoints" required:"true" doc:"Addresses of the key-value service, tried in order."`
	KVTimeout    time.Duration `yaml:"kv_timeout" default:"2s" min:"10ms" max:"1m" doc:"Longest wait for one answer of the key-value service."`
	MachineList  Address       `yaml:"machine_list" required:"true" doc:"Address of the machine list."`
	MachinePoll  time.Duration `yaml:"machine_poll" default:"2s" min:"100ms" max:"10m" doc:"Time between readings of the machine list."`
	WeightStore  Address       `yaml:"weight_store" doc:"Address of the weight store. Empty means that the node never orders loads."`
	RunnerMemory Size          `yaml:"runner_memory" default:"80GiB" min:"1MiB" max:"16384GiB" doc:"What each runner has for the weights of models and adapters."`
}

// Jobs shapes the job shards. Shards, Replicas and MinimumCopies must be the same on every node.
type Jobs struct {
	Shards         int           `yaml:"shards" unit:"shards" default:"8" min:"1" max:"1024" doc:"Number of job shards in the fleet; fixed once jobs exist."`
	Replicas       int           `yaml:"replicas" unit:"replicas" default:"3" min:"1" max:"7" doc:"Replicas of each shard, where that many disk machines exist."`
	MinimumCopies  int           `yaml:"minimum_copies" unit:"copies" default:"3" min:"1" max:"7" doc:"Least number of synchronised copies that may accept a job; below it submissions are refused."`
	CatchUpStreams int           `yaml:"catch_up_streams" unit:"streams" default:"2" min:"1" max:"64" doc:"States of shards that this node sends at once to disks that lack them, and receives at once."`
	CatchUpRate    Size          `yaml:"catch_up_rate" default:"64MiB" min:"64KiB" max:"64GiB" doc:"State that this node sends in a second to disks that lack it, all streams together."`
	LeaseTTL       time.Duration `yaml:"lease_ttl" default:"10s" min:"200ms" max:"10m" doc:"How long a batch worker may run items without renewing their lease."`
	DiskBytes      Size          `yaml:"disk_bytes" default:"0B" min:"0B" max:"1048576GiB" doc:"Most bytes the job storage of this node may take; 0B means as many as the file system has."`
	DiskReserve    Size          `yaml:"disk_reserve" default:"1GiB" min:"0B" max:"1024GiB" doc:"Free bytes kept for accepted work: with fewer, uploads and submissions are refused, and with a quarter of it, results too."`
	Retention      time.Duration `yaml:"retention" default:"720h" min:"1m" max:"8760h" doc:"How long files and finished jobs stay readable."`
}

// TLS holds the certificates of the three listeners, and the one presented to the key-value service.
type TLS struct {
	Caller   Certificate `yaml:"caller"`
	Admin    Certificate `yaml:"admin"`
	Peer     Certificate `yaml:"peer"`
	KeyValue Certificate `yaml:"key_value"`
	// Poll is not part of a listener: one period serves all.
	Poll time.Duration `yaml:"poll" default:"5s" min:"100ms" max:"1h" doc:"Time between looks at the certificate files for a change."`
}

// Certificate names the PEM files of one listener or client.
type Certificate struct {
	Cert Path `yaml:"cert" doc:"PEM file of the certificate chain. Empty means plain TCP."`
	Key  Path `yaml:"key" doc:"PEM file of the private key."`
	CA   Path `yaml:"ca" doc:"PEM file of the authorities that the other side's certificate must be signed by. Empty means that callers and operators need none."`
}

// Enabled says whether TLS is spoken.
func (c Certificate) Enabled() bool { return c.Cert != "" }

// Limits bounds what callers can make the node hold and wait for.
type Limits struct {
	BodyBytes          Size          `yaml:"body_bytes" default:"4MiB" min:"1KiB" max:"256MiB" doc:"Largest body of a request other than a file upload."`
	HeaderBytes        Size          `yaml:"header_bytes" default:"32KiB" min:"1KiB" max:"1MiB" doc:"Largest header of a request."`
	BatchFileBytes     Size          `yaml:"batch_file_bytes" default:"512MiB" min:"1KiB" max:"16GiB" doc:"Largest uploaded file."`
	ConcurrentRequests int           `yaml:"concurrent_requests" unit:"requests" default:"4096" min:"1" max:"1000000" doc:"Online requests in progress at once on this node; more are refused."`
	ConcurrentUploads  int           `yaml:"concurrent_uploads" unit:"uploads" default:"16" min:"1" max:"10000" doc:"File uploads and downloads in progress at once on this node; more are refused."`
	BufferedBodyBytes  Size          `yaml:"buffered_body_bytes" default:"256MiB" min:"1MiB" max:"64GiB" doc:"Request bodies held in memory at once on this node; more are refused."`
	RequestTimeout     time.Duration `yaml:"request_timeout" default:"10m" min:"1s" max:"24h" doc:"Longest time of one online request; it ends with deadline_exceeded."`
	WriteTimeout       time.Duration `yaml:"write_timeout" default:"20s" min:"100ms" max:"10m" doc:"Longest wait for a caller to take one piece of its answer; then the request is aborted."`
	Connections        int           `yaml:"connections" unit:"connections" default:"16384" min:"1" max:"1000000" doc:"Open connections of a listener; more wait until one closes."`
	HeaderMemory       Size          `yaml:"header_memory" default:"64MiB" min:"1MiB" max:"64GiB" doc:"Memory of the headers of a listener's requests beyond 16 KiB each; beyond it the largest header that has not arrived whole gives up its connection. It does not bound connections with TLS."`
	HeaderTimeout      time.Duration `yaml:"header_timeout" default:"10s" min:"100ms" max:"10m" doc:"Longest time a caller may take to send the header of a request."`
	BodyTimeout        time.Duration `yaml:"body_timeout" default:"1m" min:"100ms" max:"1h" doc:"Longest time a caller may take to send the body of a request other than a file upload."`
	IdleTimeout        time.Duration `yaml:"idle_timeout" default:"2m" min:"1s" max:"1h" doc:"How long an idle connection is kept."`
	DrainTimeout       time.Duration `yaml:"drain_timeout" default:"10m" min:"1s" max:"24h" doc:"Longest time a planned stop waits for requests in progress."`
}

// Dispatch tunes the online path.
type Dispatch struct {
	AttemptTimeout  time.Duration `yaml:"attempt_timeout" default:"5s" min:"10ms" max:"10m" doc:"Longest wait for the first answer of one engine before the attempt counts as failed."`
	StallTimeout    time.Duration `yaml:"stall_timeout" default:"10s" min:"10ms" max:"10m" doc:"Longest silence of an engine within an answer before the stream is resumed or moved."`
	MaxAttempts     int           `yaml:"max_attempts" unit:"attempts" default:"4" min:"1" max:"20" doc:"Engines tried for one request; 1 means no retries."`
	RetryBudget     float64       `yaml:"retry_budget" unit:"share of requests" default:"0.2" min:"0.01" max:"1" doc:"Largest share of requests that may be retries, beyond a reserve of 20."`
	QueueDepth      int           `yaml:"queue_depth" unit:"requests" default:"256" min:"0" max:"100000" doc:"Online requests that may wait for an engine at once on this node."`
	QueueTimeout    time.Duration `yaml:"queue_timeout" default:"1s" min:"0s" max:"10m" doc:"Longest wait for an engine before an online request is refused as overloaded."`
	PrefixAffinity  string        `yaml:"prefix_affinity" default:"events" oneof:"none history events" doc:"What a prompt's way to an engine that has its beginning cached goes by: nothing, what this node sent, or that corrected by the engines' cache events."`
	LoadReportEvery time.Duration `yaml:"load_report_every" default:"1s" min:"50ms" max:"1m" doc:"Time between readings of an engine's load report."`
}

// Batch tunes the batch workers.
type Batch struct {
	ShareBesideOnline float64 `yaml:"share_beside_online" unit:"share of sequences" default:"1" min:"0.05" max:"1" doc:"Largest share of a runner's sequences that batch items fill while online work is on it. Lower spares the tail of online latency, higher gives batch throughput."`
}

// Membership tunes the failure detector.
type Membership struct {
	ProbeInterval  time.Duration `yaml:"probe_interval" default:"1s" min:"20ms" max:"1m" doc:"Time between probes of other nodes."`
	ProbeTimeout   time.Duration `yaml:"probe_timeout" default:"300ms" min:"5ms" max:"30s" doc:"Longest wait for the answer to a probe before others are asked to probe."`
	SuspectTimeout time.Duration `yaml:"suspect_timeout" default:"4s" min:"50ms" max:"10m" doc:"How long a silent node is suspected before it counts as dead."`
	IndirectProbes int           `yaml:"indirect_probes" unit:"nodes" default:"3" min:"0" max:"16" doc:"Other nodes asked to probe a silent one."`
	DigestInterval time.Duration `yaml:"digest_interval" default:"2s" min:"50ms" max:"10m" doc:"Time between exchanges of membership and configuration digests with another zone."`
}

// Process bounds what the process takes of its machine.
type Process struct {
	Processors       int  `yaml:"processors" unit:"processors" default:"0" min:"0" max:"1024" doc:"Most processors that run the node's code at once. 0 means all that the machine gives."`
	IdleProcessors   int  `yaml:"idle_processors" unit:"processors" default:"0" min:"0" max:"1024" doc:"Processors the node uses while it has little to do; it takes more within half a second as the load grows. 0 means 1, or 2 with data_dir."`
	MemoryTarget     Size `yaml:"memory_target" default:"0" min:"0" max:"1024GiB" doc:"Memory above which the collector works harder; it is no hard bound. 0 means none."`
	CollectorPercent int  `yaml:"collector_percent" unit:"percent" default:"100" min:"10" max:"1000" doc:"Growth of the heap since the last collection that starts the next; less takes less memory and more processor time."`
}

// Log shapes the log.
type Log struct {
	Level string `yaml:"level" default:"info" oneof:"debug info warn error" doc:"Least severe level that is logged."`
}

// Bootstrap gives a fresh fleet its first admin key.
type Bootstrap struct {
	AdminKeyDigest Digest `yaml:"admin_key_digest" doc:"SHA-256 of an admin key, in hexadecimal, accepted while the configuration holds no admin key."`
}

// AdvertiseAddress returns the address other nodes reach this one at.
func (s Settings) AdvertiseAddress() Address {
	if s.Listen.Advertise != "" {
		return s.Listen.Advertise
	}
	return s.Listen.Peer
}
