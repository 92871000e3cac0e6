// Package refusal remembers which values of an outside store cannot be read, and why. The same value is read again every second
// or two: each refusal is told of when it begins, ends or changes, and not with each reading.
package refusal

import (
	"maps"
	"strings"
	"sync"
)

// Book holds the refusals. It is safe for concurrent use.
type Book struct {
	// Tell is told of a value; err is nil where it can be read again or is gone. total is how many are refused now.
	Tell func(key string, err error, total int)

	mutex sync.Mutex
	// why holds the reason of each value that is refused now.
	why map[string]string
}

// Settle takes over the whole reading of all keys that begin with the prefix.
func (b *Book) Settle(prefix string, refused map[string]error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for key := range maps.Clone(b.why) {
		if _, still := refused[key]; !still && strings.HasPrefix(key, prefix) {
			b.note(key, nil)
		}
	}
	for key, err := range refused {
		b.note(key, err)
	}
}

// Note takes over the reading of one value; err is nil where it can be read, or is gone.
func (b *Book) Note(key string, err error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.note(key, err)
}

// note tells of what changed. The caller holds the mutex.
func (b *Book) note(key string, err error) {
	known, refused := b.why[key]
	switch {
	case err == nil && !refused, err != nil && refused && known == err.Error():
		return
	case err == nil:
		delete(b.why, key)
	default:
		if b.why == nil {
			b.why = map[string]string{}
		}
		b.why[key] = err.Error()
	}
	b.Tell(key, err, len(b.why))
}
