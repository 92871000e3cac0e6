// Package cacheindex follows what engines hold in their prefix caches. An Index follows one engine by its cache events; a
// Delta carries what changed since a reader's last one; a View is what a reader knows by deltas.
//
// All three hold a sample: the blocks whose hash ends in a number of zero bits. Whoever knows a prompt's blocks knows
// which of them are in the sample, and since a block's hash covers everything before it, and engines evict the end of a
// prompt first, a sampled block that is cached says that all before it are. The package is pure: time is an argument.
package cacheindex

import (
	"cmp"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/engine"
)

const (
	// BaseSampleBits is the least number of zero bits at the end of a sampled hash: one block in sixteen.
	BaseSampleBits = 4
	// MaxBlocks bounds the sampled blocks of one engine. When more are cached, the sample is halved.
	MaxBlocks = 2048
	// gapPatience is how long missing events may still come before the index goes on without them.
	gapPatience = time.Second
	// listingPause is the least time between two listings of one engine, and auditPeriod the time after which a listing
	// is asked for though nothing is known to be missing.
	listingPause = 5 * time.Second
	auditPeriod  = 5 * time.Minute
)

// Index follows the prefix cache of one engine. It is not safe for concurrent use.
//
// Invariant: while the index is sure, it equals the sampled part of the engine's cache right after the event numbered
// applied, provided the engine tells the truth.
type Index struct {
	sample
	incarnation string
	applied     uint64
	// sure says that no event is known to be missing; listed that there was a listing since the engine's start, so that a
	// block that is not held is not cached, but for the few events that may be missing. It holds for a whole epoch.
	sure, listed bool
	// gapAt is the number of the event before a gap, and gapSince when the gap was first seen; zero means no gap.
	gapAt    uint64
	gapSince time.Time
	// listedAt is when a listing was last asked for.
	listedAt time.Time
}

// Question is what to ask the engine next: for a listing of the sample, or for the sampled events after a number.
type Question struct {
	Listing    bool
	SampleBits uint
	After      uint64
}

// New returns an index that knows nothing. The epoch should differ from that of any other index of the same engine.
func New(epoch uint32) *Index {
	return &Index{sample: newSample(epoch, BaseSampleBits)}
}

// Next returns the next question to the engine. A listing is asked for at most every listingPause.
func (i *Index) Next(now time.Time) Question {
	pause := listingPause
	if i.sure {
		pause = auditPeriod
	}
	if !i.listedAt.IsZero() && now.Sub(i.listedAt) < pause {
		return Question{After: i.applied, SampleBits: i.bits}
	}
	i.listedAt = now
	return Question{Listing: true, SampleBits: i.wantedBits()}
}

// wantedBits is the present sample, or the next larger one if that would surely fit.
func (i *Index) wantedBits() uint {
	if i.bits > BaseSampleBits && i.held < MaxBlocks/4 {
		return i.bits - 1
	}
	return i.bits
}

// Sure reports whether nothing is known to be missing.
func (i *Index) Sure() bool { return i.sure }

// TakeEvents takes the answer to a question for events. They may come late, twice and in any order. While some are missing
// the answer waits, for gapPatience; then the index goes on without them and is unsure until the next listing.
func (i *Index) TakeEvents(published engine.CacheEvents, now time.Time) {
	if published.Incarnation != i.incarnation {
		i.restart(published.Incarnation)
		return
	}
	if published.After > i.applied || published.SampleBits > i.bits || published.Newest <= i.applied {
		return
	}
	if !published.Complete() && !i.passGap(now) {
		return
	}
	events := slices.Clone(published.Events)
	slices.SortFunc(events, func(a, b engine.CacheEvent) int { return cmp.Compare(a.Sequence, b.Sequence) })
	for _, event := range events {
		if event.Sequence > i.applied {
			i.set(event.Block, event.Stored)
		}
	}
	i.applied = published.Newest
	i.gapSince = time.Time{}
}

// restart forgets everything and makes a listing due.
func (i *Index) restart(incarnation string) {
	i.sample = newSample(i.epoch+1, i.bits)
	i.incarnation = incarnation
	i.applied = 0
	i.sure = false
	i.listed = false
	i.gapSince = time.Time{}
	i.listedAt = time.Time{}
}

// passGap reports whether the index goes on over missing events, and is unsure from then on.
func (i *Index) passGap(now time.Time) bool {
	if !i.sure {
		return true
	}
	if i.gapSince.IsZero() || i.gapAt != i.applied {
		i.gapSince = now
		i.gapAt = i.applied
	}
	if now.Sub(i.gapSince) < gapPatience {
		return false
	}
	i.sure = false
	return true
}

// TakeListing takes the answer to a question for a listing. An older one than the events applied takes the index back to
// that point, and the events after it are asked for again.
func (i *Index) TakeListing(listing engine.CacheBlocks) {
	if listing.Incarnation != i.incarnation {
		listedAt := i.listedAt
		i.restart(listing.Incarnation)
		i.listedAt = listedAt
	}
	if listing.SampleBits != i.bits || !i.listed {
		i.sample = newSample(i.epoch+1, max(listing.SampleBits, BaseSampleBits))
	}
	i.replace(listing.Blocks)
	i.applied = listing.Sequence
	i.sure = true
	i.listed = true
	i.gapSince = time.Time{}
}

// Since returns what a reader that stands at the mark does not know yet, at most limit changes.
func (i *Index) Since(mark Mark, limit int) Delta {
	delta := i.since(mark, limit)
	delta.Listed = i.listed
	delta.Unchanged = !delta.Reset && delta.Mark == mark
	return delta
}
