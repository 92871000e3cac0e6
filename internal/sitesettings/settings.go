// Package sitesettings holds what a process on a platform's machine learns from its settings file. The file is written
// by the platform from deploy/settings.yaml, in this product's own names.
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
	// ErrUnreadable means that the file cannot be read or is not YAML.
	ErrUnreadable = failure.Kind("site settings: unreadable")
	// ErrInvalid means that a field is missing or wrong; the text names it.
	ErrInvalid = failure.Kind("site settings: invalid")
)

// Settings are those of one process.
type Settings struct {
	Node   Node   `yaml:"node"`
	Listen Listen `yaml:"listen"`
	Store  Store  `yaml:"store"`
	Limits Limits `yaml:"limits"`
	Bounds Bounds `yaml:"bounds"`
	// Seeds are addresses at which some workers may be asked, also ones that are gone.
	Seeds []string `yaml:"seeds"`
	// PrintKey keys the hashes by which nodes tell each other of requests. It is the same on all machines; empty takes one from
	// the store's address, which is no secret: whoever knows it can try out texts that they guess.
	PrintKey string `yaml:"print_key"`
}

// Node names the process and its place.
type Node struct {
	Name   string `yaml:"name"`
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
	// FirstStart says that the whole deployment starts for the first time, and all of its processes together.
	FirstStart bool `yaml:"first_start"`
	// DataFolder is empty on machines without a disk.
	DataFolder string `yaml:"data_folder"`
	// Zones are all zones of the deployment.
	Zones []string `yaml:"zones"`
}

// Listen holds the addresses the process serves; empty ones are not served.
type Listen struct {
	Callers string `yaml:"callers"`
	Ready   string `yaml:"ready"`
	// Peers is where other nodes call this one.
	Peers string `yaml:"peers"`
}

// Store is the platform's metadata store.
type Store struct {
	Address string `yaml:"address"`
	// ValueBytes is the largest value.
	ValueBytes int `yaml:"value_bytes"`
	// ShortestLeaseMs is the shortest time to live of a lease, in milliseconds.
	ShortestLeaseMs int `yaml:"shortest_lease_ms"`
}

// Limits are those of the machine.
type Limits struct {
	MemoryMB int `yaml:"memory_mb"`
	// Cores the processor shows.
	Cores int `yaml:"cores"`
	// Descriptors the process may open.
	Descriptors int `yaml:"descriptors"`
	// DiskMB is the size of the disk, zero without one.
	DiskMB float64 `yaml:"disk_mb"`
	// LinkMbps is the speed of the machine's link in megabits a second.
	LinkMbps float64 `yaml:"link_mbps"`
}

// MemoryBytes is the memory of the machine.
func (l Limits) MemoryBytes() int64 { return int64(l.MemoryMB) << 20 }

// DiskBytes is the size of the disk.
func (l Limits) DiskBytes() int64 { return int64(l.DiskMB * 1e6) }

// LinkBytes is what the link carries in bytes a second.
func (l Limits) LinkBytes() float64 { return l.LinkMbps * 1e6 / 8 }

// Bounds are the deployment's times. Values in seconds may have fractions.
type Bounds struct {
	DrainMs          int     `yaml:"drain_ms"`
	GraceS           float64 `yaml:"grace_s"`
	ConfigurationMs  int     `yaml:"configuration_ms"`
	SettleMs         int     `yaml:"settle_ms"`
	CancelMs         int     `yaml:"cancel_ms"`
	HeartbeatMs      int     `yaml:"heartbeat_ms"`
	ResultRetentionS float64 `yaml:"result_retention_s"`
	QuotaOverage     float64 `yaml:"quota_overage"`
	// QuotaWindowS is the time in which the requests of a tenant count against its limit; zero takes a few seconds.
	QuotaWindowS float64 `yaml:"quota_window_s"`
	// LostDisks is how many machines with a disk may be lost at once.
	LostDisks int `yaml:"lost_disks"`
}

// Grace is how long a process may take to stop.
func (b Bounds) Grace() time.Duration { return time.Duration(b.GraceS * float64(time.Second)) }

// Drain is how soon a leaving runner must get no more work.
func (b Bounds) Drain() time.Duration { return time.Duration(b.DrainMs) * time.Millisecond }

// Heartbeat is the time between two renewals of a runner's entry in the registry.
func (b Bounds) Heartbeat() time.Duration { return time.Duration(b.HeartbeatMs) * time.Millisecond }

// defaultQuotaWindow is taken where the deployment states none.
const defaultQuotaWindow = 5 * time.Second

// QuotaWindow is the time in which the requests of a tenant count against its limit.
func (b Bounds) QuotaWindow() time.Duration {
	if b.QuotaWindowS <= 0 {
		return defaultQuotaWindow
	}
	return time.Duration(b.QuotaWindowS * float64(time.Second))
}

// ResultRetention is how long results stay readable, counted from the submission of their job.
func (b Bounds) ResultRetention() time.Duration {
	return time.Duration(b.ResultRetentionS * float64(time.Second))
}

// ShortestLease is the shortest time to live of a lease.
func (s Store) ShortestLease() time.Duration {
	return time.Duration(s.ShortestLeaseMs) * time.Millisecond
}

// Key is what the prints of requests are made with.
func (s Settings) Key() poison.Key {
	if s.PrintKey != "" {
		return poison.Key(s.PrintKey)
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

// check reports every fault at once.
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
	if s.Bounds.LostDisks < 0 {
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
