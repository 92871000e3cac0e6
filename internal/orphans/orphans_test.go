package orphans_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/orphans"
)

var start = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestFirstReportCountsAllThatNobodyTold reads a runner before nodes sent it anything.
func TestFirstReportCountsAllThatNobodyTold(t *testing.T) {
	var count orphans.Count
	assert.Equal(t, count.Runs(start), 0)
	assert.Assert(t, !count.WasRead() && !count.Gone())
	count.Read(7, start)
	assert.Equal(t, count.Runs(start), 7)
	assert.Assert(t, !count.Gone())
}

// TestOldReportIsHeldAgainstWhatWasKnownThen has requests sent right before a report is read: they are not in it, and hide no orphan.
func TestOldReportIsHeldAgainstWhatWasKnownThen(t *testing.T) {
	var count orphans.Count
	count.Know(0, start)
	count.Read(6, start)
	count.Know(2, after(150))
	count.Read(6, after(200))
	assert.Equal(t, count.Runs(after(200)), 6, "two requests of the last 50 ms hid orphans")
	count.Know(4, after(350))
	count.Read(8, after(400))
	assert.Equal(t, count.Runs(after(400)), 6)
}

// TestRequestsThatAreToldLateAreNoOrphans has nodes tell of six requests after they were read as orphans, for the first time: they are none
// from then on, and the two readings after that, by reports that were made before, bring none of them back and hide none of the others.
func TestRequestsThatAreToldLateAreNoOrphans(t *testing.T) {
	for name, read := range map[string]bool{"after a reading": true, "before any": false} {
		t.Run(name, func(t *testing.T) {
			var count orphans.Count
			if read {
				count.Know(0, start)
				count.Read(8, after(10))
				assert.Equal(t, count.Runs(after(10)), 8)
			}
			count.Learn(6, after(20))
			count.Know(6, after(20))
			for ms := 30; ms <= 630; ms += 200 {
				count.Know(6, after(ms))
				count.Read(8, after(ms))
				assert.Equal(t, count.Runs(after(ms)), 2, "after %d ms", ms)
			}
		})
	}
}

// TestOneReportProvesNoEnd has a report that was made before the requests told of came to the runner. The count falls with the next one.
func TestOneReportProvesNoEnd(t *testing.T) {
	var count orphans.Count
	count.Read(6, start)
	count.Read(4, after(200))
	assert.Equal(t, count.Runs(after(200)), 6, "one report was believed")
	count.Read(4, after(400))
	assert.Equal(t, count.Runs(after(400)), 4)
}

// TestOrphansNeverGrow draws reports and what is known: the count is never negative, never more than the first report showed, and never
// rises; it is gone once two reports in a row show nothing beyond what is known.
func TestOrphansNeverGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var count orphans.Count
		now := start
		last := rapid.IntRange(0, 12).Draw(t, "first")
		count.Read(last, now)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 1).Draw(t, "kind") {
			case 0:
				count.Know(rapid.IntRange(0, 12).Draw(t, "known"), now)
			default:
				count.Read(rapid.IntRange(0, 16).Draw(t, "total"), now)
			}
			runs := count.Runs(now)
			assert.Assert(t, runs >= 0)
			if count.Gone() {
				assert.Equal(t, runs, 0)
			}
			most := last
			if runs > most {
				t.Fatalf("%d orphans after %d", runs, last)
			}
			// Between readings the count fades, and the next one may show as many as before: the bound is the first report's.
		}
		count.Know(3, now)
		now = now.Add(time.Second)
		count.Know(3, now)
		count.Read(3, now)
		count.Read(3, now.Add(200*time.Millisecond))
		assert.Assert(t, count.Gone())
	})
}

// TestRunnerThatIsNotReadAnyMoreIsFreeAgain: a runner that cannot be read must not be passed over for longer than what a node told
// counts.
func TestRunnerThatIsNotReadAnyMoreIsFreeAgain(t *testing.T) {
	var count orphans.Count
	count.Read(8, start)
	assert.Equal(t, count.Runs(after(400)), 8, "a single reading that fails frees nothing")
	assert.Equal(t, count.Runs(after(1000)), 4)
	assert.Equal(t, count.Runs(after(1500)), 0)
}

// TestOneNodeThatLivedShowsThatNothingWasLost draws the ages that nodes tell to one that has just started. All of them within three
// seconds of its own: it goes on looking. One that has lived longer, or does not say: it looks for nothing any more.
func TestOneNodeThatLivedShowsThatNothingWasLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var watch orphans.Watch
		watch.Begin(start)
		assert.Assert(t, watch.Open(start) && watch.Settling(start))
		lived := false
		for range rapid.IntRange(1, 20).Draw(t, "reports") {
			own := time.Duration(rapid.IntRange(0, 4000).Draw(t, "own ms")) * time.Millisecond
			age := time.Duration(rapid.IntRange(0, 9000).Draw(t, "age ms")) * time.Millisecond
			lived = lived || age == 0 || age > own+orphans.Together
			watch.Heard(age, start.Add(own))
			assert.Equal(t, watch.Open(start.Add(own)), !lived)
		}
	})
}

// TestNothingIsLookedForLong: the longest run is over, and what is still there belongs to somebody who tells nothing.
func TestNothingIsLookedForLong(t *testing.T) {
	var watch orphans.Watch
	assert.Assert(t, !watch.Open(start))
	watch.Begin(start)
	assert.Assert(t, watch.Open(after(9999)) && !watch.Settling(after(1000)) && !watch.Open(after(10000)))
}

// TestEndThatIsToldLateIsNoOrphans has a request end at the runner at 0 that is told at 40 ms, and the runner read each 15 ms: in several
// readings in a row it has one less than is known.
func TestEndThatIsToldLateIsNoOrphans(t *testing.T) {
	var count orphans.Count
	for ms := -150; ms <= 300; ms += 15 {
		known, atRunner := 3, 6+3
		if ms >= 40 {
			known = 2
		}
		if ms-100 >= 0 {
			atRunner = 6 + 2
		}
		count.Know(known, after(ms))
		count.Read(atRunner, after(ms))
	}
	assert.Equal(t, count.Runs(after(300)), 6)
}
