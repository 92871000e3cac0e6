// Package sitesettings reads and checks the settings file of a process on a platform's machine. The platform writes
// the file from deploy/settings.yaml, in the field names of this product.
package sitesettings

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"gopkg.in/yaml.v3"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/poison"
)

const (
	// ErrUnreadable means that the file cannot be read, is not YAML or has unknown fields.
	ErrUnreadable = failure.Kind("site settings: unreadable")
	// ErrInvalid means that a field is missing or invalid; the error text names it.
	ErrInvalid = failure.Kind("site settings: invalid")
)

// Settings are the settings of one process.
type Settings struct {
	Node   Node   `yaml:"node"`
	Listen Listen `yaml:"listen"`
	Store  Store  `yaml:"store"`
	Limits Limits `yaml:"limits"`
	Bounds Bounds `yaml:"bounds"`
	// Seeds are the addresses of some workers that may be queried at the start. Some of them may no longer exist.
	Seeds []string `yaml:"seeds"`
	// FingerprintKey is the key of the request fingerprints that nodes exchange. It is the same on all machines. If it is
	// empty, the store's address is used, which is not secret: whoever knows it can test guessed request texts
	// against a fingerprint.
	FingerprintKey string `yaml:"print_key"`
}

// Node identifies the process and its location.
type Node struct {
	Name   string `yaml:"name"`
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
	// FirstStart states that the whole deployment starts for the first time, with all of its processes at once.
	FirstStart bool `yaml:"first_start"`
	// DataFolder is empty on machines without a disk.
	DataFolder string `yaml:"data_folder"`
	// Zones are all zones of the deployment.
	Zones []string `yaml:"zones"`
}

// Listen holds the addresses on which the process serves; an empty address is not served.
type Listen struct {
	Callers string `yaml:"callers"`
	Ready   string `yaml:"ready"`
	// Peers is the address for calls from other nodes.
	Peers string `yaml:"peers"`
}

// Store is the platform's metadata store.
type Store struct {
	Address string `yaml:"address"`
	// ValueBytes is the maximum size of a value.
	ValueBytes int `yaml:"value_bytes"`
	// ShortestLeaseMs is the minimum time to live of a lease, in milliseconds.
	ShortestLeaseMs int `yaml:"shortest_lease_ms"`
}

// Limits are the resources of the machine.
type Limits struct {
	MemoryMB int `yaml:"memory_mb"`
	// Cores is the number of processor cores.
	Cores int `yaml:"cores"`
	// Descriptors is the maximum number of open file descriptors.
	Descriptors int `yaml:"descriptors"`
	// DiskMB is the size of the disk; zero if there is none.
	DiskMB float64 `yaml:"disk_mb"`
	// LinkMbps is the bandwidth of the machine's network link in megabits per second.
	LinkMbps float64 `yaml:"link_mbps"`
}

// MemoryBytes returns the size of the memory.
func (l Limits) MemoryBytes() int64 { return int64(l.MemoryMB) << 20 }

// DiskBytes returns the size of the disk.
func (l Limits) DiskBytes() int64 { return int64(l.DiskMB * 1e6) }

// LinkBytes returns the bandwidth of the network link in bytes per second.
func (l Limits) LinkBytes() float64 { return l.LinkMbps * 1e6 / 8 }

// Bounds are the time limits and tolerances of the deployment. Values in seconds may have fractions.
type Bounds struct {
	DrainMs          int     `yaml:"drain_ms"`
	GraceS           float64 `yaml:"grace_s"`
	ConfigurationMs  int     `yaml:"configuration_ms"`
	SettleMs         int     `yaml:"settle_ms"`
	CancelMs         int     `yaml:"cancel_ms"`
	HeartbeatMs      int     `yaml:"heartbeat_ms"`
	ResultRetentionS float64 `yaml:"result_retention_s"`
	QuotaOverage     float64 `yaml:"quota_overage"`
	// QuotaWindowS is the time during which a request counts against the limit of its tenant; zero selects the
	// default.
	QuotaWindowS float64 `yaml:"quota_window_s"`
	// TolerableDiskLosses is the number of machines with a disk whose simultaneous loss must be tolerated.
	TolerableDiskLosses int `yaml:"lost_disks"`
}

// Grace returns the grace period for stopping a process.
func (b Bounds) Grace() time.Duration { return time.Duration(b.GraceS * float64(time.Second)) }

// Drain returns the time after which a leaving runner must receive no more work.
func (b Bounds) Drain() time.Duration { return time.Duration(b.DrainMs) * time.Millisecond }

// Heartbeat returns the interval between renewals of a runner's entry in the registry.
func (b Bounds) Heartbeat() time.Duration { return time.Duration(b.HeartbeatMs) * time.Millisecond }

// defaultQuotaWindow is used if the deployment specifies none.
const defaultQuotaWindow = 5 * time.Second

// QuotaWindow returns the time during which a request counts against the limit of its tenant.
func (b Bounds) QuotaWindow() time.Duration {
	if b.QuotaWindowS <= 0 {
		return defaultQuotaWindow
	}
	return time.Duration(b.QuotaWindowS * float64(time.Second))
}

// ResultRetention returns how long results stay readable after the submission of their job.
func (b Bounds) ResultRetention() time.Duration {
	return time.Duration(b.ResultRetentionS * float64(time.Second))
}

// ShortestLease returns the minimum time to live of a lease.
func (s Store) ShortestLease() time.Duration {
	return time.Duration(s.ShortestLeaseMs) * time.Millisecond
}

// RequestFingerprintKey returns the key of the request fingerprints.
func (s Settings) RequestFingerprintKey() poison.Key {
	if s.FingerprintKey != "" {
		return poison.Key(s.FingerprintKey)
	}
	return poison.Key(s.Store.Address)
}

// Load reads and checks the file. The error wraps ErrUnreadable or ErrInvalid.
func Load(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return Parse(content)
}

// Parse reads and checks the content of a settings file.
func Parse(content []byte) (Settings, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	var settings Settings
	if err := decoder.Decode(&settings); err != nil {
		return Settings{}, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return settings, settings.check()
}

// check reports all invalid fields at once.
func (s Settings) check() error {
	var faults []error
	fault := func(field, message string) {
		faults = append(faults, fmt.Errorf("%w: %s: %s", ErrInvalid, field, message))
	}
	if s.Node.Name == "" {
		fault("node.name", "is missing")
	}
	if s.Node.Zone == "" {
		fault("node.zone", "is missing")
	}
	checkAddress("store.address", s.Store.Address, true, fault)
	checkAddress("listen.callers", s.Listen.Callers, false, fault)
	checkAddress("listen.ready", s.Listen.Ready, false, fault)
	checkAddress("listen.peers", s.Listen.Peers, true, fault)
	for _, seed := range s.Seeds {
		checkAddress("seeds", seed, true, fault)
	}
	if s.Limits.MemoryMB <= 0 {
		fault("limits.memory_mb", "must be above zero")
	}
	if s.Bounds.GraceS <= 0 {
		fault("bounds.grace_s", "must be above zero")
	}
	if s.Bounds.HeartbeatMs <= 0 {
		fault("bounds.heartbeat_ms", "must be above zero")
	}
	if s.Bounds.QuotaWindowS < 0 {
		fault("bounds.quota_window_s", "must not be below zero")
	}
	if s.Bounds.TolerableDiskLosses < 0 {
		fault("bounds.lost_disks", "must not be below zero")
	}
	if s.Store.ValueBytes <= 0 {
		fault("store.value_bytes", "must be above zero")
	}
	return errors.Join(faults...)
}

func checkAddress(field, address string, required bool, fault func(field, message string)) {
	if address == "" {
		if required {
			fault(field, "is missing")
		}
		return
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		fault(field, "must be an IP address and a port")
	}
}
