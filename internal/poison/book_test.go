package poison_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/poison"
	"mallowlatch.example/mallowlatch/internal/work"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// crash records that a runner crashed while running the requests with some fingerprints.
func crash(book *poison.Book, second float64, runner string, fingerprints ...poison.Fingerprint) {
	book.RecordCrash(ident.Incarnation(runner), fingerprints, at(second), at(second))
}

func TestFingerprintIgnoresIdAndDeadline(t *testing.T) {
	key := poison.Key("k")
	request := work.Request{ID: "1", Method: "POST", Host: "h", Path: "/p", Body: []byte("text")}
	again := request
	again.ID, again.Deadline, again.ResumeAfter = "2", start, 7
	assert.Equal(t, key.Of(&request), key.Of(&again))
	assert.Assert(t, key.Of(&request) != poison.Key("other").Of(&request))
	for _, other := range []work.Request{
		{Method: "PUT", Host: "h", Path: "/p", Body: []byte("text")},
		{Method: "POST", Host: "g", Path: "/p", Body: []byte("text")},
		{Method: "POST", Host: "h/", Path: "p", Body: []byte("text")},
		{Method: "POST", Host: "h", Path: "/pt", Body: []byte("ext")},
	} {
		assert.Assert(t, key.Of(&request) != key.Of(&other), "%+v", other)
	}
}

func TestRequestIsRefusedAfterThreeCrashes(t *testing.T) {
	book := poison.NewBook(1)
	crash(book, 0, "r1", "bad")
	crash(book, 1, "r2", "bad")
	crash(book, 1.5, "r2", "bad")
	assert.Assert(t, !book.Refused("bad"), "the crash of one runner was counted twice")
	refused := book.RecordCrash("r3", []poison.Fingerprint{"bad"}, at(2), at(2))
	assert.DeepEqual(t, refused, []poison.Fingerprint{"bad"})
	assert.Assert(t, book.Refused("bad"))
}

// crashAt records that some runners crashed while running a request.
func crashAt(book *poison.Book, second float64, from, to int, fingerprint poison.Fingerprint) {
	for runner := from; runner < to; runner++ {
		crash(book, second, fmt.Sprint("r", runner), fingerprint)
	}
}

// answerOthers has answers to other requests begin at a book's node.
func answerOthers(book *poison.Book, count int) {
	for range count {
		book.RecordBegan(work.Runner{ID: "sound", Service: "s"}, nil, start)
	}
}

// Crashes and answers to others after which a request that was completed before is refused.
const (
	completedLimit   = 8
	completedAnswers = 20
)

func TestCompletedRequestHasItsCrashesExcused(t *testing.T) {
	book := poison.NewBook(1)
	crashAt(book, 0, 0, 2, "q")
	book.Completed("q")
	answerOthers(book, completedAnswers)
	crashAt(book, 3, 2, 2+completedLimit, "q")
	answerOthers(book, completedAnswers-1)
	assert.Assert(t, !book.Refused("q"), "the answers before the crashes were counted")
	answerOthers(book, 1)
	assert.Assert(t, book.Refused("q"))
	book.Completed("q")
	assert.Assert(t, !book.Refused("q"))
}

// TestRequestCompletedBeforeIsRefusedLater guards against a request that many send alike and that was in progress at all runners when these
// ended together: then no node completes it any more. One that crashes runners from some moment on is still refused.
func TestRequestCompletedBeforeIsRefusedLater(t *testing.T) {
	book := poison.NewBook(1)
	book.Completed("popular")
	crashAt(book, 0, 0, 7, "popular")
	crashAt(book, 0, 0, 3, "new")
	answerOthers(book, completedAnswers)
	assert.Assert(t, !book.Refused("popular"))
	assert.Assert(t, book.Refused("new"))
	crashAt(book, 1, 7, 8, "popular")
	assert.Assert(t, book.Refused("popular"))
}

// TestNodesHearThatARequestIsServed guards against nodes that go on refusing a request which another node has completed before its crashes, and
// against records that are told for ever.
func TestNodesHearThatARequestIsServed(t *testing.T) {
	served, strange := poison.NewBook(1), poison.NewBook(2)
	served.Completed("popular")
	crashAt(strange, 0, 0, 3, "popular")
	assert.Assert(t, strange.Refused("popular"))
	served.Learn(strange.TakeUnsent(at(0)), at(0), false)
	told := served.TakeUnsent(at(1))
	assert.Equal(t, len(told), 1)
	strange.Learn(told, at(1), false)
	assert.Assert(t, !strange.Refused("popular") && !served.Refused("popular"))
	served.Learn(strange.Since(poison.Cursor{}, at(2), false).Records, at(2), false)
	assert.Equal(t, len(served.TakeUnsent(at(2))), 0)
}

func TestRefusedRequestMayRunAgainAfterAnHour(t *testing.T) {
	book := poison.NewBook(1)
	for runner := range 3 {
		crash(book, float64(runner), fmt.Sprint("r", runner), "bad")
	}
	crash(book, 3500, "x", "other")
	assert.Assert(t, book.Refused("bad"))
	crash(book, 3700, "y", "other")
	assert.Assert(t, !book.Refused("bad"))
}

// TestRefusedRequestsAreEvictedLast fills a book with requests that had one crash each, as many within 3 s as hours of storms would
// bring. The refused request must stay.
func TestRefusedRequestsAreEvictedLast(t *testing.T) {
	book := poison.NewBook(1)
	for runner := range 3 {
		crash(book, float64(runner), fmt.Sprint("r", runner), "bad")
	}
	for index := range 3000 {
		crash(book, 3+float64(index)/1000, fmt.Sprint("s", index), poison.Fingerprint(fmt.Sprint("beside", index)))
	}
	assert.Assert(t, book.Refused("bad"))
	assert.Equal(t, len(book.All(at(7))), 512)
	count, _ := book.Crashes("beside2999")
	assert.Equal(t, count, 1)
	count, _ = book.Crashes("beside0")
	assert.Equal(t, count, 0)
}

// TestReaderOfRefusedRequestsMissesNone has a node read only the records of refused requests. A record whose earlier changes were left
// out, because the request was not refused yet, must be sent once it is, also by a node that restarted.
func TestReaderOfRefusedRequestsMissesNone(t *testing.T) {
	book, reader := poison.NewBook(1), poison.NewBook(2)
	var cursor poison.Cursor
	read := func(second float64) int {
		news := book.Since(cursor, at(second), true)
		cursor = news.After(cursor)
		reader.Learn(news.Records, at(second), false)
		return len(news.Records)
	}
	crash(book, 0, "r0", "bad", "beside")
	crash(book, 1, "r1", "bad")
	assert.Equal(t, read(1), 0)
	crash(book, 2, "r2", "bad")
	assert.Equal(t, read(2), 1)
	assert.Assert(t, reader.Refused("bad"))
	assert.Equal(t, read(3), 0)
	// The other node restarts with its stored records; its positions start from zero again.
	stored := book.All(at(3))
	book = poison.NewBook(3)
	book.Learn(stored, at(4), false)
	assert.Equal(t, read(4), 1)
}

// TestManyRecordsAreSentInParts has more records than one message may have.
func TestManyRecordsAreSentInParts(t *testing.T) {
	book, reader := poison.NewBook(1), poison.NewBook(2)
	for index := range 500 {
		crash(book, 0, fmt.Sprint("r", index), poison.Fingerprint(fmt.Sprint("p", index)))
	}
	var cursor poison.Cursor
	for answers := 0; len(reader.All(at(1))) < 500; answers++ {
		assert.Assert(t, answers < 3)
		news := book.Since(cursor, at(1), false)
		assert.Assert(t, len(news.Records) <= 256)
		cursor = news.Cursor
		reader.Learn(news.Records, at(1), false)
	}
	sent := 0
	for records := book.TakeUnsent(at(1)); len(records) > 0; records = book.TakeUnsent(at(1)) {
		assert.Assert(t, len(records) <= 256)
		sent += len(records)
	}
	assert.Equal(t, sent, 500)
}

// TestDrawnBooksAgree has nodes record crashes and completed requests, restart, and read each other's records in random order and with
// random delay. Once each node has read all others and nothing new is recorded, all must refuse the same requests, and reading must
// return no more records.
func TestDrawnBooksAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 4
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		books := make([]*poison.Book, nodes)
		cursors := make([][nodes]poison.Cursor, nodes)
		for node := range books {
			books[node] = poison.NewBook(int64(node + 1))
		}
		now := 0.0
		read := func(reader, source int) int {
			if reader == source {
				return 0
			}
			news := books[source].Since(cursors[reader][source], at(now), false)
			cursors[reader][source] = news.After(cursors[reader][source])
			now += random.Float64() / 10
			books[reader].Learn(news.Records, at(now), false)
			return len(news.Records)
		}
		for step := range rapid.IntRange(10, 120).Draw(t, "steps") {
			now += random.Float64()
			node, fingerprint := random.IntN(nodes), poison.Fingerprint(fmt.Sprint("p", random.IntN(4)))
			switch random.IntN(6) {
			case 0, 1, 2:
				crash(books[node], now, fmt.Sprint("r", random.IntN(12)), fingerprint, poison.Fingerprint(fmt.Sprint("p", random.IntN(4))))
			case 3:
				books[node].Completed(fingerprint)
			case 4:
				read(node, random.IntN(nodes))
			case 5:
				stored := books[node].All(at(now))
				books[node] = poison.NewBook(int64(1000 + step))
				books[node].Learn(stored, at(now), false)
				cursors[node] = [nodes]poison.Cursor{}
			}
		}
		received := 1
		for rounds := 0; received > 0; rounds++ {
			if rounds > 20 {
				t.Fatalf("nodes do not stop exchanging records")
			}
			received = 0
			for reader := range nodes {
				for source := range nodes {
					received += read(reader, source)
				}
			}
		}
		for index := range 4 {
			fingerprint := poison.Fingerprint(fmt.Sprint("p", index))
			for _, book := range books[1:] {
				if book.Refused(fingerprint) != books[0].Refused(fingerprint) {
					t.Fatalf("nodes disagree about %s", fingerprint)
				}
			}
		}
	})
}

// TestNoCountOfCrashesEndsTheTurnsOfAnItem guards against an item that is never run again, or at once again and again, after runners crashed under
// it: whatever their number, its next turn comes within the five seconds of calm that the platform allows, and not before two.
func TestNoCountOfCrashesEndsTheTurnsOfAnItem(t *testing.T) {
	last := time.Unix(1000, 0)
	for crashes := range 1000 {
		next := poison.NextRun(crashes, last)
		if crashes < 3 {
			assert.Assert(t, next.IsZero(), "an item with %d crashes waits", crashes)
			continue
		}
		assert.Assert(t, next.Sub(last) >= 2*time.Second && next.Sub(last) < 5*time.Second, "%d crashes: after %v", crashes, next.Sub(last))
	}
}

// TestTrialsGrowWithWhatIsCompleted guards against many items under which runners crashed that are tried at once after a crash, and against ones
// that are tried one by one for good.
func TestTrialsGrowWithWhatIsCompleted(t *testing.T) {
	var trials poison.Trials
	assert.Equal(t, trials.Allowed(), 1)
	for range 5 {
		trials.Completed()
	}
	assert.Equal(t, trials.Allowed(), 6)
	trials.Crashed()
	assert.Equal(t, trials.Allowed(), 1)
}

// BenchmarkFingerprint measures the cost per request while the book is not empty, that is within an hour of a crash.
func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{1300, 18000, 87000} {
		request := &work.Request{Method: "POST", Host: "desk.example", Path: "/ask/x", Body: make([]byte, size)}
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				poison.Key("key").Of(request)
			}
		})
	}
}
