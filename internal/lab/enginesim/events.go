package enginesim

import (
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/engine/openaihttp/dialect"
	"mallowlatch.example/mallowlatch/internal/lab/prefixcache"
)

// eventHistory bounds the cache events held.
const eventHistory = 4096

// timedEvent is a cache event, when it happened, and whether it is lost: then no reader ever sees it.
type timedEvent struct {
	at    time.Time
	event dialect.CacheEvent
	lost  bool
}

// eventLog holds the newest cache events, in order, until readers may see them. The engine's lock guards it.
type eventLog struct {
	last   uint64
	events []timedEvent
}

// add books an event at the next sequence number.
func (l *eventLog) add(block uint64, stored, lost bool, now time.Time) {
	l.last++
	event := dialect.CacheEvent{Sequence: l.last, Block: block, Stored: stored}
	l.events = append(l.events, timedEvent{at: now, event: event, lost: lost})
	if excess := len(l.events) - eventHistory; excess > 0 {
		l.events = slices.Delete(l.events, 0, excess)
	}
}

// read returns the sampled events after a sequence number that happened before the moment, the number of the last of all
// that did, lost ones included, and how many of all blocks it has. One that fell out of the history is missing too.
func (l *eventLog) read(after uint64, sampleBits uint, before time.Time) dialect.CacheEvents {
	published := dialect.CacheEvents{Newest: l.last - uint64(len(l.events)), Events: []dialect.CacheEvent{}}
	for _, timed := range l.events {
		if timed.at.After(before) {
			break
		}
		published.Newest = timed.event.Sequence
		if timed.event.Sequence <= after || timed.lost {
			continue
		}
		published.Held++
		if sampled(timed.event.Block, sampleBits) {
			published.Events = append(published.Events, timed.event)
		}
	}
	return published
}

// sampled reports whether the block's hash ends in so many zero bits.
func sampled(block uint64, bits uint) bool { return block&(1<<bits-1) == 0 }

// cacheChanged is called by the prefix cache, under the lock.
func (e *Engine) cacheChanged(block uint64, stored bool) {
	lost := e.faults.happens(e.faults.get().EventGap)
	e.events.add(block, stored, lost, time.Now())
}

// cacheEvents returns the sampled events after a sequence number that are at least the event lag old.
func (e *Engine) cacheEvents(after uint64, sampleBits uint, now time.Time) dialect.CacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	published := e.events.read(after, sampleBits, now.Add(-e.options.EventLag))
	published.Incarnation = e.incarnation
	return published
}

// sampleOf lists the cached blocks whose hash ends in so many zero bits, the least recently used first.
func sampleOf(cache *prefixcache.Cache, sampleBits uint) []uint64 {
	blocks := []uint64{}
	for _, block := range cache.Blocks() {
		if sampled(block, sampleBits) {
			blocks = append(blocks, block)
		}
	}
	return blocks
}

// cacheBlocks returns the cached blocks of a sample as they stand now.
func (e *Engine) cacheBlocks(sampleBits uint) dialect.CacheBlocks {
	e.mu.Lock()
	defer e.mu.Unlock()
	return dialect.CacheBlocks{
		Incarnation: e.incarnation,
		Sequence:    e.events.last,
		SampleBits:  sampleBits,
		Blocks:      sampleOf(e.cache, sampleBits),
	}
}
