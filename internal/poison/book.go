package poison

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

const (
	// enoughEnds is how many runners may end under a request before it is run no more: the most that the platform allows. A request
	// that only ran beside such ones is hardly there three times: none of 108,000 was, in 48 simulated storms of ten requests that
	// end their runners. To pass over ends at which another request had more of them, for the sake of those, had ten requests
	// hide each other: one was run 18 times more.
	enoughEnds = 3
	// keptFor is how long a record is kept after the last end under its request. One that is refused is run again then: runners
	// with other weights may be able to. If they are not, that costs three runners more.
	keptFor = time.Hour
	// keptPrints bounds the prints of a Book. Each takes 0.3 kB. A storm on 18 runners leaves some hundred, nearly all of requests
	// that only ran beside another.
	keptPrints = 512
	// keptEnds bounds the ends that are kept of one print.
	keptEnds = 16
	// toldAtOnce bounds the records of one answer, to some 60 kB. The rest is told with the next.
	toldAtOnce = 256
)

// End is the end of a runner under a request.
type End struct {
	Runner ident.Incarnation `json:"runner"`
	// AgeMs is how long ago that was when it was told, in milliseconds.
	AgeMs int64 `json:"age_ms"`
	// Excused says that a runner came to the end of the request later, so that this end had another cause.
	Excused bool `json:"excused,omitempty"`
}

// Record is what a node tells others of one print.
type Record struct {
	Print Print `json:"print"`
	Ends  []End `json:"ends"`
}

// Cursor is how far a node has read the Book of another; the zero Cursor reads from the beginning.
type Cursor struct {
	// Book tells Books apart: a node that starts again begins a new one.
	Book     int64 `json:"book,omitempty"`
	Position int64 `json:"position,omitempty"`
}

// News are the records that changed since a cursor, and the next cursor. The zero News says that nothing changed.
type News struct {
	Records []Record `json:"records,omitempty"`
	Cursor  Cursor   `json:"cursor,omitzero"`
}

// Book holds which runners ended under which requests. It is safe for concurrent use.
type Book struct {
	id    int64
	mutex sync.Mutex
	// records are by print; at most keptPrints.
	records map[Print]*record
	// position rises with each change of a record.
	position int64
	// untold is signalled when there is something to tell others, anything with each change.
	untold, anything chan struct{}
}

// record is what is known of one print.
type record struct {
	// ends are the runners that ended; at most keptEnds. An end that is excused stays so, and none is taken back: whatever the order
	// in which nodes tell each other, they come to know the same.
	ends map[ident.Incarnation]*noted
	// position is the Book's as of the last change.
	position int64
	// untold says that the record has what this node is still to tell others.
	untold bool
}

// noted is the end of one runner.
type noted struct {
	at      time.Time
	excused bool
}

// After is the cursor for the next question, where this is the answer to one with a cursor.
func (n News) After(asked Cursor) Cursor {
	if n.Cursor == (Cursor{}) {
		return asked
	}
	return n.Cursor
}

// NewBook returns an empty Book. The id tells it from those of other processes and of before a restart.
func NewBook(id int64) *Book {
	return &Book{id: id, records: map[Print]*record{}, untold: make(chan struct{}, 1), anything: make(chan struct{}, 1)}
}

// Empty says that nothing is known of any request, so that none needs to be looked up.
func (b *Book) Empty() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.records) == 0
}

// Refused says whether a request is to be run no more.
func (b *Book) Refused(print Print) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := b.records[print]
	return known != nil && known.refused()
}

// Ends returns how many runners ended under a request, and when the last did.
func (b *Book) Ends(print Print) (count int, last time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := b.records[print]
	if known == nil {
		return 0, time.Time{}
	}
	return known.count(), known.last()
}

// Ended notes that a runner ended while it ran requests. It returns those that are refused from now on.
func (b *Book) Ended(runner ident.Incarnation, prints []Print, at, now time.Time) []Print {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var refused []Print
	for _, print := range prints {
		known := b.recordOf(print)
		was := known.refused()
		if known.note(runner, at, false) {
			b.changed(known, true)
		}
		if known.refused() && !was {
			refused = append(refused, print)
		}
	}
	b.forget(now)
	return refused
}

// Well notes that a runner came to the end of a request: those that ended under it before did so for another cause.
func (b *Book) Well(print Print) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := b.records[print]
	if known == nil || known.count() == 0 {
		return
	}
	for _, end := range known.ends {
		end.excused = true
	}
	b.changed(known, true)
}

// Learn takes over what another node told. passOn says that this node is to tell others. It returns the prints that are refused
// from now on.
func (b *Book) Learn(records []Record, now time.Time, passOn bool) []Print {
	if len(records) == 0 {
		return nil
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var refused []Print
	for _, told := range records {
		known := b.recordOf(told.Print)
		was, news := known.refused(), false
		for _, end := range told.Ends {
			at := now.Add(-time.Duration(max(end.AgeMs, 0)) * time.Millisecond)
			news = known.note(end.Runner, at, end.Excused) || news
		}
		if news {
			b.changed(known, passOn)
		}
		if known.refused() && !was {
			refused = append(refused, told.Print)
		}
	}
	b.forget(now)
	return refused
}

// note takes over one end, and says whether it is news. Where no more are kept, an excused end makes room for one that is not.
func (r *record) note(runner ident.Incarnation, at time.Time, excused bool) bool {
	known := r.ends[runner]
	switch {
	case known != nil && (known.excused || !excused):
		return false
	case known != nil:
		known.excused = true
		return true
	case len(r.ends) >= keptEnds && (excused || !r.dropExcused()):
		return false
	}
	r.ends[runner] = &noted{at: at, excused: excused}
	return true
}

// dropExcused forgets one excused end, if there is any.
func (r *record) dropExcused() bool {
	for runner, end := range r.ends {
		if end.excused {
			delete(r.ends, runner)
			return true
		}
	}
	return false
}

// count is the number of ends that are not excused.
func (r *record) count() int {
	count := 0
	for _, end := range r.ends {
		if !end.excused {
			count++
		}
	}
	return count
}

// refused says that the request is to be run no more.
func (r *record) refused() bool { return r.count() >= enoughEnds }

// last is when the last runner ended.
func (r *record) last() time.Time {
	var last time.Time
	for _, end := range r.ends {
		if end.at.After(last) {
			last = end.at
		}
	}
	return last
}

// recordOf returns the record of a print, a new one where there is none. The caller holds the mutex.
func (b *Book) recordOf(print Print) *record {
	known := b.records[print]
	if known == nil {
		known = &record{ends: map[ident.Incarnation]*noted{}}
		b.records[print] = known
	}
	return known
}

// changed gives a record its place in the order of changes. The caller holds the mutex.
func (b *Book) changed(known *record, untold bool) {
	b.position++
	known.position = b.position
	signal(b.anything)
	if untold {
		known.untold = true
		signal(b.untold)
	}
}

func signal(waiting chan struct{}) {
	select {
	case waiting <- struct{}{}:
	default:
	}
}

// Changed is signalled with each change.
func (b *Book) Changed() <-chan struct{} { return b.anything }

// Untold is signalled when there is something to tell others.
func (b *Book) Untold() <-chan struct{} { return b.untold }

// Since returns the records that changed since a cursor, the earliest first; refusedOnly leaves out those of requests that may
// run and have no end that is excused.
func (b *Book) Since(cursor Cursor, now time.Time, refusedOnly bool) News {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	after := cursor.Position
	if cursor.Book != b.id {
		after = 0
	}
	if after >= b.position {
		return News{}
	}
	news := News{Cursor: Cursor{Book: b.id, Position: b.position}}
	var changed []Print
	for print, known := range b.records {
		if known.position > after && (!refusedOnly || known.refused() || known.count() < len(known.ends)) {
			changed = append(changed, print)
		}
	}
	slices.SortFunc(changed, func(first, second Print) int {
		return cmp.Compare(b.records[first].position, b.records[second].position)
	})
	if len(changed) > toldAtOnce {
		changed = changed[:toldAtOnce]
		news.Cursor.Position = b.records[changed[toldAtOnce-1]].position
	}
	for _, print := range changed {
		news.Records = append(news.Records, b.records[print].tell(print, now))
	}
	return news
}

// TakeUntold returns the records that this node is to tell others, at most as many as are told at once. What could not be told is
// given back by PutBack.
func (b *Book) TakeUntold(now time.Time) []Record {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var untold []Record
	for print, known := range b.records {
		switch {
		case !known.untold:
		case len(untold) == toldAtOnce:
			signal(b.untold)
			return untold
		default:
			known.untold = false
			untold = append(untold, known.tell(print, now))
		}
	}
	return untold
}

// PutBack has records told again.
func (b *Book) PutBack(records []Record) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, record := range records {
		if known := b.records[record.Print]; known != nil {
			known.untold = true
			signal(b.untold)
		}
	}
}

// All returns all records, at most some 150 kB.
func (b *Book) All(now time.Time) []Record {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	all := make([]Record, 0, len(b.records))
	for print, known := range b.records {
		all = append(all, known.tell(print, now))
	}
	return all
}

func (r *record) tell(print Print, now time.Time) Record {
	told := Record{Print: print}
	for runner, end := range r.ends {
		told.Ends = append(told.Ends, End{Runner: runner, AgeMs: now.Sub(end.at).Milliseconds(), Excused: end.excused})
	}
	return told
}

// forget drops what is old or too much. The caller holds the mutex.
func (b *Book) forget(now time.Time) {
	for print, known := range b.records {
		if now.Sub(known.last()) > keptFor {
			delete(b.records, print)
		}
	}
	b.bound()
}

// bound drops prints beyond what is kept: those whose ends are excused first, then those that are not refused, of each the one of which
// something was seen longest ago. The caller holds the mutex.
func (b *Book) bound() {
	over := len(b.records) - keptPrints
	if over <= 0 {
		return
	}
	prints := slices.SortedFunc(maps.Keys(b.records), func(first, second Print) int {
		one, other := b.records[first], b.records[second]
		return cmp.Or(cmp.Compare(one.rank(), other.rank()), one.last().Compare(other.last()))
	})
	for _, print := range prints[:over] {
		delete(b.records, print)
	}
}

// rank orders what is dropped: the lowest goes first.
func (r *record) rank() int {
	switch {
	case r.refused():
		return 2
	case r.count() > 0:
		return 1
	}
	return 0
}
