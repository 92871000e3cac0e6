package membership

import (
	"math/bits"
	"time"
)

// Config holds the parameters of the detector; those of DefaultConfig suit zones of up to a few hundred nodes.
type Config struct {
	// ProbePeriod is the time between two probes sent by a node; a probe not answered within it has failed.
	ProbePeriod time.Duration
	// DirectTimeout is the time without an answer after which a probe requests indirect probes.
	DirectTimeout time.Duration
	// IndirectProbes is the number of peers asked for an indirect probe.
	IndirectProbes int
	// SuspicionTimeout is the time that a suspect has to refute the suspicion.
	SuspicionTimeout time.Duration
	// IsolatedFactor multiplies SuspicionTimeout on a node that receives no messages, since the fault is then likely its own.
	IsolatedFactor int
	// IsolatedAfter is the time without a received message after which a node considers itself isolated.
	IsolatedAfter time.Duration
	// RetransmitFactor times the bit length of the zone's size is how often a node sends a change. A new configuration
	// revision is sent only RevisionSends times; a node that misses it gets it with the next full record or summary.
	RetransmitFactor int
	RevisionSends    int
	// MaxUpdates is the maximum number of records piggybacked on one message.
	MaxUpdates int
	// BridgePeriod is the time between two digests to another zone; Bridges is the number of nodes that send them.
	BridgePeriod time.Duration
	Bridges      int
	// ReachableWithin is the age of the last contact with a zone above which the zone counts as unreachable.
	ReachableWithin time.Duration
	// RepairPeriod is the time between two digests to a random peer of the same zone.
	RepairPeriod time.Duration
	// ReconnectPeriod is the mean time between two attempts to reach a seed or a member declared dead.
	ReconnectPeriod time.Duration
	// TombstoneTime is the time for which the record of a dead member is retained.
	TombstoneTime time.Duration
	// MaxMembers is the maximum number of records stored, so that a faulty peer cannot exhaust the memory.
	MaxMembers int
}

// DefaultConfig returns the settings used in production.
func DefaultConfig() Config {
	return Config{
		ProbePeriod:      time.Second,
		DirectTimeout:    400 * time.Millisecond,
		IndirectProbes:   3,
		SuspicionTimeout: 4 * time.Second,
		IsolatedFactor:   6,
		IsolatedAfter:    3 * time.Second,
		RetransmitFactor: 3,
		RevisionSends:    3,
		MaxUpdates:       12,
		BridgePeriod:     2 * time.Second,
		Bridges:          2,
		ReachableWithin:  10 * time.Second,
		RepairPeriod:     20 * time.Second,
		ReconnectPeriod:  5 * time.Second,
		TombstoneTime:    time.Hour,
		MaxMembers:       4096,
	}
}

// DetectionBound returns the time within which every reachable node of a zone of the given size has recorded the death
// of a member: two passes of probes over the zone in the worst case, the failed probe, the suspicion timeout, and the
// dissemination of the death.
func (c Config) DetectionBound(zoneSize int) time.Duration {
	pass := time.Duration(zoneSize) * c.ProbePeriod
	spread := time.Duration(bits.Len(uint(zoneSize))+3) * c.ProbePeriod
	return 2*pass + c.ProbePeriod + c.SuspicionTimeout + spread
}

// IsolatedDetectionBound is DetectionBound for a node that receives no messages and thus applies IsolatedFactor.
func (c Config) IsolatedDetectionBound(zoneSize int) time.Duration {
	return c.DetectionBound(zoneSize) + time.Duration(c.IsolatedFactor-1)*c.SuspicionTimeout
}
