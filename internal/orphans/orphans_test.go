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

// TestFirstReportCountsAllThatNobodyTold reads a runner before any node has sent it anything.
func TestFirstReportCountsAllThatNobodyTold(t *testing.T) {
	var count orphans.Count
	assert.Equal(t, count.Runs(start), 0)
	assert.Assert(t, !count.WasRead() && !count.Ended())
	count.RecordReading(7, start)
	assert.Equal(t, count.Runs(start), 7)
	assert.Assert(t, !count.Ended())
}

// TestOldReportIsHeldAgainstWhatWasKnownThen has requests sent right before a report is read: the report does not contain
// them, and they must not hide orphaned runs.
func TestOldReportIsHeldAgainstWhatWasKnownThen(t *testing.T) {
	var count orphans.Count
	count.RecordAccounted(0, start)
	count.RecordReading(6, start)
	count.RecordAccounted(2, after(150))
	count.RecordReading(6, after(200))
	assert.Equal(t, count.Runs(after(200)), 6, "two requests of the last 50 ms hid orphaned runs")
	count.RecordAccounted(4, after(350))
	count.RecordReading(8, after(400))
	assert.Equal(t, count.Runs(after(400)), 6)
}

// TestRequestsThatAreToldLateAreNoOrphans has nodes report six requests for the first time after these were read as
// orphaned: from then on they do not count as orphaned, and the two following readings, of reports made before, neither
// bring any of them back nor hide the other orphaned runs.
func TestRequestsThatAreToldLateAreNoOrphans(t *testing.T) {
	for name, read := range map[string]bool{"after a reading": true, "before any": false} {
		t.Run(name, func(t *testing.T) {
			var count orphans.Count
			if read {
				count.RecordAccounted(0, start)
				count.RecordReading(8, after(10))
				assert.Equal(t, count.Runs(after(10)), 8)
			}
			count.AddLateReported(6, after(20))
			count.RecordAccounted(6, after(20))
			for ms := 30; ms <= 630; ms += 200 {
				count.RecordAccounted(6, after(ms))
				count.RecordReading(8, after(ms))
				assert.Equal(t, count.Runs(after(ms)), 2, "after %d ms", ms)
			}
		})
	}
}

// TestOneReportProvesNoEnd has a report that was made before the reported requests reached the runner. The count falls
// with the next report.
func TestOneReportProvesNoEnd(t *testing.T) {
	var count orphans.Count
	count.RecordReading(6, start)
	count.RecordReading(4, after(200))
	assert.Equal(t, count.Runs(after(200)), 6, "one report was believed")
	count.RecordReading(4, after(400))
	assert.Equal(t, count.Runs(after(400)), 4)
}

// TestOrphansNeverGrow draws reports and accounted work: the count is never negative, never rises from one report to the
// next, and never exceeds the first report; it is gone once two reports in a row show nothing beyond the accounted work.
func TestOrphansNeverGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var count orphans.Count
		now := start
		last := rapid.IntRange(0, 12).Draw(t, "first")
		count.RecordReading(last, now)
		atLastReading := last
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 1).Draw(t, "kind") {
			case 0:
				count.RecordAccounted(rapid.IntRange(0, 12).Draw(t, "known"), now)
			default:
				count.RecordReading(rapid.IntRange(0, 16).Draw(t, "total"), now)
				assert.Assert(t, count.Runs(now) <= atLastReading, "%d orphaned runs after %d", count.Runs(now), atLastReading)
				atLastReading = count.Runs(now)
			}
			runs := count.Runs(now)
			assert.Assert(t, runs >= 0)
			if count.Ended() {
				assert.Equal(t, runs, 0)
			}
			most := last
			if runs > most {
				t.Fatalf("%d orphaned runs after %d", runs, last)
			}
			// Between readings the count decays, and the next reading may restore it: the bound is that of the first
			// report.
		}
		count.RecordAccounted(3, now)
		now = now.Add(time.Second)
		count.RecordAccounted(3, now)
		count.RecordReading(3, now)
		count.RecordReading(3, now.Add(200*time.Millisecond))
		assert.Assert(t, count.Ended())
	})
}

// TestRunnerThatIsNotReadAnyMoreIsFreeAgain guards against avoiding a runner that cannot be read for longer than a node's
// report is valid.
func TestRunnerThatIsNotReadAnyMoreIsFreeAgain(t *testing.T) {
	var count orphans.Count
	count.RecordReading(8, start)
	assert.Equal(t, count.Runs(after(400)), 8, "a single failed reading frees nothing")
	assert.Equal(t, count.Runs(after(1000)), 4)
	assert.Equal(t, count.Runs(after(1500)), 0)
}

// TestOneNodeThatLivedShowsThatNothingWasLost draws the uptimes that nodes report to one that has just started. While all
// are at most three seconds above its own, it keeps looking for orphaned runs. Once a node has been up longer, or does
// not say, it stops.
func TestOneNodeThatLivedShowsThatNothingWasLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var watch orphans.Watch
		watch.Begin(start)
		assert.Assert(t, watch.Open(start) && watch.Settling(start))
		lived := false
		for range rapid.IntRange(1, 20).Draw(t, "reports") {
			own := time.Duration(rapid.IntRange(0, 4000).Draw(t, "own ms")) * time.Millisecond
			age := time.Duration(rapid.IntRange(0, 9000).Draw(t, "age ms")) * time.Millisecond
			lived = lived || age == 0 || age > own+orphans.MaxStartSkew
			watch.RecordUptime(age, start.Add(own))
			assert.Equal(t, watch.Open(start.Add(own)), !lived)
		}
	})
}

// TestWatchEndsAfterPeriod guards against looking for orphaned runs for too long: by then the longest run has ended, and
// what is still there belongs to a node that does not report.
func TestWatchEndsAfterPeriod(t *testing.T) {
	var watch orphans.Watch
	assert.Assert(t, !watch.Open(start))
	watch.Begin(start)
	assert.Assert(t, watch.Open(after(9999)) && !watch.Settling(after(1000)) && !watch.Open(after(10000)))
}

// TestEndThatIsToldLateIsNoOrphans has a request end at the runner at 0 and be reported at 40 ms, while the runner is
// read every 15 ms: in several readings in a row it has one run less than is accounted for.
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
		count.RecordAccounted(known, after(ms))
		count.RecordReading(atRunner, after(ms))
	}
	assert.Equal(t, count.Runs(after(300)), 6)
}

// slotUse is a request in a runner's slot: when its node reports it from and to, and when the runner has it.
type slotUse struct{ reportedFrom, reportedTo, runsFrom, runsTo int }

// drawSlotUses draws requests that follow each other in one slot. The next one is granted the slot once the end of the
// one before was reported. The runner gets a request after its node has reported it, and its end is reported late.
func drawSlotUses(t *rapid.T) []slotUse {
	var uses []slotUse
	at := rapid.IntRange(0, 40).Draw(t, "first")
	for range rapid.IntRange(1, 12).Draw(t, "requests") {
		use := slotUse{reportedFrom: at}
		use.runsFrom = at + rapid.IntRange(0, 40).Draw(t, "start late by ms")
		use.runsTo = use.runsFrom + rapid.IntRange(20, 150).Draw(t, "takes ms")
		use.reportedTo = use.runsTo + rapid.IntRange(0, 40).Draw(t, "end late by ms")
		at = use.reportedTo + rapid.IntRange(1, 20).Draw(t, "granted after ms")
		uses = append(uses, use)
	}
	return uses
}

// TestRequestsInOneSlotHideNoOrphans guards against a count that falls while all orphaned runs go on: a node reports a
// request before the runner has it, or reports the end late, and two reports in a row are read meanwhile. The count never
// rises again, so that the slots of the runs still there were granted until they ended.
func TestRequestsInOneSlotHideNoOrphans(t *testing.T) {
	const orphaned, reportAge = 7, 100
	rapid.Check(t, func(t *rapid.T) {
		uses := drawSlotUses(t)
		var count orphans.Count
		count.RecordAccounted(0, after(-200))
		count.RecordReading(orphaned, after(-1))
		nextReading := 0
		for ms := range uses[len(uses)-1].reportedTo + 200 {
			known, running := 0, 0
			for _, use := range uses {
				if use.reportedFrom <= ms && ms < use.reportedTo {
					known = 1
				}
				if shown := ms - reportAge; use.runsFrom <= shown && shown < use.runsTo {
					running = 1
				}
			}
			count.RecordAccounted(known, after(ms))
			if ms == nextReading {
				count.RecordReading(orphaned+running, after(ms))
				nextReading = ms + rapid.IntRange(1, 20).Draw(t, "next reading after ms")
			}
			assert.Equal(t, count.Runs(after(ms)), orphaned, "at %d ms", ms)
		}
	})
}
