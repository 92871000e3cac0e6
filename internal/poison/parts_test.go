package poison

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

var partsBegan = time.Unix(1_800_000_000, 0)

func part(name string) Fingerprint { return Fingerprint(partPrefix + name) }

func runnerOf(index int, version work.Version) work.Runner {
	return work.Runner{ID: ident.Incarnation(fmt.Sprint("r-", index)), Service: "s", Version: version}
}

// experienced returns a Book of a node at which answers with the named parts began.
func experienced(id int64, parts ...Fingerprint) *Book {
	book := NewBook(id)
	for range experiencedAnswers {
		book.RecordBegan(runnerOf(0, "v1"), parts, partsBegan)
	}
	return book
}

func (b *Book) withholds(parts ...Fingerprint) bool { return b.Withheld(parts, "s") }

// TestOnlyThePartThatExplainsTheCrashesIsWithheld guards against a shared or a rare part that is refused because it was in requests beside the
// guilty one at the runners that crashed.
func TestOnlyThePartThatExplainsTheCrashesIsWithheld(t *testing.T) {
	first, guilty, rare, other := part("first"), part("guilty"), part("rare"), part("other")
	book := experienced(1, first, other)
	now := partsBegan
	for index := range 6 {
		now = now.Add(100 * time.Millisecond)
		suspects := []Fingerprint{first, guilty, other}
		if index < 5 {
			suspects = append(suspects, rare)
		}
		book.RecordPartCrash(runnerOf(index, "v1"), suspects, now, now)
	}
	assert.Assert(t, book.withholds(first, guilty, part("own")))
	for _, sound := range []Fingerprint{first, rare, other} {
		assert.Assert(t, !book.withholds(sound), "%s is withheld", sound)
	}
	assert.Assert(t, !book.Withheld([]Fingerprint{guilty}, "another service"), "no runner of the other service has crashed")
}

// TestTwoGuiltyPartsAreBothWithheld guards against one guilty part that explains all crashes of another one.
func TestTwoGuiltyPartsAreBothWithheld(t *testing.T) {
	book := experienced(1)
	for index := range 12 {
		suspects := []Fingerprint{part("one")}
		if index%2 == 0 {
			suspects = []Fingerprint{part("two")}
		}
		if index%6 == 0 {
			suspects = []Fingerprint{part("one"), part("two")}
		}
		book.RecordPartCrash(runnerOf(index, "v1"), suspects, partsBegan, partsBegan)
	}
	assert.Assert(t, book.withholds(part("one")) && book.withholds(part("two")))
}

// TestPartThatWasServedIsWithheldOnlyWhileOthersAreServed guards against a shared part that is refused while all runners are down, and against one
// that never is although it began to crash the runners of a new version, while those of the old one serve it.
func TestPartThatWasServedIsWithheldOnlyWhileOthersAreServed(t *testing.T) {
	served := part("served")
	book := experienced(1, served)
	crash := func(from, to int) {
		for index := from; index < to; index++ {
			book.RecordPartCrash(runnerOf(index, "v2"), []Fingerprint{served}, partsBegan.Add(time.Second), partsBegan.Add(time.Second))
		}
	}
	crash(1, 20)
	assert.Assert(t, !book.withholds(served), "nothing was served since")
	later := partsBegan.Add(2 * time.Second)
	for range servedAnswers {
		book.RecordBegan(runnerOf(0, "v1"), []Fingerprint{served}, later)
	}
	assert.Assert(t, book.withholds(served), "answers of the other version do not clear it")
	book.RecordBegan(runnerOf(0, "v2"), []Fingerprint{served}, later)
	assert.Assert(t, !book.withholds(served))
	crash(20, 20+servedLimit-1)
	for range servedAnswers {
		book.RecordBegan(runnerOf(0, "v2"), []Fingerprint{part("another")}, later)
	}
	assert.Assert(t, !book.withholds(served))
}

// TestNodeWithoutExperienceGoesByOthers guards against a node that has just started and takes a shared part for one with which no answer begins.
func TestNodeWithoutExperienceGoesByOthers(t *testing.T) {
	first, guilty := part("first"), part("guilty")
	old, fresh := experienced(1, first), NewBook(2)
	now := partsBegan.Add(time.Second)
	for index := range partLimit {
		for _, book := range []*Book{old, fresh} {
			book.RecordPartCrash(runnerOf(index, "v1"), []Fingerprint{first, guilty}, now, now)
		}
	}
	assert.Assert(t, !fresh.withholds(first) && !fresh.withholds(guilty))
	fresh.Learn(old.TakeUnsent(now), now, false)
	assert.Assert(t, fresh.withholds(guilty) && !fresh.withholds(first))
	assert.Assert(t, len(old.TakeUnsent(now)) == 0, "what is told is told once")

	starting := NewBook(3)
	for index := range partLimit {
		starting.RecordPartCrash(runnerOf(index, "v1"), []Fingerprint{first, guilty}, now, now)
	}
	assert.Assert(t, !starting.withholds(guilty))
	starting.RecordBegan(runnerOf(9, "v1"), []Fingerprint{first}, now.Add(time.Second))
	assert.Assert(t, starting.withholds(guilty) && !starting.withholds(first), "one answer shows which of the two is sound")
}

// TestLastPartIsNeverWithheld guards against a fingerprint of the part that is the request's own, and against one that depends on the place.
func TestLastPartIsNeverWithheld(t *testing.T) {
	key := Key("k")
	prompt := func(ids ...string) (parts []work.Part) {
		for _, id := range ids {
			parts = append(parts, work.Part{ID: id, Tokens: 1})
		}
		return parts
	}
	assert.Equal(t, len(key.OfParts(nil))+len(key.OfParts(prompt("a"))), 0)
	assert.DeepEqual(t, key.OfParts(prompt("a", "b", "a", "c")), key.OfParts(prompt("a", "b", "d")))
	assert.Equal(t, key.OfParts(prompt("a", "b", "c"))[0], key.OfParts(prompt("x", "a", "c"))[1])
	assert.Assert(t, key.OfParts(prompt("a", "b"))[0] != Key("other").OfParts(prompt("a", "b"))[0])
}

// TestPartsOfManyRequestsAreBounded guards against memory that grows with the parts of prompts, hundreds of thousands of them, and against a
// guilty one that is dropped for those beside it.
func TestPartsOfManyRequestsAreBounded(t *testing.T) {
	book := experienced(1)
	for index := range 200_000 {
		book.RecordBegan(runnerOf(0, "v1"), []Fingerprint{part(fmt.Sprint("served-", index))}, partsBegan)
	}
	assert.Assert(t, len(book.began.current) <= maxRecent && len(book.began.previous) <= maxRecent)
	for index := range 100 {
		suspects := []Fingerprint{part("guilty")}
		for beside := range 20 {
			suspects = append(suspects, part(fmt.Sprint("beside-", index, beside)))
		}
		book.RecordPartCrash(runnerOf(index, "v1"), suspects, partsBegan, partsBegan)
	}
	assert.Assert(t, len(book.records) <= maxRecords && len(book.records[part("guilty")].crashes) <= maxPartCrashes)
	assert.Assert(t, book.withholds(part("guilty")))
	later := partsBegan.Add(partRetention + time.Second)
	book.RecordPartCrash(runnerOf(500, "v1"), []Fingerprint{part("new")}, later, later)
	assert.Assert(t, !book.withholds(part("guilty")), "it may run again after its time")
}

// TestDrawnBooksAgreeOnParts guards against nodes that withhold different parts although they were told the same, in whatever order.
func TestDrawnBooksAgreeOnParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		books := []*Book{experienced(1), experienced(2), experienced(3)}
		now := partsBegan
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			book := rapid.SampledFrom(books).Draw(t, "book")
			var parts []Fingerprint
			for index := range rapid.IntRange(1, 3).Draw(t, "parts") {
				parts = append(parts, part(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, fmt.Sprint("part ", index)))))
			}
			runner := runnerOf(rapid.IntRange(0, 12).Draw(t, "runner"), "v1")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				book.RecordPartCrash(runner, parts, now, now)
			case 2:
				book.RecordBegan(runner, parts, now)
			default:
				rapid.SampledFrom(books).Draw(t, "to").Learn(book.All(now), now, false)
			}
		}
		for range 2 {
			for _, from := range books {
				for _, to := range books {
					to.Learn(from.All(now), now, false)
				}
			}
		}
		for index := range 4 {
			for _, book := range books[1:] {
				assert.Equal(t, book.withholds(part(fmt.Sprint(index))), books[0].withholds(part(fmt.Sprint(index))), "part %d", index)
			}
		}
	})
}

// TestRequestBesideAGuiltyPartIsNotRefused guards against a request that is refused for an hour, because it is asked often and ran beside one with
// a part that crashes runners; also after the part is forgotten.
func TestRequestBesideAGuiltyPartIsNotRefused(t *testing.T) {
	book := experienced(1)
	crash := func(from, to int, at time.Time, parts ...Fingerprint) {
		for index := from; index < to; index++ {
			book.RecordCrash(runnerOf(index, "v1").ID, []Fingerprint{"often"}, at, at)
			book.RecordPartCrash(runnerOf(index, "v1"), parts, at, at)
		}
	}
	crash(0, crashLimit, partsBegan, part("guilty"))
	assert.Assert(t, book.Refused("often"), "nothing tells the two apart yet")
	crash(crashLimit, 8, partsBegan, part("guilty"))
	assert.Assert(t, book.withholds(part("guilty")) && !book.Refused("often"))
	count, _ := book.Crashes("often")
	assert.Equal(t, count, 0)
	later := partsBegan.Add(partRetention + time.Second)
	crash(8, 8+crashLimit-1, later)
	assert.Assert(t, !book.withholds(part("guilty")) && !book.Refused("often"))
	crash(20, 20+crashLimit, later)
	assert.Assert(t, book.Refused("often"), "it crashes runners by itself")
}

// TestVerdictOutlivesARestart guards against a node that forgets with its restart which parts were withheld, and so counts their crashes against
// requests: it has no experience then.
func TestVerdictOutlivesARestart(t *testing.T) {
	book, restarted := experienced(1), NewBook(2)
	for index := range partLimit {
		book.RecordCrash(runnerOf(index, "v1").ID, []Fingerprint{"often"}, partsBegan, partsBegan)
		book.RecordPartCrash(runnerOf(index, "v1"), []Fingerprint{part("guilty")}, partsBegan, partsBegan)
	}
	for range experiencedAnswers {
		book.RecordBegan(runnerOf(9, "v1"), nil, partsBegan)
	}
	restarted.Learn(book.All(partsBegan), partsBegan, false)
	assert.Assert(t, restarted.withholds(part("guilty")) && !restarted.Refused("often"))
	third := NewBook(3)
	third.Learn(restarted.Since(Cursor{}, partsBegan, true).Records, partsBegan, false)
	assert.Assert(t, third.withholds(part("guilty")) && !third.Refused("often"))
}
