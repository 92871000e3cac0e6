package enginesim

import (
	"math/rand/v2"
	"time"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// virtualIncarnation is that of every Virtual: none restarts.
const virtualIncarnation = "virtual"

// virtualCache is what a Virtual publishes of its prefix cache.
type virtualCache struct {
	events eventLog
	gap    float64
	random *rand.Rand
	now    time.Time
}

func newVirtualCache(seed uint64) virtualCache {
	return virtualCache{random: rand.New(rand.NewPCG(seed, 0))}
}

func (c *virtualCache) changed(block uint64, stored bool) {
	c.events.add(block, stored, c.random.Float64() < c.gap, c.now)
}

// LoseEvents has the engine lose a share of its cache events from now on.
func (v *Virtual) LoseEvents(share float64) { v.cache.gap = share }

// At sets the moment of the cache events of what is done next.
func (v *Virtual) At(now time.Time) { v.cache.now = now }

// CacheEvents returns the sampled events after a number that are at least the event lag old.
func (v *Virtual) CacheEvents(after uint64, sampleBits uint, now time.Time) engine.CacheEvents {
	read := v.cache.events.read(after, sampleBits, now.Add(-v.scheduler.options.EventLag))
	published := engine.CacheEvents{
		Incarnation: virtualIncarnation, After: after, SampleBits: sampleBits, Newest: read.Newest, Held: read.Held,
	}
	for _, event := range read.Events {
		published.Events = append(published.Events, engine.CacheEvent(event))
	}
	return published
}

// CacheBlocks lists a sample of the cached blocks.
func (v *Virtual) CacheBlocks(sampleBits uint) engine.CacheBlocks {
	return engine.CacheBlocks{
		Incarnation: virtualIncarnation,
		Sequence:    v.cache.events.last,
		SampleBits:  sampleBits,
		Blocks:      sampleOf(v.scheduler.cache, sampleBits),
	}
}

// Cached returns how many leading blocks of a prompt are cached, without counting them as used.
func (v *Virtual) Cached(blocks []uint64) int { return v.scheduler.cache.Leading(blocks) }

// CachedTokens returns the online prompt tokens so far that the cache saved.
func (v *Virtual) CachedTokens() int64 { return v.scheduler.counters.Cached[inference.Online] }
