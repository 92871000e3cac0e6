package jobstore

import (
	"time"

	"github.com/oklog/ulid/v2"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// Settings are the limits and periods of a job shard.
type Settings struct {
	// MinimumCopies is the least size of the replica set that may accept a job, a file or a non-repeatable start.
	MinimumCopies int
	// LeaseTTL is how long a worker may run leased items without a renewal.
	LeaseTTL time.Duration
	// MaxLeaseItems bounds the items of one lease.
	MaxLeaseItems int
	// MaxItems bounds the items of one job.
	MaxItems int
	// MaxFileBytes bounds an upload, in bytes.
	MaxFileBytes int64
	// UploadTimeout is how long an upload may stay unsealed.
	UploadTimeout time.Duration
	// FileRetention and JobRetention are how long files, and jobs after their end, are kept.
	FileRetention, JobRetention time.Duration
	// LedgerTimeout is how long a started request may go without an outcome before it counts as unknown.
	LedgerTimeout time.Duration
	// LedgerRetention is how long an ended ledger entry answers resends.
	LedgerRetention time.Duration
	// RetryAfter is what refused callers are told to wait.
	RetryAfter time.Duration
	// Repeatable is the default of a service for items that do not say; nil means true.
	Repeatable func(service string) bool
	// Gone reports whether the process that was a node at a time is gone for good, so that requests it started then have
	// an unknown outcome. nil means that only LedgerTimeout ends them.
	Gone func(node ident.Node, since time.Time) bool
	// Quota returns what a tenant may keep; nil means that no tenant has a bound of its own.
	Quota func(tenant ident.Tenant) Quota
	// Room says what the disk may still take; nil means everything.
	Room func() Room
	// Now reads the clock, with its monotonic part.
	Now func() time.Time
	// NewID returns a fresh identifier that sorts by time.
	NewID func() string
}

// DefaultSettings returns the settings of a production fleet.
func DefaultSettings() Settings {
	const day = 24 * time.Hour
	return Settings{
		MinimumCopies:   3,
		LeaseTTL:        10 * time.Second,
		MaxLeaseItems:   512,
		MaxItems:        130_000,
		MaxFileBytes:    1 << 30,
		UploadTimeout:   time.Hour,
		FileRetention:   30 * day,
		JobRetention:    30 * day,
		LedgerTimeout:   10 * time.Minute,
		LedgerRetention: day,
		RetryAfter:      2 * time.Second,
		Now:             time.Now,
		NewID:           func() string { return ulid.Make().String() },
	}
}

// driftShare is the allowance for clocks that run at different rates: a leader keeps a lease for a sixteenth of its
// TTL longer than its worker does.
const driftShare = 16

// leaderTTL is how long the leader keeps a lease after it granted or renewed it. The worker counts the plain TTL from
// before it asked, so it stops first as long as clock rates differ by less than one part in driftShare.
func (s Settings) leaderTTL() time.Duration {
	return s.LeaseTTL + s.LeaseTTL/driftShare
}

func (s Settings) repeatable(service string) bool {
	return s.Repeatable == nil || s.Repeatable(service)
}
