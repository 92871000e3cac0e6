package exchange

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/dispatch/dispatchpb"
	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/engine/cacheindex"
	"mallowlatch.example/mallowlatch/internal/ident"
)

const (
	// maxCacheChanges bounds the changes of one runner's cache in one reply: at most 1 KiB. On a busy runner a reply may have
	// to hold those of a minute.
	maxCacheChanges = 256
	// maxOwnReads is enough for this node's own table to read a full index.
	maxOwnReads = 2 * cacheindex.MaxBlocks / maxCacheChanges
	// cacheTimeout bounds a question about a cache, so that it does not hold up the runner's load reports.
	cacheTimeout = 500 * time.Millisecond
	// fingerprintBytes is the size of a block's name on the wire.
	fingerprintBytes = 4
)

// cacheFollower holds the indices of the caches of the runners this node owns. It is safe for concurrent use.
type cacheFollower struct {
	mutex   sync.Mutex
	indices map[ident.Runner]*cacheindex.Index
}

func newCacheFollower() *cacheFollower {
	return &cacheFollower{indices: map[ident.Runner]*cacheindex.Index{}}
}

// with visits the index of a runner, which begins empty, at an epoch that no other index is likely to have.
func (f *cacheFollower) with(runner ident.Runner, visit func(*cacheindex.Index)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	index, known := f.indices[runner]
	if !known {
		index = cacheindex.New(rand.Uint32())
		f.indices[runner] = index
	}
	visit(index)
}

// since returns what a reader at the mark does not know, or false for a runner whose cache this node does not follow.
func (f *cacheFollower) since(runner ident.Runner, mark cacheindex.Mark) (cacheindex.Delta, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	index, known := f.indices[runner]
	if !known {
		return cacheindex.Delta{}, false
	}
	return index.Since(mark, maxCacheChanges), true
}

// keep forgets the runners that this node owns no more.
func (f *cacheFollower) keep(owns func(ident.Runner) (own, ownerless bool)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for runner := range f.indices {
		if own, _ := owns(runner); !own {
			delete(f.indices, runner)
		}
	}
}

// followCache asks an owned engine one question about its cache and passes on what is new to this node's own table. A
// question that fails is asked again later; it says nothing about the engine's health.
func (e *Exchange) followCache(ctx context.Context, runner ident.Runner, target engine.Engine) {
	if _, wanted := e.config.Table.CacheMark(runner); !wanted {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, cacheTimeout)
	defer cancel()
	if err := e.askCache(ctx, runner, target); err != nil {
		e.metrics.questions.WithLabelValues("failed").Inc()
		return
	}
	for range maxOwnReads {
		mark, _ := e.config.Table.CacheMark(runner)
		delta, known := e.core.caches.since(runner, mark)
		if !known {
			return
		}
		e.config.Table.ObserveCache(runner, delta, e.config.Now())
		if !delta.More {
			return
		}
	}
}

func (e *Exchange) askCache(ctx context.Context, runner ident.Runner, target engine.Engine) error {
	var question cacheindex.Question
	e.core.caches.with(runner, func(index *cacheindex.Index) { question = index.Next(e.config.Now()) })
	if question.Listing {
		listing, err := target.CacheBlocks(ctx, question.SampleBits)
		if err != nil {
			return err
		}
		e.metrics.questions.WithLabelValues("listing").Inc()
		e.core.caches.with(runner, func(index *cacheindex.Index) { index.TakeListing(listing) })
		return nil
	}
	published, err := target.CacheEvents(ctx, question.After, question.SampleBits)
	if err != nil {
		return err
	}
	e.metrics.questions.WithLabelValues("events").Inc()
	e.core.caches.with(runner, func(index *cacheindex.Index) { index.TakeEvents(published, e.config.Now()) })
	return nil
}

// encodeCount writes a count and how far this node's view of the runner's cache has come.
func (c *Core) encodeCount(runner ident.Runner, inFlight int) *dispatchpb.OnlineCount {
	count := &dispatchpb.OnlineCount{Runner: string(runner), InFlight: uint32(inFlight)}
	if mark, wanted := c.config.Table.CacheMark(runner); wanted {
		count.Cache = encodeMark(mark)
	}
	return count
}

// cacheChanges returns what the sender of counts does not know of the caches it asked for and this node follows.
func (c *Core) cacheChanges(counts []*dispatchpb.OnlineCount) []*dispatchpb.CacheDelta {
	var changes []*dispatchpb.CacheDelta
	for place, count := range counts {
		if count.GetCache() == nil {
			continue
		}
		delta, known := c.caches.since(ident.Runner(count.GetRunner()), decodeMark(count.GetCache()))
		if !known {
			continue
		}
		encoded := encodeDelta(delta)
		encoded.Count = uint32(place)
		changes = append(changes, encoded)
	}
	return changes
}

// TakeReply takes an owner's answer to a message of counts. It is safe for concurrent use.
func (c *Core) TakeReply(tell Tell, states *dispatchpb.RunnerStates, now time.Time) {
	c.Take(states, now)
	counts := tell.Message.GetCounts()
	for _, delta := range states.GetCaches() {
		if place := int(delta.GetCount()); place < len(counts) {
			c.config.Table.ObserveCache(ident.Runner(counts[place].GetRunner()), decodeDelta(delta), now)
		}
	}
}

func encodeMark(mark cacheindex.Mark) *dispatchpb.CacheMark {
	return &dispatchpb.CacheMark{Epoch: mark.Epoch, Position: mark.Position, Base: mark.Base}
}

func decodeMark(mark *dispatchpb.CacheMark) cacheindex.Mark {
	return cacheindex.Mark{Epoch: mark.GetEpoch(), Position: mark.GetPosition(), Base: mark.GetBase()}
}

// encodeDelta writes a delta. One without any change is empty: two bytes in its message.
func encodeDelta(delta cacheindex.Delta) *dispatchpb.CacheDelta {
	if delta.Unchanged {
		return &dispatchpb.CacheDelta{}
	}
	return &dispatchpb.CacheDelta{
		Mark:       encodeMark(delta.Mark),
		SampleBits: uint32(delta.SampleBits),
		FromEmpty:  delta.Reset,
		Listed:     delta.Listed,
		More:       delta.More,
		Stored:     encodeFingerprints(delta.Stored),
		Removed:    encodeFingerprints(delta.Removed),
	}
}

func decodeDelta(delta *dispatchpb.CacheDelta) cacheindex.Delta {
	if delta.GetMark() == nil {
		return cacheindex.Delta{Unchanged: true}
	}
	return cacheindex.Delta{
		Mark:       decodeMark(delta.GetMark()),
		SampleBits: uint(delta.GetSampleBits()),
		Reset:      delta.GetFromEmpty(),
		Listed:     delta.GetListed(),
		More:       delta.GetMore(),
		Stored:     decodeFingerprints(delta.GetStored()),
		Removed:    decodeFingerprints(delta.GetRemoved()),
	}
}

func encodeFingerprints(fingerprints []uint32) []byte {
	encoded := make([]byte, 0, fingerprintBytes*len(fingerprints))
	for _, fingerprint := range fingerprints {
		encoded = binary.LittleEndian.AppendUint32(encoded, fingerprint)
	}
	return encoded
}

// decodeFingerprints reads whole fingerprints; what is left over is ignored.
func decodeFingerprints(encoded []byte) []uint32 {
	var fingerprints []uint32
	for ; len(encoded) >= fingerprintBytes; encoded = encoded[fingerprintBytes:] {
		fingerprints = append(fingerprints, binary.LittleEndian.Uint32(encoded))
	}
	return fingerprints
}
