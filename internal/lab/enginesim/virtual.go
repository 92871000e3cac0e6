package enginesim

import (
	"math/rand/v2"
	"time"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/lab/prefixcache"
)

// Virtual is the same engine without sockets, on a clock that its caller moves: for simulations whose figures depend on
// nothing but their seed. It is not safe for concurrent use.
type Virtual struct {
	options   Options
	scheduler scheduler
	cache     *prefixcache.Cache
	events    eventLog
	eventGap  float64
	random    *rand.Rand
	now       time.Time
	stepTime  time.Duration
}

// VirtualRequest is an online request to a virtual engine.
type VirtualRequest struct {
	ID ident.Request
	// Blocks are the prefix blocks of the prompt; PromptTokens and AnswerTokens are lengths.
	Blocks                     []uint64
	PromptTokens, AnswerTokens int
}

// NewVirtual returns a virtual engine that loses a share of its cache events.
func NewVirtual(options Options, eventGap float64) *Virtual {
	options = options.withDefaults()
	created := &Virtual{options: options, eventGap: eventGap, random: rand.New(rand.NewPCG(options.Seed, 0))}
	created.cache = prefixcache.New(options.BlockTokens, created.cacheChanged)
	created.scheduler = scheduler{options: options, cache: created.cache, started: func(*sequence) {}}
	return created
}

func (v *Virtual) cacheChanged(block uint64, stored bool) {
	v.events.add(block, stored, v.random.Float64() < v.eventGap, v.now)
}

// Submit queues a request, or reports that the waiting queue is full.
func (v *Virtual) Submit(request VirtualRequest) bool {
	if v.scheduler.full(inference.Online) {
		return false
	}
	v.scheduler.enqueue(&sequence{
		request: request.ID,
		blocks:  request.Blocks,
		prompt:  Prompt{Tokens: request.PromptTokens, AnswerTokens: request.AnswerTokens},
	})
	return true
}

// BeginStep plans a step and returns its duration, or false if there is nothing to do.
func (v *Virtual) BeginStep(now time.Time) (time.Duration, bool) {
	v.now = now
	planned := v.scheduler.plan()
	if len(v.scheduler.running) == 0 {
		return 0, false
	}
	v.stepTime = v.options.Cost.StepTime(planned.decoding, planned.prefillTokens)
	return v.stepTime, true
}

// FinishStep books the step's work and returns the requests that got their first token by it and those that ended.
func (v *Virtual) FinishStep(now time.Time) (first, ended []ident.Request) {
	v.now = now
	running := append([]*sequence(nil), v.scheduler.running...)
	for _, finished := range v.scheduler.apply() {
		ended = append(ended, finished.request)
	}
	for _, sequence := range running {
		if sequence.generated == 1 && sequence.pending == 0 {
			first = append(first, sequence.request)
		}
	}
	return first, ended
}

// Load returns the present load.
func (v *Virtual) Load(now time.Time) engine.LoadReport {
	running, waiting := v.scheduler.counts(inference.Online)
	return engine.LoadReport{
		Measured:      now,
		RunningOnline: running,
		WaitingOnline: waiting,
		MaxSequences:  v.options.MaxSequences,
		MemoryUsed:    float64(v.scheduler.memory()) / float64(v.options.MemoryTokens),
		MemoryTokens:  v.options.MemoryTokens,
		StepTime:      v.stepTime,
		Models:        []engine.LoadedModel{{Name: v.options.Models[0], Version: "1"}},
	}
}

// CacheEvents returns the sampled events after a number that are at least the event lag old.
func (v *Virtual) CacheEvents(after uint64, sampleBits uint, now time.Time) engine.CacheEvents {
	read := v.events.read(after, sampleBits, now.Add(-v.options.EventLag))
	published := engine.CacheEvents{
		Incarnation: "virtual", After: after, SampleBits: sampleBits, Newest: read.Newest, Held: read.Held,
	}
	for _, event := range read.Events {
		published.Events = append(published.Events, engine.CacheEvent(event))
	}
	return published
}

// CacheBlocks lists a sample of the cached blocks.
func (v *Virtual) CacheBlocks(sampleBits uint) engine.CacheBlocks {
	return engine.CacheBlocks{
		Incarnation: "virtual",
		Sequence:    v.events.last,
		SampleBits:  sampleBits,
		Blocks:      sampleOf(v.cache, sampleBits),
	}
}

// Cached returns how many leading blocks of a prompt are cached, without counting them as used.
func (v *Virtual) Cached(blocks []uint64) int { return v.cache.Leading(blocks) }

// CachedTokens returns the prompt tokens so far that the cache saved.
func (v *Virtual) CachedTokens() int64 { return v.scheduler.counters.Cached[inference.Online] }
