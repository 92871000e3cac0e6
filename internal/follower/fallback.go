package follower

import (
	"math/rand/v2"
	"time"
)

// Fallback is a node's part in reading the registry when the nodes that read for the others fail.
type Fallback struct {
	// First means that the node is one of those that others ask, and reads without delay.
	First bool
	// RelaysToOthers means that the node passes on what it reads.
	RelaysToOthers bool
	// Workers is the number of nodes that pass on what they read.
	Workers int
}

const (
	// shortList is the number of runners up to which a list takes a page or two, so that each node may read it at once.
	shortList = 400
	// minRunnersPerWorker is the number of runners for each worker that a list is assumed to have at least: while a fleet starts,
	// it is not complete yet.
	minRunnersPerWorker = 8
	// relayTimePerRunner is the time that a list takes from the registry to the last node, by the number of its runners.
	relayTimePerRunner = 100 * time.Microsecond
	// relaySpread and othersSpread are the times over which nodes that pass lists on, and the others, spread their own reading of
	// a list, by the number of its runners and of the workers. Some seven nodes follow each worker, and an entry has some 300
	// bytes: if all nodes read a list of ten thousand runners at once, none would have it for half a minute.
	relaySpread  = 16 * time.Microsecond
	othersSpread = 64 * time.Microsecond
)

// delay returns how long a node waits for others before it reads a list of a number of runners itself. random is drawn evenly from
// [0, 1).
func (f Fallback) delay(runners int, random float64) time.Duration {
	runners = max(runners, minRunnersPerWorker*f.Workers)
	if f.First || runners <= shortList {
		return 0
	}
	spread := othersSpread
	if f.RelaysToOthers {
		spread = relaySpread
	}
	drawn := random * float64(runners) * float64(f.Workers) * float64(spread)
	return time.Duration(runners)*relayTimePerRunner + time.Duration(drawn)
}

// fallbackDelay draws this node's delay.
func (f *Follower) fallbackDelay() time.Duration {
	if f.Fallback == nil {
		return 0
	}
	return f.Fallback().delay(f.Runners.Count(), rand.Float64())
}

// waitsForOthers reports whether this node waits for others to read a long list before it reads it itself, even if none of those
// that it asks answers.
func (f *Follower) waitsForOthers() bool {
	return f.Fallback != nil && f.Fallback().delay(f.Runners.Count(), 0) > 0
}

// readInterval returns the time between two readings of the list by this node. A long list takes longer to reach all nodes, and is
// read earlier, so that it is as fresh there.
func (f *Follower) readInterval() time.Duration {
	if f.Runners.Count() > shortList {
		return f.Options.ListInterval / 2
	}
	return f.Options.ListInterval
}
