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

// end notes that a runner ended under some prints.
func end(book *poison.Book, second float64, runner string, prints ...poison.Print) {
	book.Ended(ident.Incarnation(runner), prints, at(second), at(second))
}

func TestPrintIsOfTheRequestAndNotOfItsComing(t *testing.T) {
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

func TestRequestIsRefusedFromTheThirdEndOn(t *testing.T) {
	book := poison.NewBook(1)
	end(book, 0, "r1", "bad")
	end(book, 1, "r2", "bad")
	end(book, 1.5, "r2", "bad")
	assert.Assert(t, !book.Refused("bad"), "the end of one runner counted twice")
	refused := book.Ended("r3", []poison.Print{"bad"}, at(2), at(2))
	assert.DeepEqual(t, refused, []poison.Print{"bad"})
	assert.Assert(t, book.Refused("bad"))
}

func TestRequestThatARunnerCameToTheEndOfIsInnocent(t *testing.T) {
	book := poison.NewBook(1)
	end(book, 0, "r1", "q")
	end(book, 1, "r2", "q")
	book.Well("q")
	end(book, 3, "r3", "q")
	end(book, 4, "r4", "q")
	assert.Assert(t, !book.Refused("q"))
	end(book, 5, "r5", "q")
	assert.Assert(t, book.Refused("q"))
}

func TestRequestGetsAnotherChanceAfterAnHour(t *testing.T) {
	book := poison.NewBook(1)
	for runner := range 3 {
		end(book, float64(runner), fmt.Sprint("r", runner), "bad")
	}
	end(book, 3500, "x", "other")
	assert.Assert(t, book.Refused("bad"))
	end(book, 3700, "y", "other")
	assert.Assert(t, !book.Refused("bad"))
}

// TestRefusedRequestsAreKeptLongest fills a book with requests that ran beside others, hours of storms in one second.
func TestRefusedRequestsAreKeptLongest(t *testing.T) {
	book := poison.NewBook(1)
	for runner := range 3 {
		end(book, float64(runner), fmt.Sprint("r", runner), "bad")
	}
	for index := range 3000 {
		end(book, 3+float64(index)/1000, fmt.Sprint("s", index), poison.Print(fmt.Sprint("beside", index)))
	}
	assert.Assert(t, book.Refused("bad"))
	assert.Equal(t, len(book.All(at(7))), 512)
	count, _ := book.Ends("beside2999")
	assert.Equal(t, count, 1)
	count, _ = book.Ends("beside0")
	assert.Equal(t, count, 0)
}

// TestReaderOfRefusedRequestsMissesNone tells a node of refused requests alone, as their ends come: the record's earlier changes
// were passed over.
func TestReaderOfRefusedRequestsMissesNone(t *testing.T) {
	book, reader := poison.NewBook(1), poison.NewBook(2)
	var cursor poison.Cursor
	read := func(second float64) int {
		news := book.Since(cursor, at(second), true)
		cursor = news.After(cursor)
		reader.Learn(news.Records, at(second), false)
		return len(news.Records)
	}
	end(book, 0, "r0", "bad", "beside")
	end(book, 1, "r1", "bad")
	assert.Equal(t, read(1), 0)
	end(book, 2, "r2", "bad")
	assert.Equal(t, read(2), 1)
	assert.Assert(t, reader.Refused("bad"))
	assert.Equal(t, read(3), 0)
	// The other starts again with what it kept, and its positions begin anew.
	kept := book.All(at(3))
	book = poison.NewBook(3)
	book.Learn(kept, at(4), false)
	assert.Equal(t, read(4), 1)
}

// TestManyRecordsAreToldInParts has more of them than one answer holds.
func TestManyRecordsAreToldInParts(t *testing.T) {
	book, reader := poison.NewBook(1), poison.NewBook(2)
	for index := range 500 {
		end(book, 0, fmt.Sprint("r", index), poison.Print(fmt.Sprint("p", index)))
	}
	var cursor poison.Cursor
	for answers := 0; len(reader.All(at(1))) < 500; answers++ {
		assert.Assert(t, answers < 3)
		news := book.Since(cursor, at(1), false)
		assert.Assert(t, len(news.Records) <= 256)
		cursor = news.Cursor
		reader.Learn(news.Records, at(1), false)
	}
	told := 0
	for records := book.TakeUntold(at(1)); len(records) > 0; records = book.TakeUntold(at(1)) {
		assert.Assert(t, len(records) <= 256)
		told += len(records)
	}
	assert.Equal(t, told, 500)
}

// TestDrawnBooksAgree has nodes see ends and good ends, start again, and read each other in any order, with a time on the way.
// Once each has read all others, and nothing new is seen, all refuse the same requests, and reading tells nothing more.
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
			node, print := random.IntN(nodes), poison.Print(fmt.Sprint("p", random.IntN(4)))
			switch random.IntN(6) {
			case 0, 1, 2:
				end(books[node], now, fmt.Sprint("r", random.IntN(12)), print, poison.Print(fmt.Sprint("p", random.IntN(4))))
			case 3:
				books[node].Well(print)
			case 4:
				read(node, random.IntN(nodes))
			case 5:
				kept := books[node].All(at(now))
				books[node] = poison.NewBook(int64(1000 + step))
				books[node].Learn(kept, at(now), false)
				cursors[node] = [nodes]poison.Cursor{}
			}
		}
		told := 1
		for rounds := 0; told > 0; rounds++ {
			if rounds > 20 {
				t.Fatalf("nodes tell each other without an end")
			}
			told = 0
			for reader := range nodes {
				for source := range nodes {
					told += read(reader, source)
				}
			}
		}
		for index := range 4 {
			print := poison.Print(fmt.Sprint("p", index))
			for _, book := range books[1:] {
				if book.Refused(print) != books[0].Refused(print) {
					t.Fatalf("nodes differ on %s", print)
				}
			}
		}
	})
}

func TestItemThatMayBeInnocentIsTriedAgainMoreAndMoreRarely(t *testing.T) {
	for _, c := range []struct {
		ends  int
		since time.Duration
		may   bool
	}{
		{2, 0, true}, {3, 4 * time.Second, false}, {3, 5 * time.Second, true}, {4, 9 * time.Second, false}, {4, 10 * time.Second, true},
		{5, 20 * time.Second, true}, {6, time.Hour, false},
	} {
		assert.Equal(t, poison.ItemMayRun(c.ends, c.since), c.may, "%+v", c)
	}
}

// BenchmarkPrint is what a request costs while some runner has ended under any request within the hour.
func BenchmarkPrint(b *testing.B) {
	for _, size := range []int{1300, 18000, 87000} {
		request := &work.Request{Method: "POST", Host: "desk.example", Path: "/ask/x", Body: make([]byte, size)}
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				poison.Key("key").Of(request)
			}
		})
	}
}
