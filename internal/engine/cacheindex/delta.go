package cacheindex

import (
	"cmp"
	"slices"
)

// Mark says how far a reader has come: the epoch and the position of the last change it knows.
type Mark struct {
	Epoch    uint32
	Position uint64
	// Base is zero, or where the epoch stood when the reader began anew, until it has caught up. Removals up to Base are
	// of no concern to it.
	Base uint64
}

// Delta is what changed in an index since a mark. Blocks are named by their fingerprints.
type Delta struct {
	// Mark is where the reader stands after the delta.
	Mark
	// Unchanged says that the reader knows everything; then nothing else is set but the mark.
	Unchanged  bool
	SampleBits uint
	// Reset says that the reader must forget what it knew: the delta begins at nothing.
	Reset bool
	// Listed says that the index began with a listing, so that what it does not hold is not cached; More that there are
	// further changes.
	Listed, More    bool
	Stored, Removed []uint32
}

// fingerprint names a block by the upper half of its hash, which is independent of the sample.
func fingerprint(block uint64) uint32 { return uint32(block >> 32) }

// since returns the changes after the mark, the oldest first, at most limit. A reader that begins at nothing so gets the
// blocks first that have stayed longest, which in a cache of the least recently used are those in steady use.
func (s *sample) since(mark Mark, limit int) Delta {
	delta := Delta{SampleBits: s.bits}
	if mark.Epoch != s.epoch || mark.Position > s.position || max(mark.Position, mark.Base) < s.floor {
		delta.Reset = true
		mark = Mark{Epoch: s.epoch, Base: s.position}
	}
	first, _ := slices.BinarySearchFunc(s.log, mark.Position+1, func(entry logged, position uint64) int {
		return cmp.Compare(entry.position, position)
	})
	delta.Mark = Mark{Epoch: s.epoch, Position: s.position}
	for _, entry := range s.log[first:] {
		if !s.current(entry) || (entry.position <= mark.Base && !s.has(entry.block)) {
			continue
		}
		if len(delta.Stored)+len(delta.Removed) == limit {
			delta.More = true
			break
		}
		mark.Position = entry.position
		if s.has(entry.block) {
			delta.Stored = append(delta.Stored, fingerprint(entry.block))
		} else {
			delta.Removed = append(delta.Removed, fingerprint(entry.block))
		}
	}
	if delta.More {
		delta.Mark = mark
	}
	return delta
}
