package membership

import (
	"math/bits"
	"time"
)

// Config holds the detector's times and counts; DefaultConfig suits zones of up to some hundred nodes.
type Config struct {
	// ProbePeriod is the time between two probes of a node; a probe must end within it.
	ProbePeriod time.Duration
	// DirectTimeout is how long a probe waits before others are asked to probe too.
	DirectTimeout time.Duration
	// IndirectProbes is the number of peers asked to probe.
	IndirectProbes int
	// SuspicionTimeout is how long a suspect has to refute.
	SuspicionTimeout time.Duration
	// IsolatedFactor lengthens SuspicionTimeout on a node that hears from nobody: the fault is then likely its own.
	IsolatedFactor int
	// IsolatedAfter is how long nothing is heard before a node takes itself for isolated.
	IsolatedAfter time.Duration
	// RetransmitFactor times the binary digits of the zone's size is how often a node sends a change on; a new
	// configuration revision, which the next digest repairs anyway, is sent on RevisionSends times.
	RetransmitFactor int
	RevisionSends    int
	// MaxUpdates bounds the records piggybacked on one message.
	MaxUpdates int
	// BridgePeriod is the time between two digests to another zone; Bridges is the number of nodes that send them.
	BridgePeriod time.Duration
	Bridges      int
	// ReachableWithin is the age of the last contact with a zone from which it counts as cut off.
	ReachableWithin time.Duration
	// RepairPeriod is the time between two digests to a random peer of the own zone.
	RepairPeriod time.Duration
	// ReconnectPeriod is the time between two attempts to reach a seed or a member given up.
	ReconnectPeriod time.Duration
	// TombstoneTime is how long a dead member is remembered.
	TombstoneTime time.Duration
	// MaxMembers bounds the records kept, so that a faulty peer can't fill the memory.
	MaxMembers int
}

// DefaultConfig returns the settings used in service.
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

// DetectionBound returns the time within which every reachable node of a zone of the given size knows that a member
// died: one pass of probes in the worst case, the failed probe, the suspicion, and the spread of the verdict.
func (c Config) DetectionBound(zoneSize int) time.Duration {
	pass := time.Duration(zoneSize) * c.ProbePeriod
	spread := time.Duration(bits.Len(uint(zoneSize))+3) * c.ProbePeriod
	return 2*pass + c.ProbePeriod + c.SuspicionTimeout + spread
}

// LoneDetectionBound is DetectionBound for a node that hears from nobody else at all, and so must doubt itself.
func (c Config) LoneDetectionBound(zoneSize int) time.Duration {
	return c.DetectionBound(zoneSize) + time.Duration(c.IsolatedFactor-1)*c.SuspicionTimeout
}
