package jobentry

import (
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
)

const (
	// cachedHeaders bounds the number of cached headers, cachedHeaderBytes their memory: clients choose how large the headers of items are.
	cachedHeaders     = 256
	cachedHeaderBytes = 8 << 20
	// itemBytes and itemHeaderBytes are the memory of an item and of each of its headers without their texts.
	itemBytes       = 200
	itemHeaderBytes = 120
)

// headerCache keeps headers of jobs. A header never changes, so any copy is valid. The zero value is empty; it is not safe for concurrent use.
type headerCache struct {
	headers map[ident.Job]*jobrecord.Header
	// bytes is the sum of headerMemory of all headers, at most cachedHeaderBytes.
	bytes int64
}

// get returns the header of a job, or nil.
func (c *headerCache) get(job ident.Job) *jobrecord.Header { return c.headers[job] }

// add keeps a header, in place of others where there are too many. One that takes all the memory is not kept.
func (c *headerCache) add(header *jobrecord.Header) {
	size := headerMemory(header)
	if size > cachedHeaderBytes {
		return
	}
	if c.headers == nil {
		c.headers = map[ident.Job]*jobrecord.Header{}
	}
	c.remove(header.ID)
	for id := range c.headers {
		if len(c.headers) < cachedHeaders && c.bytes+size <= cachedHeaderBytes {
			break
		}
		c.remove(id)
	}
	c.headers[header.ID] = header
	c.bytes += size
}

func (c *headerCache) remove(job ident.Job) {
	if header := c.headers[job]; header != nil {
		c.bytes -= headerMemory(header)
		delete(c.headers, job)
	}
}

// headerMemory returns the approximate memory of a decoded header in bytes.
func headerMemory(header *jobrecord.Header) int64 {
	size := int64(0)
	for _, item := range header.Items {
		size += itemBytes + int64(len(item.ID)+len(item.Path))
		for name, value := range item.Headers {
			size += itemHeaderBytes + int64(len(name)+len(value))
		}
	}
	return size
}
