package runnertable_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/runnertable"
)

// rationedTable returns a table with a rationed runner of eight slots and its owner's report as of now.
func rationedTable(now time.Time, share demand.Share) *runnertable.Table {
	table := runnertable.New("z")
	table.Replace(eightSlotRunners("a"), now, true)
	share.Runner, share.Rationed = "a", true
	table.UpdateShares([]demand.Share{share}, now)
	return table
}

// TestRationedRunnerTakesWhatItsOwnerGranted has seven free slots, one of which is granted: one request is sent there,
// and no further one when it ends, until the owner grants a slot again.
func TestRationedRunnerTakesWhatItsOwnerGranted(t *testing.T) {
	now := time.Now()
	table := rationedTable(now, demand.Share{Orphans: 1, Granted: 1})
	assert.Assert(t, table.IsRationed("s", now) && !table.IsRationed("other", now))
	assert.Equal(t, len(table.Rationed(now)), 1)
	flight, err := table.Pick(queueableRequest(), now, fixedRand())
	assert.NilError(t, err)
	_, err = table.Pick(queueableRequest(), now, fixedRand())
	assert.ErrorIs(t, err, runnertable.ErrFull)
	flight.End()
	_, err = table.Pick(queueableRequest(), now, fixedRand())
	assert.ErrorIs(t, err, runnertable.ErrFull, "a slot that was freed is granted by the owner only")
	now = now.Add(5 * time.Millisecond)
	table.UpdateShares([]demand.Share{{Runner: "a", Rationed: true, Granted: 1}}, now)
	_, err = table.Pick(queueableRequest(), now, fixedRand())
	assert.NilError(t, err)
}

// TestRequestSinceTheQuestionUsesTheGrantOfItsAnswer sends a request on an earlier grant after a poll was sent that
// still counts it as waiting. The request uses up the grant in the answer to that poll.
func TestRequestSinceTheQuestionUsesTheGrantOfItsAnswer(t *testing.T) {
	now := time.Now()
	table := rationedTable(now, demand.Share{Orphans: 1, Granted: 1})
	_, err := table.Pick(queueableRequest(), now.Add(2*time.Millisecond), fixedRand())
	assert.NilError(t, err)
	table.UpdateShares([]demand.Share{{Runner: "a", Rationed: true, Granted: 1}}, now.Add(time.Millisecond))
	_, err = table.Pick(queueableRequest(), now.Add(3*time.Millisecond), fixedRand())
	assert.ErrorIs(t, err, runnertable.ErrFull)
}

// TestGrantsAndRationsEnd checks which requests may be sent: none on a grant that has expired, any if the owner has
// not reported for long, always one that may have run already, and a late one only if the grant allows it.
func TestGrantsAndRationsEnd(t *testing.T) {
	now := time.Now()
	late := queueableRequest()
	late.Late = true
	sentAnyway := runnertable.PickRequest{Service: "s", Class: runnertable.Online}
	for name, c := range map[string]struct {
		share   demand.Share
		request runnertable.PickRequest
		after   time.Duration
		full    bool
	}{
		"granted":                     {share: demand.Share{Granted: 1}, request: queueableRequest(), after: 79 * time.Millisecond},
		"grant expired":               {share: demand.Share{Granted: 1}, request: queueableRequest(), after: 80 * time.Millisecond, full: true},
		"no grant":                    {request: queueableRequest(), after: 599 * time.Millisecond, full: true},
		"owner is gone":               {request: queueableRequest(), after: 600 * time.Millisecond},
		"may have run already":        {request: sentAnyway},
		"late, grant is not for late": {share: demand.Share{Granted: 1}, request: late, full: true},
		"late, grant is for late":     {share: demand.Share{Granted: 1, GrantedLate: true}, request: late},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := rationedTable(now, c.share).Pick(c.request, now.Add(c.after), fixedRand())
			if c.full {
				assert.ErrorIs(t, err, runnertable.ErrFull)
				return
			}
			assert.NilError(t, err)
		})
	}
}

// TestEndAtARationedRunnerIsReportedAtOnce ends a request at a rationed runner and at another one: the slot of the
// rationed one stays idle until its owner is notified.
func TestEndAtARationedRunnerIsReportedAtOnce(t *testing.T) {
	now := time.Now()
	for _, rationed := range []bool{false, true} {
		table := runnertable.New("z")
		table.Replace(eightSlotRunners("a"), now, true)
		table.UpdateShares([]demand.Share{{Runner: "a", Rationed: rationed, Granted: 1}}, now)
		flight, err := table.Pick(queueableRequest(), now, fixedRand())
		assert.NilError(t, err)
		var notified []bool
		table.OnOnlineChanged(func(atOnce bool) { notified = append(notified, atOnce) })
		flight.End()
		assert.DeepEqual(t, notified, []bool{rationed})
		assert.Equal(t, len(table.Online(now)), 0, "%v", ident.Incarnation("a"))
	}
}

// TestRequestThatIsChosenAsTheWorkIsCountedUsesItsGrant has the node count its work for a report between the moment at which
// a request looked at the clock and the one at which it was sent. The report lacks the request, which still uses up the grant
// in the answer.
func TestRequestThatIsChosenAsTheWorkIsCountedUsesItsGrant(t *testing.T) {
	now := time.Now()
	table := rationedTable(now, demand.Share{Orphans: 1, Granted: 1})
	countedAt := now.Add(2 * time.Millisecond)
	assert.Equal(t, len(table.Online(countedAt)), 0)
	_, err := table.Pick(queueableRequest(), now.Add(time.Millisecond), fixedRand())
	assert.NilError(t, err)
	table.UpdateShares([]demand.Share{{Runner: "a", Rationed: true, Granted: 1}}, countedAt)
	_, err = table.Pick(queueableRequest(), now.Add(3*time.Millisecond), fixedRand())
	assert.ErrorIs(t, err, runnertable.ErrFull)
}
