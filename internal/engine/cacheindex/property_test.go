package cacheindex

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/engine"
)

var begin = time.Unix(1_800_000_000, 0)

const pollPeriod = 250 * time.Millisecond

// scriptedEngine is an engine's cache and its event log, of which events get lost for good.
type scriptedEngine struct {
	incarnation int
	cached      map[uint64]bool
	order       []uint64
	events      []engine.CacheEvent
	last        uint64
	history     int
	// past holds the cache as it stood after each event of each incarnation.
	past map[moment]map[uint64]bool
}

// moment is an event of an incarnation.
type moment struct {
	incarnation string
	event       uint64
}

func newScriptedEngine(history int) *scriptedEngine {
	created := &scriptedEngine{cached: map[uint64]bool{}, history: history, past: map[moment]map[uint64]bool{}}
	created.remember()
	return created
}

func (e *scriptedEngine) remember() { e.past[moment{e.name(), e.last}] = maps.Clone(e.cached) }

func (e *scriptedEngine) change(block uint64, lost bool) {
	e.cached[block] = !e.cached[block]
	e.order = append(e.order, block)
	e.last++
	if !lost {
		e.events = append(e.events, engine.CacheEvent{Sequence: e.last, Block: block, Stored: e.cached[block]})
	}
	if len(e.events) > e.history {
		e.events = e.events[1:]
	}
	e.remember()
}

func (e *scriptedEngine) restart() {
	*e = scriptedEngine{incarnation: e.incarnation + 1, cached: map[uint64]bool{}, history: e.history, past: e.past}
	e.remember()
}

func (e *scriptedEngine) name() string { return fmt.Sprint("incarnation ", e.incarnation) }

// answer is an answer to a question, on its way.
type answer struct {
	events  *engine.CacheEvents
	listing *engine.CacheBlocks
}

func (e *scriptedEngine) ask(question Question, published uint64) answer {
	if question.Listing {
		listing := &engine.CacheBlocks{Incarnation: e.name(), Sequence: e.last, SampleBits: question.SampleBits}
		listed := map[uint64]bool{}
		for _, block := range e.order {
			if e.cached[block] && !listed[block] && sampled(block, question.SampleBits) {
				listed[block] = true
				listing.Blocks = append(listing.Blocks, block)
			}
		}
		return answer{listing: listing}
	}
	events := &engine.CacheEvents{
		Incarnation: e.name(), After: question.After, SampleBits: question.SampleBits, Newest: min(published, e.last),
	}
	for _, event := range e.events {
		if event.Sequence <= question.After || event.Sequence > published {
			continue
		}
		events.Held++
		if sampled(event.Block, question.SampleBits) {
			events.Events = append(events.Events, event)
		}
	}
	slices.Reverse(events.Events)
	return answer{events: events}
}

func (a answer) deliver(index *Index, now time.Time) {
	if a.listing != nil {
		index.TakeListing(*a.listing)
		return
	}
	index.TakeEvents(*a.events, now)
}

// assertRepeatable checks that events the index has already taken change nothing when they come again, however late.
func (a answer) assertRepeatable(t *rapid.T, index *Index, now time.Time) {
	t.Helper()
	if a.events == nil || a.events.Incarnation != index.incarnation || a.events.Newest > index.applied {
		return
	}
	sure, applied, position := index.sure, index.applied, index.position
	a.deliver(index, now.Add(time.Hour))
	a.deliver(index, now.Add(2*time.Hour))
	assert.Equal(t, index.sure, sure)
	assert.Equal(t, index.applied, applied)
	assert.Equal(t, index.position, position)
}

// drawnBlock draws one of 40 blocks with different fingerprints, half of them sampled.
func drawnBlock(t *rapid.T) uint64 {
	number := rapid.Uint64Range(0, 39).Draw(t, "block")
	return number<<32 | number%2
}

// assertEqual checks that the index holds exactly the sampled part of the engine's cache.
func assertEqual(t *rapid.T, index *Index, truth map[uint64]bool) {
	t.Helper()
	expected := 0
	for block, cached := range truth {
		if !sampled(block, index.bits) {
			continue
		}
		assert.Equal(t, index.has(block), cached, "block %x", block)
		if cached {
			expected++
		}
	}
	assert.Equal(t, index.held, expected)
}

// TestIndexEqualsTheCacheAfterQuiet draws changes, lost events, restarts of the engine, and answers that are lost, late,
// doubled and out of order. While the index is sure, it equals the cache as of the event it has applied; after quiet it is
// sure and equals the cache; a view that reads it by small deltas, some lost, ends equal to it.
func TestIndexEqualsTheCacheAfterQuiet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth := newScriptedEngine(rapid.IntRange(1, 60).Draw(t, "history"))
		index, view := New(1), &View{}
		limit := rapid.IntRange(1, 9).Draw(t, "limit")
		now := begin
		var late []answer
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(pollPeriod)
			for range rapid.IntRange(0, 12).Draw(t, "changes") {
				truth.change(drawnBlock(t), rapid.IntRange(0, 9).Draw(t, "lost") == 9)
			}
			if rapid.IntRange(0, 19).Draw(t, "restart") == 19 {
				truth.restart()
			}
			published := truth.last - min(truth.last, rapid.Uint64Range(0, 5).Draw(t, "lag"))
			given := truth.ask(index.Next(now), published)
			switch rapid.IntRange(0, 5).Draw(t, "fate") {
			case 0:
			case 1:
				late = append(late, given)
			case 2:
				late = append(late, given)
				given.deliver(index, now)
			case 3:
				given.deliver(index, now)
				for len(late) > 0 {
					late[len(late)-1].deliver(index, now)
					late = late[:len(late)-1]
				}
			default:
				given.deliver(index, now)
				given.assertRepeatable(t, index, now)
			}
			if index.sure {
				assertEqual(t, index, truth.past[moment{index.incarnation, index.applied}])
			}
			if rapid.Bool().Draw(t, "reads") {
				view.Take(index.Since(view.Mark(), limit), now)
			}
		}
		for range int((2*listingPause+2*gapPatience)/pollPeriod) + 1 {
			now = now.Add(pollPeriod)
			truth.ask(index.Next(now), truth.last).deliver(index, now)
		}
		assert.Assert(t, index.Sure())
		assertEqual(t, index, truth.cached)
		truth.history = 1000
		for range 5 {
			for range rapid.IntRange(0, 6).Draw(t, "quiet changes") {
				truth.change(drawnBlock(t), false)
			}
			now = now.Add(listingPause)
			truth.ask(index.Next(now), truth.last).deliver(index, now)
			assert.Assert(t, index.Sure(), "unsure though nothing was lost")
			assertEqual(t, index, truth.cached)
		}
		for range len(truth.cached)*2 + 2 {
			view.Take(index.Since(view.Mark(), limit), now)
		}
		assert.Assert(t, view.whole)
		assert.Equal(t, len(view.held), index.held)
		for block, cached := range truth.cached {
			if sampled(block, index.bits) {
				_, held := view.held[fingerprint(block)]
				assert.Equal(t, held, cached)
			}
		}
	})
}

// TestMemoryIsBounded feeds an index far more blocks than it may hold, by events and by listings, of hashes that are even
// or all fall into the sample, and a reader by pages.
func TestMemoryIsBounded(t *testing.T) {
	for _, shift := range []uint{0, 12} {
		random := rand.New(rand.NewPCG(1, uint64(shift)))
		index, view := New(1), &View{}
		var cached []uint64
		for number := range uint64(60_000) {
			block := random.Uint64() << shift
			feed(index, engine.CacheEvent{Sequence: 2*number + 1, Block: block, Stored: true})
			if number%2 == 0 {
				cached = append(cached, block)
				continue
			}
			feed(index, engine.CacheEvent{Sequence: 2*number + 2, Block: block})
			assertBounded(t, index)
			if number%100 == 1 {
				view.Take(index.Since(view.Mark(), 64), begin)
				assert.Assert(t, len(view.held) <= MaxBlocks)
			}
		}
		index.TakeListing(engine.CacheBlocks{Sequence: 200_000, SampleBits: BaseSampleBits, Blocks: cached})
		assertBounded(t, index)
		assert.Assert(t, index.held > MaxBlocks/4, "the sample is no smaller than need be: %d", index.held)
		for range 2 * MaxBlocks / 64 {
			view.Take(index.Since(view.Mark(), 64), begin)
		}
		assert.Assert(t, view.whole)
		assert.Equal(t, len(view.held), index.held)
	}
}

func feed(index *Index, event engine.CacheEvent) {
	events := []engine.CacheEvent{event}
	index.TakeEvents(engine.CacheEvents{After: index.applied, Newest: event.Sequence, Held: 1, Events: events}, begin)
}

// TestReaderCatchesUpOverForgottenRemovals has blocks in steady use among ten thousand that come and go. A reader that
// begins anew, and one that was away, both end equal to the index within the pages it takes, while the rest goes on.
func TestReaderCatchesUpOverForgottenRemovals(t *testing.T) {
	const steady, limit = 500, 64
	held := newSample(1, 0)
	churn := func(from, count uint64) {
		for block := from; block < from+count; block++ {
			held.set(block<<32, true)
			held.set(block<<32, false)
		}
	}
	for block := range uint64(steady) {
		held.set(block<<32, true)
	}
	view := &View{}
	catchUp := func(from uint64) {
		for page := range uint64(steady/limit + 2) {
			view.Take(held.since(view.Mark(), limit), begin)
			churn(from+10*page, 10)
		}
		view.Take(held.since(view.Mark(), limit), begin)
		assert.Equal(t, view.Mark(), Mark{Epoch: 1, Position: held.position})
		assert.Equal(t, len(view.held), held.held)
	}
	churn(1_000, 10_000)
	catchUp(100_000)
	held.set(7<<32, false)
	churn(200_000, 10_000)
	catchUp(300_000)
	assert.Equal(t, len(view.held), steady-1)
	for page := range uint64(100) {
		lie := Delta{Mark: Mark{Epoch: 1, Position: 1_000_000 + page}}
		for number := range uint32(limit) {
			lie.Stored = append(lie.Stored, 1_000_000+uint32(page)*limit+number)
		}
		view.Take(lie, begin)
		assert.Assert(t, len(view.held) <= MaxBlocks, "a lying owner fills the view")
	}
}

// TestAnswersToOtherQuestionsAreIgnored gives an index answers that are not to what it would ask now, and a reader the news
// of the first listing.
func TestAnswersToOtherQuestionsAreIgnored(t *testing.T) {
	index, view := New(1), &View{}
	feed(index, engine.CacheEvent{Sequence: 1, Block: 1 << 40, Stored: true})
	view.Take(index.Since(view.Mark(), 64), begin)
	assert.Assert(t, !view.whole, "absence is known without a listing")
	index.TakeListing(engine.CacheBlocks{Sequence: 1, SampleBits: BaseSampleBits, Blocks: []uint64{1 << 40}})
	view.Take(index.Since(view.Mark(), 64), begin)
	assert.Assert(t, view.whole)
	fresh := New(1)
	assert.Assert(t, fresh.Next(begin).Listing)
	fresh.TakeListing(engine.CacheBlocks{Incarnation: "first", SampleBits: BaseSampleBits})
	assert.Assert(t, !fresh.Next(begin.Add(pollPeriod)).Listing, "two listings of one start")
	removed := []engine.CacheEvent{{Sequence: 2, Block: 1 << 40}}
	for _, other := range []engine.CacheEvents{
		{After: 1, SampleBits: BaseSampleBits + 1, Newest: 2, Held: 1},
		{After: 2, SampleBits: BaseSampleBits, Newest: 3, Held: 1},
		{After: 0, SampleBits: BaseSampleBits, Newest: 1, Held: 1},
	} {
		other.Events = removed
		index.TakeEvents(other, begin)
		assert.Equal(t, index.applied, uint64(1))
		assert.Assert(t, index.has(1<<40))
	}
}

func assertBounded(t *testing.T, index *Index) {
	t.Helper()
	assert.Assert(t, index.held <= MaxBlocks)
	assert.Assert(t, len(index.log) <= 2*(MaxBlocks+maxTombstones)+1)
	assert.Assert(t, len(index.last) <= 2*(MaxBlocks+maxTombstones)+1)
}

// TestBoundsHoldWhateverDeltasSay draws any deltas, also absurd ones, and checks that the bounds stay within the prompt and
// that the view abstains when it knows nothing of it.
func TestBoundsHoldWhateverDeltasSay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := &View{}
		blocks := rapid.SliceOfN(rapid.Uint64(), 0, 20).Draw(t, "blocks")
		names := []uint32{0, 1}
		for _, block := range blocks {
			names = append(names, fingerprint(block))
		}
		for range rapid.IntRange(0, 6).Draw(t, "deltas") {
			view.Take(Delta{
				Mark:       Mark{Epoch: rapid.Uint32Range(0, 2).Draw(t, "epoch"), Position: rapid.Uint64Range(0, 9).Draw(t, "position")},
				SampleBits: rapid.UintRange(0, 70).Draw(t, "bits"),
				Reset:      rapid.Bool().Draw(t, "reset"),
				Unchanged:  rapid.Bool().Draw(t, "unchanged"),
				Listed:     rapid.Bool().Draw(t, "listed"),
				More:       rapid.Bool().Draw(t, "more"),
				Stored:     rapid.SliceOf(rapid.SampledFrom(names)).Draw(t, "stored"),
				Removed:    rapid.SliceOf(rapid.SampledFrom(names)).Draw(t, "removed"),
			}, begin)
		}
		least, greatest, known := view.Bounds(blocks, begin)
		assert.Assert(t, 0 <= least && least <= greatest && greatest <= len(blocks))
		if !known {
			assert.Equal(t, least, 0)
			assert.Equal(t, greatest, len(blocks))
		}
		_, _, known = view.Bounds(blocks, begin.Add(viewLife+time.Nanosecond))
		assert.Assert(t, !known, "a view without news abstains")
	})
}
