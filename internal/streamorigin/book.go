// Package streamorigin remembers at which service and software version streams began, so that a stream that a client takes up again goes on
// at a runner of the same version. A Book holds the origins in memory; a Keeper holds those that other nodes entrust to a worker, on disk too.
package streamorigin

import (
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// retention is how long an origin is remembered. It is longer than a caller waits for a stream.
	retention = time.Minute
	// maxOrigins bounds the origins of a Book, which take up to some 300 bytes each.
	maxOrigins = 1 << 15
)

const (
	// ErrUnknown means that no node knows where a stream began.
	ErrUnknown = failure.Kind("stream origins: unknown where the stream began")
	// ErrOutOfReach means that nodes that may know where a stream began did not answer.
	ErrOutOfReach = failure.Kind("stream origins: nodes that may know where the stream began do not answer")
)

// Record is the origin of one stream.
type Record struct {
	// Stream is the id of the client attempt that brought the first event.
	Stream ident.Request `json:"stream"`
	Origin work.Origin   `json:"origin"`
}

// Book holds the origins of streams for a time. It is safe for concurrent use.
type Book struct {
	mutex   sync.Mutex
	origins map[ident.Request]entry
	// order holds the streams in the order in which they were added, the first one at the index oldest.
	order  []ident.Request
	oldest int
}

// entry is what a Book holds of one stream.
type entry struct {
	origin work.Origin
	added  time.Time
	// conflicting means that two origins were recorded, so that neither is relied on.
	conflicting bool
}

// NewBook returns an empty Book.
func NewBook() *Book { return &Book{origins: map[ident.Request]entry{}} }

// Add adds the origin of a stream. A second one that differs makes the origin of the stream unknown for good.
func (b *Book) Add(record Record, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.expire(now)
	known, exists := b.origins[record.Stream]
	if exists {
		if !sameOrigin(known.origin, record.Origin) {
			known.conflicting = true
			b.origins[record.Stream] = known
		}
		return
	}
	b.origins[record.Stream] = entry{origin: record.Origin, added: now}
	b.order = append(b.order, record.Stream)
}

// sameOrigin reports whether two origins are of the same service and version, and of the same incarnation if the version is unknown.
func sameOrigin(first, second work.Origin) bool {
	if first.Service != second.Service || first.Version != second.Version {
		return false
	}
	return first.Version != "" || first.Runner == second.Runner
}

// Find returns the origin of a stream. recorded reports whether one was added; an origin without a version is not known all the same.
func (b *Book) Find(stream ident.Request, now time.Time) (origin work.Origin, recorded bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known, exists := b.origins[stream]
	switch {
	case !exists || now.Sub(known.added) > retention:
		return work.Origin{}, false
	case known.conflicting:
		return work.Origin{}, true
	}
	return known.origin, true
}

// Of returns the records of a service, the oldest first.
func (b *Book) Of(service string, now time.Time) []Record {
	return b.records(now, func(origin work.Origin) bool { return origin.Service == service })
}

// All returns all records, the oldest first.
func (b *Book) All(now time.Time) []Record {
	return b.records(now, func(work.Origin) bool { return true })
}

func (b *Book) records(now time.Time, wanted func(work.Origin) bool) []Record {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.expire(now)
	var records []Record
	for _, stream := range b.order[b.oldest:] {
		if known := b.origins[stream]; !known.conflicting && wanted(known.origin) {
			records = append(records, Record{Stream: stream, Origin: known.origin})
		}
	}
	return records
}

// Len returns the number of origins held.
func (b *Book) Len() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.origins)
}

// expire removes the origins that are too old or too many. The caller holds the mutex.
func (b *Book) expire(now time.Time) {
	for b.oldest < len(b.order) {
		stream := b.order[b.oldest]
		if len(b.origins) < maxOrigins && now.Sub(b.origins[stream].added) <= retention {
			break
		}
		delete(b.origins, stream)
		b.oldest++
	}
	if b.oldest > len(b.order)/2 {
		b.order = append([]ident.Request(nil), b.order[b.oldest:]...)
		b.oldest = 0
	}
}
