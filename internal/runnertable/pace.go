package runnertable

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/pace"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// spokenFor is how long a word that a runner told this node itself is passed on: as long as a lost call and the pause after
	// it take twice.
	spokenFor = 1500 * time.Millisecond
	// tellsFor is how long the runners of a service count as such that tell their pace, after the last word.
	tellsFor = time.Minute
	// unseenFirst is the usual time to the first event before any was seen.
	unseenFirst = 60 * time.Millisecond
	// pauseCost is added for a runner that can't keep to the pause between events: more than all else, so that any other that may
	// take the request is chosen.
	pauseCost = 1e5
	// wordMemory is the age up to which the word of an owner that is told of work each 50 ms is one to go by, unansweredCost what its runner
	// costs more with an older one: as for the short queue that may be there.
	wordMemory     = 150 * time.Millisecond
	unansweredCost = 2 * queueCost
)

// usual is what the requests of a service take at a runner at the usual pace, as far as this node saw.
type usual struct {
	// first is the time to the first event, of requests with a prompt and without: those are other work.
	first, promptless pace.Usual
	// gap is the time between two events.
	gap pace.Usual
	// told is when a runner of this node's zone last told its pace.
	told time.Time
}

// toFirst returns the usual time to the first event of requests with a prompt, or without.
func (u *usual) toFirst(prompted bool) *pace.Usual {
	if prompted {
		return &u.first
	}
	return &u.promptless
}

// SlowPhases counts what this node heard of slow runners and how it chose.
type SlowPhases struct {
	// Begun and Ended are the slow phases of runners that it heard of.
	Begun, Ended int
	// Chosen are the choices while a runner of the service was slow, Slow those of them that fell on a slow one, and Beyond those that
	// fell on one that can't keep to the pause between events.
	Chosen, Slow, Beyond int
}

// usualOf returns what is usual at a service. The caller holds the mutex.
func (t *Table) usualOf(service string) *usual {
	found := t.usual[service]
	if found == nil {
		found = &usual{}
		t.usual[service] = found
	}
	return found
}

// slowness is what a runner's pace adds to the expected delay of the first event, in milliseconds: nothing at the usual one.
// behind are the milliseconds that a request takes there at the usual pace before its own work begins.
func (t *Table) slowness(candidate *entry, wish Wish, behind float64, now time.Time) float64 {
	at := candidate.pace.Now(now)
	if at <= 1 {
		return 0
	}
	usual := t.usualOf(wish.Service)
	first := usual.toFirst(wish.PromptTokens > 0).Or(unseenFirst) + time.Duration(behind*float64(time.Millisecond))
	cost := milliseconds(pace.Cost(first, wish.Objective, at))
	if !pace.Keeps(usual.gap.Or(0), wish.Pause, at) {
		cost += pauseCost
	}
	return cost
}

func milliseconds(duration time.Duration) float64 { return duration.Seconds() * 1000 }

// hear takes over a word of a runner's pace. The caller holds the mutex.
func (t *Table) hear(known *entry, word pace.Word, own bool, now time.Time) (changed bool) {
	changed = known.pace.Hear(word, own, now)
	switch {
	case !changed:
	case word.Pace >= pace.Slow:
		t.slowPhases.Begun++
	default:
		t.slowPhases.Ended++
	}
	return changed
}

// hearRunner takes over what a runner told this node itself, and has it passed on. The caller holds the mutex.
func (t *Table) hearRunner(known *entry, told work.Pace, now time.Time) {
	if !told.Known() {
		return
	}
	if known.runner.Zone == t.zone {
		t.usualOf(known.runner.Service).told = now
	}
	known.spoken = pace.Word{Pace: told, At: now}
	if t.hear(known, known.spoken, true, now) && t.onlineChanged != nil {
		t.onlineChanged(false)
	}
}

// seeEvent keeps what is usual at the service. The caller holds the mutex.
func (f *Flight) seeEvent(now time.Time) {
	usual, at := f.table.usualOf(f.Runner.Service), f.entry.pace.Now(now)
	if f.succeeded {
		usual.gap.See(now.Sub(f.seen), at)
	} else {
		usual.toFirst(f.prompted).See(now.Sub(f.seen), at)
	}
	f.seen = now
}

// noteChoice counts for the log. The caller holds the mutex.
func (t *Table) noteChoice(chosen *entry, wish Wish, now time.Time) {
	slow := false
	for _, candidate := range t.services[wish.Service] {
		slow = slow || candidate.pace.Now(now) >= pace.Slow
	}
	if !slow {
		return
	}
	t.slowPhases.Chosen++
	at := chosen.pace.Now(now)
	if at >= pace.Slow {
		t.slowPhases.Slow++
	}
	if !pace.Keeps(t.usualOf(wish.Service).gap.Or(0), wish.Pause, at) {
		t.slowPhases.Beyond++
	}
}

// TakeSlowPhases returns what was counted since the last call, and which runners are slow now.
func (t *Table) TakeSlowPhases(now time.Time) (counted SlowPhases, slow []string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for id, known := range t.runners {
		if known.pace.Now(now) >= pace.Slow {
			slow = append(slow, string(id))
		}
	}
	slices.Sort(slow)
	counted, t.slowPhases = t.slowPhases, SlowPhases{}
	return counted, slow
}

// unanswered is what a runner costs more because its owner's word is old although it was asked.
func (e *entry) unanswered(wish Wish, now time.Time) float64 {
	if wish.Wary && !e.share.Within(wordMemory, now) {
		return unansweredCost
	}
	return 0
}

// Would returns the runners that Pick would choose, the best first, at most a number of them. It starts nothing.
func (t *Table) Would(wish Wish, most int, now time.Time, random *rand.Rand) []work.Runner {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	type priced struct {
		runner work.Runner
		cost   float64
	}
	choice := t.choose(wish, now, random)
	var found []priced
	for _, candidate := range t.services[wish.Service] {
		if !choice.shuns(candidate) && candidate.eligible(wish, now) && !candidate.full(wish, now) {
			found = append(found, priced{candidate.runner, t.cost(candidate, wish, choice, now) + jitterCost*random.Float64()})
		}
	}
	slices.SortStableFunc(found, func(first, second priced) int { return cmp.Compare(first.cost, second.cost) })
	runners := make([]work.Runner, 0, most)
	for _, next := range found[:min(most, len(found))] {
		runners = append(runners, next.runner)
	}
	return runners
}

// TellsPace says whether runners of a service in this node's zone tell their pace.
func (t *Table) TellsPace(service string, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	usual := t.usual[service]
	return usual != nil && !usual.told.IsZero() && now.Sub(usual.told) < tellsFor
}

// HearCounts takes over what a node heard of the runners' pace, told at a moment.
func (t *Table) HearCounts(counts []demand.Count, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, count := range counts {
		if known := t.runners[count.Runner]; known != nil {
			t.hear(known, pace.Told(count.Pace, count.PaceAgeMs, now), false, now)
		}
	}
}

// Pace returns the pace that is expected of a runner: the usual one, 1, where nothing is known.
func (t *Table) Pace(id ident.Incarnation, now time.Time) work.Pace {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.runners[id]; known != nil {
		return known.pace.Now(now)
	}
	return 1
}

// PaceNews puts the newest word of a runner's pace into what its owner tells another node that was told all before a moment, where it may
// do with it.
func (t *Table) PaceNews(told *demand.Share, since, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.runners[told.Runner]
	if known == nil {
		return
	}
	if word, news := known.pace.News(since, now); news {
		told.Pace, told.PaceAgeMs = word.Pace, max(now.Sub(word.At).Milliseconds(), 0)
	}
}
