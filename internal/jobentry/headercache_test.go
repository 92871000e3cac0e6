package jobentry

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/work"
)

// headerOf returns the header of a job with one item that has a number of headers.
func headerOf(job string, headers int) *jobrecord.Header {
	item := jobrecord.ItemHeader{Item: work.Item{ID: "item", Headers: map[string]string{}}}
	for number := range headers {
		item.Headers[fmt.Sprint("a", number)] = "b"
	}
	return &jobrecord.Header{ID: ident.Job(job), Items: []jobrecord.ItemHeader{item}}
}

// TestCachedHeadersTakeBoundedMemory guards against jobs whose items have so many headers that a few hundred of them fill a node's memory. The job
// read last is kept.
func TestCachedHeadersTakeBoundedMemory(t *testing.T) {
	var cache headerCache
	for number := range 3 * cachedHeaders {
		header := headerOf(fmt.Sprint("job-", number%400), []int{1, 10, 1000}[number%3])
		cache.add(header)
		assert.Assert(t, cache.get(header.ID) == header)
		assert.Assert(t, len(cache.headers) <= cachedHeaders && cache.bytes <= cachedHeaderBytes, "%d headers, %d bytes", len(cache.headers), cache.bytes)
	}
	sum := int64(0)
	for _, header := range cache.headers {
		sum += headerMemory(header)
	}
	assert.Equal(t, cache.bytes, sum)
	cache.add(headerOf("whole", cachedHeaderBytes/itemHeaderBytes))
	assert.Assert(t, cache.get("whole") == nil)
}
