package poison

import (
	"cmp"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

// A part of a prompt may crash each runner that begins to answer a request with it, whatever else the request holds, so that requests of which
// no two are alike crash one runner after the other. The part is found among those of the requests that waited for their first event at runners
// that crashed: it is the one with which no answer begins, and which explains the most crashes.

const (
	// partLimit is the number of crashes that withhold a part with which no answer ever began, servedLimit that of a part or request that was
	// served before; then servedAnswers answers to others must have begun since the first of them too.
	partLimit     = 4
	servedLimit   = 8
	servedAnswers = 20
	// experiencedAnswers is the number of answers that must have begun at a node before it judges parts by itself: until then it cannot tell one
	// with which no answer begins, unless a part that was served was in requests at the same crashes.
	experiencedAnswers = 20
	// maxPartCrashes bounds the crashes stored for one part. All crashes that a part caused are needed to tell it from those beside it.
	maxPartCrashes = 64
	// maxRecent bounds one generation of a recentSet. Each fingerprint takes some 100 bytes.
	maxRecent = 4096
	// partRetention is how long a part is withheld after its last crash. Then requests with it may run again, because runners of another
	// version may be able to run them. If they are not, they crash four more.
	partRetention = 10 * time.Minute
)

// recentSet holds the fingerprints that were added last, in two generations. The zero value is empty.
type recentSet struct{ current, previous map[Fingerprint]bool }

func (s *recentSet) add(fingerprint Fingerprint) {
	if s.current[fingerprint] {
		return
	}
	if len(s.current) >= maxRecent || s.current == nil {
		s.current, s.previous = map[Fingerprint]bool{}, s.current
	}
	s.current[fingerprint] = true
}

func (s *recentSet) has(fingerprint Fingerprint) bool {
	return s.current[fingerprint] || s.previous[fingerprint]
}

// withheldParts is the result of judging all parts, as of a position of the Book and a number of answers.
type withheldParts struct {
	parts map[Fingerprint]bool
	// explained are the runners whose crashes the parts explain.
	explained         map[ident.Incarnation]bool
	position, answers int64
	judged            bool
}

// RecordPartCrash records that a runner crashed while requests with some parts waited there for their first event. It returns the parts that
// are withheld from now on.
func (b *Book) RecordPartCrash(runner work.Runner, parts []Fingerprint, at, now time.Time) []Fingerprint {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	before := b.withheldNow()
	for _, part := range parts {
		known := b.recordOf(part)
		if known.count() == 0 {
			known.answers = b.answers
		}
		if known.add(runner.ID, crash{at: at, service: runner.Service, version: runner.Version}) {
			b.markChanged(known, true)
		}
	}
	b.expire(now)
	return b.newlyWithheld(before)
}

// RecordBegan records that a runner began to answer a request with some parts at a time: what crashed earlier there, or at other runners of its
// service and version, had another cause.
func (b *Book) RecordBegan(runner work.Runner, parts []Fingerprint, at time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.answers++
	for _, part := range parts {
		b.began.add(part)
		if known := b.records[part]; known != nil && known.clear(runner, at) {
			b.markChanged(known, true)
		}
	}
}

// clear excuses the crashes before a time at runners of the same service and version, and reports whether there were any.
func (r *record) clear(runner work.Runner, at time.Time) bool {
	cleared := !r.served
	r.served = true
	for _, end := range r.crashes {
		if !end.excused && end.at.Before(at) && (end.service == "" || end.service == runner.Service && end.version == runner.Version) {
			end.excused, cleared = true, true
		}
	}
	if r.count() < partLimit {
		r.withheldElsewhere = false
	}
	return cleared
}

// learnServed merges what another node knows beside the crashes, and reports whether that changed the record.
func (r *record) learnServed(received *Record) bool {
	updated := received.Served && !r.served || received.Withheld && !r.withheldElsewhere
	r.served = r.served || received.Served
	r.withheldElsewhere = r.withheldElsewhere || received.Withheld
	return updated
}

// Withheld reports whether requests with one of the parts must not run at the runners of a service.
func (b *Book) Withheld(parts []Fingerprint, service string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	withheld := b.withheldNow()
	return slices.ContainsFunc(parts, func(part Fingerprint) bool { return withheld[part] && b.records[part].crashedAt(service) })
}

// LastCrash returns the number of crashes of the withheld one among some parts whose last crash at runners of a service is the latest, and the
// time of that; zero if none is withheld.
func (b *Book) LastCrash(parts []Fingerprint, service string) (crashes int, last time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	withheld := b.withheldNow()
	for _, part := range parts {
		known := b.records[part]
		if withheld[part] && known.crashedAt(service) && known.last().After(last) {
			crashes, last = known.count(), known.last()
		}
	}
	return crashes, last
}

// crashedAt reports whether a runner of the service crashed, or one of an unknown service.
func (r *record) crashedAt(service string) bool {
	for _, end := range r.crashes {
		if !end.excused && (end.service == service || end.service == "") {
			return true
		}
	}
	return false
}

// isWithheld reports whether a part was withheld when the parts were last judged. The caller holds the mutex.
func (b *Book) isWithheld(fingerprint Fingerprint) bool {
	return b.withheld.parts[fingerprint] && b.records[fingerprint] != nil
}

// newlyWithheld returns the parts that are withheld now and were not before. Others are told, for those that cannot judge yet. The caller
// holds the mutex.
func (b *Book) newlyWithheld(before map[Fingerprint]bool) []Fingerprint {
	var added []Fingerprint
	for part := range b.withheldNow() {
		if before[part] {
			continue
		}
		added = append(added, part)
		if known := b.records[part]; !known.withheldElsewhere {
			b.markChanged(known, true)
		}
	}
	return added
}

// withheldNow returns the parts that are withheld. The caller holds the mutex.
func (b *Book) withheldNow() map[Fingerprint]bool {
	w := &b.withheld
	if !w.judged || w.position != b.position || w.answers+servedAnswers <= b.answers {
		*w = withheldParts{position: b.position, answers: b.answers, judged: true}
		w.parts, w.explained = b.judge()
	}
	return w.parts
}

// explainedNow returns the runners whose crashes withheld parts explain. The caller holds the mutex.
func (b *Book) explainedNow() map[ident.Incarnation]bool {
	b.withheldNow()
	return b.withheld.explained
}

// excuseExplained excuses the crashes that a withheld part explained for requests, because the part is about to be forgotten. The caller holds
// the mutex.
func (b *Book) excuseExplained(part *record) {
	for _, known := range b.records {
		if known.limit == 0 {
			continue
		}
		for runner, end := range known.crashes {
			end.excused = end.excused || part.crashes[runner] != nil
		}
	}
}

// judge returns the parts to withhold, and the runners whose crashes they explain. Parts are judged in the order of their crashes, those with
// which no answer ever began first, and a crash that one of them explains does not count against the others. The caller holds the mutex.
func (b *Book) judge() (withheld map[Fingerprint]bool, explained map[ident.Incarnation]bool) {
	withheld, explained = map[Fingerprint]bool{}, map[ident.Incarnation]bool{}
	for _, part := range b.suspects() {
		known := b.records[part]
		if !b.guilty(known, explained) {
			continue
		}
		withheld[part] = true
		for runner, end := range known.crashes {
			if !end.excused {
				explained[runner] = true
			}
		}
	}
	return withheld, explained
}

// suspects returns the parts with enough crashes in the order in which they are judged. The caller holds the mutex.
func (b *Book) suspects() []Fingerprint {
	var suspects []Fingerprint
	counts := map[Fingerprint]int{}
	for fingerprint, known := range b.records {
		if known.limit > 0 {
			continue
		}
		if count := known.count(); count >= partLimit {
			counts[fingerprint] = count
			suspects = append(suspects, fingerprint)
		}
	}
	slices.SortFunc(suspects, func(first, second Fingerprint) int {
		served := cmp.Compare(boolRank(b.records[first].served), boolRank(b.records[second].served))
		return cmp.Or(served, cmp.Compare(counts[second], counts[first]), cmp.Compare(first, second))
	})
	return suspects
}

func boolRank(value bool) int {
	if value {
		return 1
	}
	return 0
}

// guilty reports whether a part is to be withheld, given the crashes that others explain. The caller holds the mutex.
func (b *Book) guilty(known *record, explained map[ident.Incarnation]bool) bool {
	unexplained := known.unexplained(explained)
	switch {
	case b.answers < experiencedAnswers && !b.besideServed(known):
		return known.withheldElsewhere
	case known.served:
		return b.guiltyThoughServed(known, unexplained)
	}
	return unexplained >= partLimit
}

// besideServed reports whether a part with which answers begin was in requests at as many of a part's crashes as withhold it. The caller holds the
// mutex.
func (b *Book) besideServed(known *record) bool {
	for _, other := range b.records {
		if other == known || !other.served {
			continue
		}
		shared := 0
		for runner := range known.crashes {
			if other.crashes[runner] != nil {
				shared++
			}
		}
		if shared >= partLimit {
			return true
		}
	}
	return false
}
