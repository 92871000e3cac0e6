package jobrecord

import (
	"sync"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// keptHeaders bounds the headers that are kept in memory.
const keptHeaders = 256

// Headers keeps headers that were read. A header never changes, so that any copy is good. It is safe for concurrent use.
type Headers struct {
	mutex sync.Mutex
	kept  map[ident.Job]*Header
}

// Find returns the header of a job, or nil.
func (h *Headers) Find(job ident.Job) *Header {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.kept[job]
}

// Keep keeps a header, in the place of any other one where there are many.
func (h *Headers) Keep(header *Header) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.kept == nil {
		h.kept = map[ident.Job]*Header{}
	}
	if len(h.kept) >= keptHeaders {
		for id := range h.kept {
			delete(h.kept, id)
			break
		}
	}
	h.kept[header.ID] = header
}
