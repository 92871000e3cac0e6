package streamorigin

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

var began = time.Unix(1_800_000_000, 0)

// TestDrawnOriginsAreFoundAsAdded guards against an origin that is found under another stream, after its time, or although two origins were
// recorded for one stream.
func TestDrawnOriginsAreFoundAsAdded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		book, now := NewBook(), began
		type added struct {
			origins []work.Origin
			at      time.Time
		}
		model := map[ident.Request]*added{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
			stream := ident.Request(fmt.Sprint("s-", rapid.IntRange(0, 5).Draw(t, "stream")))
			if known := model[stream]; known != nil && now.Sub(known.at) > retention {
				delete(model, stream)
			}
			if rapid.Bool().Draw(t, "add") {
				origin := work.Origin{Service: "s", Version: work.Version(rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"))}
				book.Add(Record{Stream: stream, Origin: origin}, now)
				if model[stream] == nil {
					model[stream] = &added{at: now}
				}
				model[stream].origins = append(model[stream].origins, origin)
				continue
			}
			origin, recorded := book.Find(stream, now)
			known := model[stream]
			assert.Equal(t, recorded, known != nil)
			if known == nil {
				continue
			}
			want := known.origins[0]
			for _, other := range known.origins {
				if other != want {
					want = work.Origin{}
				}
			}
			assert.Equal(t, origin, want)
		}
	})
}

// TestOriginsAreBounded guards against memory that grows with the streams: a worker's share of 2,500 streams a second, and many times as much.
func TestOriginsAreBounded(t *testing.T) {
	book := NewBook()
	for index := range 4 * maxOrigins {
		book.Add(Record{Stream: ident.Request(fmt.Sprint(index)), Origin: work.Origin{Service: "s", Version: "v1"}}, began)
		assert.Assert(t, book.Len() <= maxOrigins && len(book.order) <= 2*maxOrigins+2)
	}
	_, newest := book.Find(ident.Request(fmt.Sprint(4*maxOrigins-1)), began)
	_, oldest := book.Find("0", began)
	assert.Assert(t, newest && !oldest, "the oldest one goes first")
	book.Add(Record{Stream: "later"}, began.Add(retention+time.Second))
	assert.Equal(t, book.Len(), 1)
}
