// Package refusal tracks which values of an external store cannot be decoded, and why. The same values are read every second or
// two; the package reports a refusal only when it begins, changes or ends, and not on each read.
package refusal

import (
	"maps"
	"strings"
	"sync"
)

// Tracker stores the refused values. It is safe for concurrent use.
type Tracker struct {
	// OnChange is called when a refusal begins, changes or ends; err is nil if the value can be read again or was removed. total is the
	// number of values refused now. Tell is called with the mutex held and must not call the Book.
	OnChange func(key string, err error, total int)

	mutex sync.Mutex
	// reasons holds the error text of each value that is refused now, by key.
	reasons map[string]string
}

// RecordAll records a complete read of all keys that begin with the prefix; refused holds those that could not be decoded.
func (b *Tracker) RecordAll(prefix string, refused map[string]error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for key := range maps.Clone(b.reasons) {
		if _, still := refused[key]; !still && strings.HasPrefix(key, prefix) {
			b.record(key, nil)
		}
	}
	for key, err := range refused {
		b.record(key, err)
	}
}

// Record records a read of one value; err is nil if it could be decoded or was removed.
func (b *Tracker) Record(key string, err error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.record(key, err)
}

// record stores the state of a value and calls Tell if it changed. The caller must hold the mutex.
func (b *Tracker) record(key string, err error) {
	known, refused := b.reasons[key]
	switch {
	case err == nil && !refused, err != nil && refused && known == err.Error():
		return
	case err == nil:
		delete(b.reasons, key)
	default:
		if b.reasons == nil {
			b.reasons = map[string]string{}
		}
		b.reasons[key] = err.Error()
	}
	b.OnChange(key, err, len(b.reasons))
}
