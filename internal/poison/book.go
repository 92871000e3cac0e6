package poison

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// crashLimit is the number of runners that may crash while running a request that no node completed before it is refused: the most that the
	// platform allows. A request that was only in flight beside such a request rarely reaches it: none of 108,000 did in 48 simulated
	// storms of ten requests that crash their runners. Ignoring crashes at which another request had a higher count, to protect such
	// requests, made ten bad requests hide each other: one was run 18 more times.
	crashLimit = 3
	// recordRetention is how long a record is retained after the last crash. A refused request may run again afterwards, because
	// runners with other weights may be able to run it. If they are not, it crashes three more runners.
	recordRetention = time.Hour
	// maxRecords bounds the records of a Book. Each takes 0.3 kB. A storm on 18 runners leaves about a hundred, nearly all of requests
	// that were only in flight beside another one.
	maxRecords = 512
	// maxCrashes bounds the crashes that are stored for one fingerprint.
	maxCrashes = 16
	// maxRecordsSent bounds the records of one message, to about 60 kB. The rest is sent in the next message.
	maxRecordsSent = 256
)

// End is the crash of a runner while it ran a request.
type End struct {
	Runner ident.Incarnation `json:"runner"`
	// AgeMs is the time from the crash to the sending of the record, in milliseconds.
	AgeMs int64 `json:"age_ms"`
	// Excused means that a runner completed the request later, or began to answer with the part, so that this crash had another cause.
	Excused bool `json:"excused,omitempty"`
	// Service and Version are those of the runner. They are set for parts; earlier builds leave them out when they pass records on.
	Service string       `json:"service,omitempty"`
	Version work.Version `json:"version,omitempty"`
}

// Record is what a node sends to others about one fingerprint.
type Record struct {
	Print Fingerprint `json:"print"`
	Ends  []End       `json:"ends"`
	// Served means that a node had answers begin with the part, or completed the request, before its first crash. Earlier builds do not say it
	// of requests.
	Served bool `json:"served,omitempty"`
	// Withheld means that the sending node refuses requests with the part.
	Withheld bool `json:"withheld,omitempty"`
}

// Cursor is the position up to which a node has read the Book of another node. The zero Cursor reads from the beginning.
type Cursor struct {
	// Book is the id of the Book: a node that restarts creates a new one.
	Book     int64 `json:"book,omitempty"`
	Position int64 `json:"position,omitempty"`
}

// Changes is the records that changed since a cursor, and the next cursor. The zero News means that nothing changed.
type Changes struct {
	Records []Record `json:"records,omitempty"`
	Cursor  Cursor   `json:"cursor,omitzero"`
}

// Book stores which runners crashed while running which requests. It is safe for concurrent use.
type Book struct {
	id    int64
	mutex sync.Mutex
	// records has at most maxRecords entries.
	records map[Fingerprint]*record
	// position increases with each change of a record.
	position int64
	// completed are the requests that runners completed for this node lately, began the parts with which answers began here, and answers is
	// the number of all answers that began here.
	completed, began recentSet
	answers          int64
	// withheld is what is known of parts; see parts.go.
	withheld withheldParts
	// unsent is signalled when there are records to send to others, changeSignal after each change.
	unsent, changeSignal chan struct{}
}

// record is the state of one fingerprint.
type record struct {
	// crashes has at most maxCrashes entries. An excused crash stays excused, and no change is undone, so that nodes converge to the
	// same records whatever the order in which they exchange them.
	crashes map[ident.Incarnation]*crash
	// position is the Book's position at the last change of the record.
	position int64
	// unsent means that the record has changes that this node has not sent to others yet.
	unsent bool
	// limit is the number of crashes that refuse the request if no node completed it; zero for a part, which is judged together with the others.
	limit int
	// served and withheldElsewhere are as in a Record. answers is the number of answers begun at this node when the first crash was recorded
	// that is not excused.
	served, withheldElsewhere bool
	answers                   int64
}

// crash is the crash of one runner.
type crash struct {
	at      time.Time
	excused bool
	// service and version are those of the runner, for parts.
	service string
	version work.Version
}

// After returns the cursor for the next call, given the cursor of the call that returned n.
func (n Changes) After(asked Cursor) Cursor {
	if n.Cursor == (Cursor{}) {
		return asked
	}
	return n.Cursor
}

// NewBook returns an empty Book. The id must differ from those of other processes and from those before a restart.
func NewBook(id int64) *Book {
	return &Book{id: id, records: map[Fingerprint]*record{}, unsent: make(chan struct{}, 1), changeSignal: make(chan struct{}, 1)}
}

// Empty reports whether the Book has no records, so that callers need not compute fingerprints.
func (b *Book) Empty() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.records) == 0
}

// Refused reports whether a request must not be run any more. Crashes that a withheld part explains do not count.
func (b *Book) Refused(fingerprint Fingerprint) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := b.records[fingerprint]
	return known != nil && known.reachedLimit() && b.refuses(known, b.explainedNow())
}

// Crashes returns how many runners crashed while running a request, without those that are excused or that a withheld part explains, and the
// time of the last crash.
func (b *Book) Crashes(fingerprint Fingerprint) (count int, last time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := b.records[fingerprint]
	if known == nil {
		return 0, time.Time{}
	}
	if fingerprint.IsPart() {
		return known.count(), known.last()
	}
	return known.unexplained(b.explainedNow()), known.last()
}

// RecordCrash records that a runner crashed while it ran requests. It returns the fingerprints that are refused from now on.
func (b *Book) RecordCrash(runner ident.Incarnation, fingerprints []Fingerprint, at, now time.Time) []Fingerprint {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var refused []Fingerprint
	for _, fingerprint := range fingerprints {
		known := b.recordOf(fingerprint)
		was := b.refuses(known, nil)
		if known.count() == 0 {
			known.answers = b.answers
		}
		if known.add(runner, crash{at: at}) {
			b.markChanged(known, true)
		}
		if b.refuses(known, nil) && !was {
			refused = append(refused, fingerprint)
		}
	}
	b.expire(now)
	return refused
}

// Completed records that a runner completed a request: earlier crashes while running it had another cause and are excused.
func (b *Book) Completed(fingerprint Fingerprint) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.completed.add(fingerprint)
	known := b.records[fingerprint]
	if known == nil {
		return
	}
	known.served = true
	if known.count() == 0 {
		return
	}
	for _, end := range known.crashes {
		end.excused = true
	}
	b.markChanged(known, true)
}

// Learn merges records from another node. passOn means that this node sends the changes on to others. It returns the fingerprints that
// are refused from now on, those of parts included.
func (b *Book) Learn(records []Record, now time.Time, passOn bool) []Fingerprint {
	if len(records) == 0 {
		return nil
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var refused []Fingerprint
	withheld := b.withheldNow()
	for _, received := range records {
		known := b.recordOf(received.Print)
		was, updated := b.refuses(known, nil), false
		for _, end := range received.Ends {
			at := now.Add(-time.Duration(max(end.AgeMs, 0)) * time.Millisecond)
			updated = known.add(end.Runner, crash{at: at, excused: end.Excused, service: end.Service, version: end.Version}) || updated
		}
		updated = known.learnServed(&received) || updated
		// The sender may refuse a request that this node knows to be served.
		untold := known.served && !received.Served && known.reachedLimit()
		if updated || untold {
			b.markChanged(known, passOn || untold)
		}
		if b.refuses(known, nil) && !was {
			refused = append(refused, received.Print)
		}
	}
	b.expire(now)
	return append(refused, b.newlyWithheld(withheld)...)
}

// add adds or excuses one crash, and reports whether that changed the record. In a full record it evicts an excused crash for one that
// is not excused.
func (r *record) add(runner ident.Incarnation, added crash) bool {
	known := r.crashes[runner]
	switch {
	case known != nil && (known.excused || !added.excused):
		return false
	case known != nil:
		known.excused = true
		return true
	case len(r.crashes) >= r.maxCrashes() && (added.excused || !r.dropExcused()):
		return false
	}
	r.crashes[runner] = &added
	return true
}

func (r *record) maxCrashes() int {
	if r.limit == 0 {
		return maxPartCrashes
	}
	return maxCrashes
}

// dropExcused removes one excused crash, and reports whether there was any.
func (r *record) dropExcused() bool {
	for runner, end := range r.crashes {
		if end.excused {
			delete(r.crashes, runner)
			return true
		}
	}
	return false
}

// count returns the number of crashes that are not excused.
func (r *record) count() int {
	count := 0
	for _, end := range r.crashes {
		if !end.excused {
			count++
		}
	}
	return count
}

// unexplained returns the number of crashes that are not excused and not among those explained.
func (r *record) unexplained(explained map[ident.Incarnation]bool) int {
	count := 0
	for runner, end := range r.crashes {
		if !end.excused && !explained[runner] {
			count++
		}
	}
	return count
}

// reachedLimit reports whether the request has as many crashes as refuse one that no node completed. It is false for a part.
func (r *record) reachedLimit() bool { return r.limit > 0 && r.count() >= r.limit }

// refuses reports whether a request must not be run any more, given the crashes that withheld parts explain. It is false for a part. The caller
// holds the mutex.
func (b *Book) refuses(known *record, explained map[ident.Incarnation]bool) bool {
	switch unexplained := known.unexplained(explained); {
	case known.limit == 0:
		return false
	case known.served:
		return b.guiltyThoughServed(known, unexplained)
	default:
		return unexplained >= known.limit
	}
}

// guiltyThoughServed reports whether a request or part that was served before its crashes is to be refused, given the crashes that nothing else
// explains. While all runners are down nothing shows that it is still served, so that answers to others must have begun since.
func (b *Book) guiltyThoughServed(known *record, unexplained int) bool {
	return unexplained >= servedLimit && b.answers-known.answers >= servedAnswers
}

// last returns the time of the last crash.
func (r *record) last() time.Time {
	var last time.Time
	for _, end := range r.crashes {
		if end.at.After(last) {
			last = end.at
		}
	}
	return last
}

// recordOf returns the record of a fingerprint and creates it if it is missing. The caller holds the mutex.
func (b *Book) recordOf(fingerprint Fingerprint) *record {
	known := b.records[fingerprint]
	if known == nil {
		known = &record{crashes: map[ident.Incarnation]*crash{}, limit: crashLimit, served: b.completed.has(fingerprint), answers: b.answers}
		if fingerprint.IsPart() {
			known.limit, known.served = 0, b.began.has(fingerprint)
		}
		b.records[fingerprint] = known
	}
	return known
}

// markChanged assigns the next position to a record and signals the change. The caller holds the mutex.
func (b *Book) markChanged(known *record, unsent bool) {
	b.position++
	known.position = b.position
	signal(b.changeSignal)
	if unsent {
		known.unsent = true
		signal(b.unsent)
	}
}

// signal wakes the reader of a channel with a buffer of one, or does nothing if a signal is pending.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Changed returns a channel that is signalled after each change.
func (b *Book) Changed() <-chan struct{} { return b.changeSignal }

// Unsent returns a channel that is signalled when there are records to send to others.
func (b *Book) Unsent() <-chan struct{} { return b.unsent }

// Since returns the records that changed since a cursor, the earliest change first. refusedOnly leaves out the records of requests that
// and parts that may run and have no excused crash.
func (b *Book) Since(cursor Cursor, now time.Time, refusedOnly bool) Changes {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.withheldNow()
	after := cursor.Position
	if cursor.Book != b.id {
		after = 0
	}
	if after >= b.position {
		return Changes{}
	}
	news := Changes{Cursor: Cursor{Book: b.id, Position: b.position}}
	var changed []Fingerprint
	for fingerprint, known := range b.records {
		if known.position > after && (!refusedOnly || known.matters()) {
			changed = append(changed, fingerprint)
		}
	}
	slices.SortFunc(changed, func(first, second Fingerprint) int {
		return cmp.Compare(b.records[first].position, b.records[second].position)
	})
	if len(changed) > maxRecordsSent {
		changed = changed[:maxRecordsSent]
		news.Cursor.Position = b.records[changed[maxRecordsSent-1]].position
	}
	for _, fingerprint := range changed {
		news.Records = append(news.Records, b.export(fingerprint, now))
	}
	return news
}

// TakeUnsent returns the records that this node has to send to others and marks them as sent, at most maxRecordsSent. The caller passes
// records that could not be sent to PutBack.
func (b *Book) TakeUnsent(now time.Time) []Record {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.withheldNow()
	var unsent []Record
	for fingerprint, known := range b.records {
		switch {
		case !known.unsent:
		case len(unsent) == maxRecordsSent:
			signal(b.unsent)
			return unsent
		default:
			known.unsent = false
			unsent = append(unsent, b.export(fingerprint, now))
		}
	}
	return unsent
}

// PutBack marks records as unsent again.
func (b *Book) PutBack(records []Record) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, record := range records {
		if known := b.records[record.Print]; known != nil {
			known.unsent = true
			signal(b.unsent)
		}
	}
}

// All returns all records, at most about 150 kB.
func (b *Book) All(now time.Time) []Record {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.withheldNow()
	all := make([]Record, 0, len(b.records))
	for fingerprint := range b.records {
		all = append(all, b.export(fingerprint, now))
	}
	return all
}

// export returns a record in the form in which it is sent to other nodes. The caller holds the mutex and has judged the parts.
func (b *Book) export(fingerprint Fingerprint, now time.Time) Record {
	known := b.records[fingerprint]
	exported := Record{Print: fingerprint, Served: known.served, Withheld: b.isWithheld(fingerprint)}
	for runner, end := range known.crashes {
		exported.Ends = append(exported.Ends, End{
			Runner: runner, AgeMs: now.Sub(end.at).Milliseconds(), Excused: end.excused, Service: end.service, Version: end.version,
		})
	}
	return exported
}

// expire removes the records that are too old, and then those beyond maxRecords. The caller holds the mutex.
func (b *Book) expire(now time.Time) {
	for fingerprint, known := range b.records {
		if now.Sub(known.last()) <= known.retention() {
			continue
		}
		if b.isWithheld(fingerprint) {
			b.excuseExplained(known)
		}
		delete(b.records, fingerprint)
		b.position++
	}
	b.trim()
}

// trim evicts records beyond maxRecords: those whose crashes are all excused first, then those that are not refused, in each group
// the ones with the oldest last crash first. The caller holds the mutex.
func (b *Book) trim() {
	over := len(b.records) - maxRecords
	if over <= 0 {
		return
	}
	fingerprints := slices.SortedFunc(maps.Keys(b.records), func(first, second Fingerprint) int {
		return cmp.Or(cmp.Compare(b.rank(first), b.rank(second)), b.records[first].last().Compare(b.records[second].last()))
	})
	for _, fingerprint := range fingerprints[:over] {
		delete(b.records, fingerprint)
	}
}

// matters reports whether other nodes need the record to decide: the request is refused, the part may have to be withheld, or a crash is
// excused.
func (r *record) matters() bool {
	count := r.count()
	return r.reachedLimit() || count < len(r.crashes) || r.limit == 0 && count >= partLimit
}

// rank returns the order of eviction: the lowest rank is evicted first. The caller holds the mutex.
func (b *Book) rank(fingerprint Fingerprint) int {
	known := b.records[fingerprint]
	switch {
	case known.reachedLimit(), b.isWithheld(fingerprint):
		return 2
	case known.count() > 0:
		return 1
	}
	return 0
}

// retention returns how long the record is retained after its last crash.
func (r *record) retention() time.Duration {
	if r.limit == 0 {
		return partRetention
	}
	return recordRetention
}
