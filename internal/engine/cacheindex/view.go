package cacheindex

import "time"

// viewLife is how long a view counts after the last delta: counts to a busy runner are told once a minute.
const viewLife = 150 * time.Second

// View is what a reader knows of one engine's cache by deltas. The zero value knows nothing. It is not safe for
// concurrent use.
//
// Invariant: it holds at most MaxBlocks fingerprints, whatever the deltas say.
type View struct {
	mark Mark
	bits uint
	held map[uint32]struct{}
	// whole says that every change up to the last delta is known, so that a block that is not held is not cached.
	whole   bool
	takenAt time.Time
}

// Mark returns how far the view has come.
func (v *View) Mark() Mark { return v.mark }

// TakenAt returns when the view last took a delta.
func (v *View) TakenAt() time.Time { return v.takenAt }

// Take takes a delta. One that is overtaken, or that continues what the view does not know, is ignored.
func (v *View) Take(delta Delta, now time.Time) {
	if delta.Unchanged {
		v.confirm(now)
		return
	}
	if delta.Reset {
		v.held = map[uint32]struct{}{}
		v.mark = Mark{}
	} else if delta.Epoch != v.mark.Epoch || delta.Position < v.mark.Position || v.held == nil {
		return
	}
	for _, removed := range delta.Removed {
		delete(v.held, removed)
	}
	fits := len(v.held)+len(delta.Stored) <= MaxBlocks
	if fits {
		for _, stored := range delta.Stored {
			v.held[stored] = struct{}{}
		}
	}
	v.mark = delta.Mark
	v.bits = delta.SampleBits
	v.whole = fits && delta.Listed && !delta.More
	v.takenAt = now
}

// confirm takes the news that nothing is new.
func (v *View) confirm(now time.Time) {
	if v.held != nil {
		v.takenAt = now
	}
}

// Bounds returns the least and the greatest number of leading blocks of a prompt that the engine may have cached. It
// abstains, with false, when the view is too old or the prompt has no sampled block.
func (v *View) Bounds(blocks []uint64, now time.Time) (least, greatest int, known bool) {
	if v.held == nil || now.Sub(v.takenAt) > viewLife {
		return 0, len(blocks), false
	}
	for index, block := range blocks {
		if !sampled(block, v.bits) {
			continue
		}
		known = true
		if _, cached := v.held[fingerprint(block)]; !cached {
			return least, v.greatest(index, len(blocks)), true
		}
		least = index + 1
	}
	return least, len(blocks), known
}

// greatest is the greatest number of cached blocks when the sampled one at the index is not held.
func (v *View) greatest(index, length int) int {
	if v.whole {
		return index
	}
	return length
}
