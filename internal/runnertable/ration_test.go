package runnertable_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/runnertable"
)

// rationedTable has one runner of eight places, of which the owner granted some as of now.
func rationedTable(now time.Time, told demand.Share) *runnertable.Table {
	table := runnertable.New("z")
	table.Replace(eightPlaces("a"), now, true)
	told.Runner, told.Rationed = "a", true
	table.TakeShares([]demand.Share{told}, now)
	return table
}

// TestRationedRunnerTakesWhatItsOwnerGranted has seven free places, of which one is granted: one request goes there, and none more
// where it ends, until the owner grants again.
func TestRationedRunnerTakesWhatItsOwnerGranted(t *testing.T) {
	now := time.Now()
	table := rationedTable(now, demand.Share{Orphans: 1, Granted: 1})
	assert.Assert(t, table.Rations("s", now) && !table.Rations("other", now))
	assert.Equal(t, len(table.Rationed(now)), 1)
	flight, err := table.Pick(waits(), now, anyOrder())
	assert.NilError(t, err)
	_, err = table.Pick(waits(), now, anyOrder())
	assert.ErrorIs(t, err, runnertable.ErrFull)
	flight.End()
	_, err = table.Pick(waits(), now, anyOrder())
	assert.ErrorIs(t, err, runnertable.ErrFull, "a place that is given back is the owner's")
	now = now.Add(5 * time.Millisecond)
	table.TakeShares([]demand.Share{{Runner: "a", Rationed: true, Granted: 1}}, now)
	_, err = table.Pick(waits(), now, anyOrder())
	assert.NilError(t, err)
}

// TestRequestSinceTheQuestionUsesTheGrantOfItsAnswer has a request begin on a former grant while the question is on its way that tells
// of it as one that waits.
func TestRequestSinceTheQuestionUsesTheGrantOfItsAnswer(t *testing.T) {
	now := time.Now()
	table := rationedTable(now, demand.Share{Orphans: 1, Granted: 1})
	_, err := table.Pick(waits(), now.Add(2*time.Millisecond), anyOrder())
	assert.NilError(t, err)
	table.TakeShares([]demand.Share{{Runner: "a", Rationed: true, Granted: 1}}, now.Add(time.Millisecond))
	_, err = table.Pick(waits(), now.Add(3*time.Millisecond), anyOrder())
	assert.ErrorIs(t, err, runnertable.ErrFull)
}

// TestGrantsAndRationsEnd names who may begin a request when: nobody on a grant that its owner does not keep any more, any where the owner
// told nothing for long, one that a runner may have run always, and one that is late only where the grant says so.
func TestGrantsAndRationsEnd(t *testing.T) {
	now := time.Now()
	late := waits()
	late.Late = true
	sentAnyway := runnertable.Wish{Service: "s", Class: runnertable.Online}
	for name, c := range map[string]struct {
		told  demand.Share
		wish  runnertable.Wish
		after time.Duration
		full  bool
	}{
		"granted":                  {told: demand.Share{Granted: 1}, wish: waits(), after: 79 * time.Millisecond},
		"granted long ago":         {told: demand.Share{Granted: 1}, wish: waits(), after: 80 * time.Millisecond, full: true},
		"granted nothing":          {wish: waits(), after: 599 * time.Millisecond, full: true},
		"owner is gone":            {wish: waits(), after: 600 * time.Millisecond},
		"may have run":             {wish: sentAnyway},
		"late, for those in time":  {told: demand.Share{Granted: 1}, wish: late, full: true},
		"late, and nobody in time": {told: demand.Share{Granted: 1, GrantedLate: true}, wish: late},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := rationedTable(now, c.told).Pick(c.wish, now.Add(c.after), anyOrder())
			if c.full {
				assert.ErrorIs(t, err, runnertable.ErrFull)
				return
			}
			assert.NilError(t, err)
		})
	}
}

// TestEndAtARationedRunnerIsToldAtOnce has a request end there, and one elsewhere: the first one's place stands idle until its owner hears.
func TestEndAtARationedRunnerIsToldAtOnce(t *testing.T) {
	now := time.Now()
	for _, rationed := range []bool{false, true} {
		table := runnertable.New("z")
		table.Replace(eightPlaces("a"), now, true)
		table.TakeShares([]demand.Share{{Runner: "a", Rationed: rationed, Granted: 1}}, now)
		flight, err := table.Pick(waits(), now, anyOrder())
		assert.NilError(t, err)
		var told []bool
		table.OnOnlineChanged(func(atOnce bool) { told = append(told, atOnce) })
		flight.End()
		assert.DeepEqual(t, told, []bool{rationed})
		assert.Equal(t, len(table.Online(now)), 0, "%v", ident.Incarnation("a"))
	}
}
