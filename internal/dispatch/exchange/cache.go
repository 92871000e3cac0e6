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
	// maxCacheChanges limits the changes of one runner's cache in one reply, to 1 KiB. On a busy runner a reply may have to
	// carry the changes of a minute.
	maxCacheChanges = 256
	// maxLocalReads limits the reads by which the local table catches up with an index. It suffices for a full index.
	maxLocalReads = 2 * cacheindex.MaxBlocks / maxCacheChanges
	// cacheTimeout limits a query of an engine's cache, so that it does not delay the runner's load reports.
	cacheTimeout = 500 * time.Millisecond
	// fingerprintBytes is the encoded size of the fingerprint of a block.
	fingerprintBytes = 4
)

// cacheFollower holds an index of the prefix cache of each runner that this node owns. It is safe for concurrent use.
type cacheFollower struct {
	mutex   sync.Mutex
	indices map[ident.Runner]*cacheindex.Index
}

func newCacheFollower() *cacheFollower {
	return &cacheFollower{indices: map[ident.Runner]*cacheindex.Index{}}
}

// with calls visit with the index of a runner, under the lock. A new index is empty and has a random epoch, which is unlikely
// to equal that of another index.
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

// since returns the changes after the mark, or false for a runner whose cache this node does not follow.
func (f *cacheFollower) since(runner ident.Runner, mark cacheindex.Mark) (cacheindex.Delta, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	index, known := f.indices[runner]
	if !known {
		return cacheindex.Delta{}, false
	}
	return index.Since(mark, maxCacheChanges), true
}

// retainOwned removes the indices of runners that this node no longer owns.
func (f *cacheFollower) retainOwned(owns func(ident.Runner) (own, ownerless bool)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for runner := range f.indices {
		if own, _ := owns(runner); !own {
			delete(f.indices, runner)
		}
	}
}

// updateCache sends one query about its cache to the engine of an owned runner and applies the changes to the local table. A
// failed query is repeated at a later poll; it does not count as a failure of the runner.
func (e *Exchange) updateCache(ctx context.Context, runner ident.Runner, target engine.Engine) {
	if _, wanted := e.config.Table.CacheMark(runner); !wanted {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, cacheTimeout)
	defer cancel()
	if err := e.queryCache(ctx, runner, target); err != nil {
		e.metrics.cacheQueries.WithLabelValues("failed").Inc()
		return
	}
	for range maxLocalReads {
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

// queryCache sends the next query of the runner's index, for a listing or for events, and adds the result to the index.
func (e *Exchange) queryCache(ctx context.Context, runner ident.Runner, target engine.Engine) error {
	var query cacheindex.Question
	e.core.caches.with(runner, func(index *cacheindex.Index) { query = index.Next(e.config.Now()) })
	if query.Listing {
		listing, err := target.CacheBlocks(ctx, query.SampleBits)
		if err != nil {
			return err
		}
		e.metrics.cacheQueries.WithLabelValues("listing").Inc()
		e.core.caches.with(runner, func(index *cacheindex.Index) { index.TakeListing(listing) })
		return nil
	}
	published, err := target.CacheEvents(ctx, query.After, query.SampleBits)
	if err != nil {
		return err
	}
	e.metrics.cacheQueries.WithLabelValues("events").Inc()
	e.core.caches.with(runner, func(index *cacheindex.Index) { index.TakeEvents(published, e.config.Now()) })
	return nil
}

// encodeCount encodes a count with the mark of this node's view of the runner's cache.
func (c *Core) encodeCount(runner ident.Runner, inFlight int) *dispatchpb.OnlineCount {
	count := &dispatchpb.OnlineCount{Runner: string(runner), InFlight: uint32(inFlight)}
	if mark, wanted := c.config.Table.CacheMark(runner); wanted {
		count.Cache = encodeMark(mark)
	}
	return count
}

// cacheChanges returns the changes since the sender's marks of the caches that it requested and this node follows.
func (c *Core) cacheChanges(counts []*dispatchpb.OnlineCount) []*dispatchpb.CacheDelta {
	var changes []*dispatchpb.CacheDelta
	for index, count := range counts {
		if count.GetCache() == nil {
			continue
		}
		delta, known := c.caches.since(ident.Runner(count.GetRunner()), decodeMark(count.GetCache()))
		if !known {
			continue
		}
		encoded := encodeDelta(delta)
		encoded.Count = uint32(index)
		changes = append(changes, encoded)
	}
	return changes
}

// ObserveReply records an owner's reply to a message of counts. It is safe for concurrent use.
func (c *Core) ObserveReply(message CountMessage, states *dispatchpb.RunnerStates, now time.Time) {
	c.ObserveStates(states, now)
	counts := message.Message.GetCounts()
	for _, delta := range states.GetCaches() {
		if index := int(delta.GetCount()); index < len(counts) {
			c.config.Table.ObserveCache(ident.Runner(counts[index].GetRunner()), decodeDelta(delta), now)
		}
	}
}

func encodeMark(mark cacheindex.Mark) *dispatchpb.CacheMark {
	return &dispatchpb.CacheMark{Epoch: mark.Epoch, Position: mark.Position, Base: mark.Base}
}

func decodeMark(mark *dispatchpb.CacheMark) cacheindex.Mark {
	return cacheindex.Mark{Epoch: mark.GetEpoch(), Position: mark.GetPosition(), Base: mark.GetBase()}
}

// encodeDelta encodes a delta. A delta without changes is encoded as an empty message, which takes two bytes.
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

// decodeFingerprints decodes fingerprints. An incomplete fingerprint at the end is ignored.
func decodeFingerprints(encoded []byte) []uint32 {
	var fingerprints []uint32
	for ; len(encoded) >= fingerprintBytes; encoded = encoded[fingerprintBytes:] {
		fingerprints = append(fingerprints, binary.LittleEndian.Uint32(encoded))
	}
	return fingerprints
}
