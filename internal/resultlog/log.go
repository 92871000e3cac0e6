// Package resultlog decides what the holder of a batch job does next at the store, and what it knows of the job's results.
//
// Recorded results have positions that never change. Results that wait are recorded in the order in which they came. One call is
// in flight at a time, and its answer is applied to the state that the call was made from: whoever learns that the lease was
// replaced, or that the claim may be gone, only says so, and the next call claims the job again.
package resultlog

import (
	"errors"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Holding is a claim of a job and the lease that it ends with.
type Holding struct {
	Claim jobrecord.Claim
	Lease kv.LeaseID
}

// Kind is what a call does.
type Kind uint8

const (
	// Append records the next results.
	Append Kind = iota
	// Reclaim claims the job again and reads all results recorded so far.
	Reclaim
)

// Call is a call of the store.
type Call struct {
	Kind Kind
	// Claim is the claim under which an Append is made.
	Claim jobrecord.Claim
	// Lease is the lease under which a Reclaim claims the job.
	Lease kv.LeaseID
	// Position is that of the first of Results.
	Position int
	Results  []work.Result
	// Finishes means that all items have a result after an Append, which therefore closes the job.
	Finishes bool
}

// Log holds the results of a job that this node holds. The zero Log is that of a job without items. It is not safe for concurrent use.
type Log struct {
	total   int
	holding Holding
	// doubted is the revision of a claim that may be gone although its lease is alive.
	doubted int64
	// inFlight is the call that is not answered yet.
	inFlight *Call
	// unanswered means that an Append may have been done without an answer.
	unanswered bool
	// recorded are the recorded results by position, without the first evicted ones. bytes is the size of their texts.
	recorded []work.Result
	evicted  int
	bytes    int64
	waiting  []work.Result
	// closed means that the job was closed with its last result, lost that another node holds it or that it has ended.
	closed, lost bool
}

// New returns the log of a job with a number of items that was claimed, given the results read under the claim.
func New(holding Holding, total int, results []work.Result) Log {
	l := Log{total: total, holding: holding}
	l.record(results)
	return l
}

// Add adds a result that waits to be recorded.
func (l *Log) Add(result work.Result) { l.waiting = append(l.waiting, result) }

// Doubt says that the claim of a revision is no longer in the store. A claim made since is not doubted.
func (l *Log) Doubt(revision int64) { l.doubted = max(l.doubted, revision) }

// MustReclaim reports whether the job has to be claimed again under the node's present lease before anything is recorded.
func (l *Log) MustReclaim(lease kv.LeaseID) bool {
	return l.holding.Lease != lease || l.doubted == l.holding.Claim.Revision
}

// Complete reports whether what is recorded here is all that is recorded in the store, given the node's present lease: another node may
// have recorded more once the claim is gone, and so may a call without an answer.
func (l *Log) Complete(lease kv.LeaseID) bool {
	return !l.lost && !l.unanswered && !l.MustReclaim(lease)
}

// Next begins the next call, with at most limit results. It returns false while a call is in flight, without a lease, and if nothing is to
// be done. An Append that was not answered is repeated with the same results in the same order; new ones are only added at the end.
func (l *Log) Next(lease kv.LeaseID, limit int) (Call, bool) {
	if l.inFlight != nil || l.closed || l.lost || lease == 0 {
		return Call{}, false
	}
	if l.MustReclaim(lease) {
		// A doubt raised from here on is another one.
		l.doubted = 0
		return l.begin(Call{Kind: Reclaim, Lease: lease})
	}
	if len(l.waiting) == 0 && l.Recorded() < l.total {
		return Call{}, false
	}
	results := append([]work.Result(nil), l.waiting[:min(len(l.waiting), limit)]...)
	return l.begin(Call{
		Kind: Append, Claim: l.holding.Claim, Position: l.Recorded(), Results: results, Finishes: l.Recorded()+len(results) == l.total,
	})
}

func (l *Log) begin(call Call) (Call, bool) {
	l.inFlight = &call
	return call, true
}

// Appended applies the answer to the Append in flight. It returns true if the job is closed with it.
func (l *Log) Appended(err error) bool {
	call := l.inFlight
	l.inFlight = nil
	switch {
	case err == nil:
		l.record(call.Results)
		clear(l.waiting[:len(call.Results)])
		l.waiting = l.waiting[len(call.Results):]
		l.unanswered, l.closed = false, call.Finishes
	case errors.Is(err, jobrecord.ErrClaimLost):
		l.Doubt(call.Claim.Revision)
	case jobrecord.Unknown(err):
		l.unanswered = true
	}
	return l.closed
}

// Reclaimed applies the answer to the Reclaim in flight: the new claim, and all results read under it. Results of this node that are
// recorded already wait no longer. Without an error it returns true; an error that means that another node holds the job, or that it has
// ended, makes it lost.
func (l *Log) Reclaimed(claim jobrecord.Claim, results []work.Result, err error) bool {
	call := l.inFlight
	l.inFlight = nil
	if err != nil {
		l.lost = errors.Is(err, jobrecord.ErrClaimLost) || errors.Is(err, jobrecord.ErrNoSuchJob)
		l.Doubt(l.holding.Claim.Revision)
		return false
	}
	l.holding = Holding{Claim: claim, Lease: call.Lease}
	l.unanswered = false
	l.removeWaiting(results)
	l.recorded, l.evicted, l.bytes = nil, 0, 0
	l.record(results)
	return true
}

// removeWaiting removes the results that wait for items that have a recorded one.
func (l *Log) removeWaiting(results []work.Result) {
	recorded := make(map[ident.Request]bool, len(results))
	for _, result := range results {
		recorded[result.ID] = true
	}
	remaining := l.waiting[:0]
	for _, result := range l.waiting {
		if !recorded[result.ID] {
			remaining = append(remaining, result)
		}
	}
	clear(l.waiting[len(remaining):])
	l.waiting = remaining
}

func (l *Log) record(results []work.Result) {
	l.recorded = append(l.recorded, results...)
	l.bytes += textBytes(results)
}

// textBytes returns the size of the texts of results.
func textBytes(results []work.Result) int64 {
	sum := int64(0)
	for index := range results {
		sum += int64(len(results[index].Text))
	}
	return sum
}

// Holding returns the newest claim that this node knows to have.
func (l *Log) Holding() Holding { return l.holding }

// Closing reports whether an Append that closes the job is in flight.
func (l *Log) Closing() bool { return l.inFlight != nil && l.inFlight.Finishes }

// Lost reports whether another node holds the job, or it has ended.
func (l *Log) Lost() bool { return l.lost }

// Recorded returns the number of recorded results.
func (l *Log) Recorded() int { return l.evicted + len(l.recorded) }

// From returns the recorded results from a position on. It returns false if they were evicted.
func (l *Log) From(position int) ([]work.Result, bool) {
	if position < l.evicted {
		return nil, false
	}
	return l.recorded[min(position-l.evicted, len(l.recorded)):], true
}

// Waiting returns the results that wait to be recorded. The caller must not change them.
func (l *Log) Waiting() []work.Result { return l.waiting }

// Evict removes the recorded results from memory: they are read from the store from then on.
func (l *Log) Evict() {
	l.evicted += len(l.recorded)
	l.recorded, l.bytes = nil, 0
}

// Whole reports whether all recorded results are in memory.
func (l *Log) Whole() bool { return l.evicted == 0 }

// RecordedBytes returns the size of the texts of the recorded results in memory.
func (l *Log) RecordedBytes() int64 { return l.bytes }

// WaitingBytes returns the size of the texts of the results that wait.
func (l *Log) WaitingBytes() int64 { return textBytes(l.waiting) }
