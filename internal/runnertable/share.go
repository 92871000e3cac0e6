package runnertable

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/pace"
	"mallowlatch.example/mallowlatch/internal/work"
)

// shareMemory is how long the word of a runner's owner is believed: as long as the owner believes this node's.
const shareMemory = demand.Lifetime

// OnOnlineChanged has a function told whenever this node's online work at a runner rises or falls, and whenever a runner's pace
// changed as far as this node knew, as of a fall. A fall where places are rationed is told as a rise: at once. It must not block. It is called before the table is used.
func (t *Table) OnOnlineChanged(told func(rose bool)) { t.onlineChanged = told }

// noteOnline tells of a change of the online work. The caller holds the mutex.
func (t *Table) noteOnline(class Class, rose bool) {
	if class == Online && t.onlineChanged != nil {
		t.onlineChanged(rose)
	}
}

// Online returns the runners at which this node has online work, and how much, those that it passes over after failures, and
// those whose pace it heard a moment ago.
func (t *Table) Online(now time.Time) map[work.Runner]demand.Count {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	online := map[work.Runner]demand.Count{}
	for id, known := range t.runners {
		count := demand.Count{Runner: id, Online: known.own[Online], Old: known.sentBefore(now.Add(-demand.OldAfter)), Tokens: known.tokens[Online], Suspect: known.health.ejected(now)}
		if known.spoken.Pace.Known() && now.Sub(known.spoken.At) < spokenFor {
			count.Pace, count.Heard = known.spoken.Pace, known.spoken.At
		}
		if count.HasWork() || count.Pace.Known() {
			online[known.runner] = count
		}
	}
	return online
}

// sentBefore counts the online requests at the runner that were sent before a moment.
func (e *entry) sentBefore(moment time.Time) int {
	count := 0
	for _, flight := range e.online {
		if flight.chosen.Before(moment) {
			count++
		}
	}
	return count
}

// TakeShares takes over what the owner of runners knew of the work at them, as of a moment. An older word than the last one
// is passed over.
func (t *Table) TakeShares(shares []demand.Share, asOf time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, told := range shares {
		if known := t.runners[told.Runner]; known != nil {
			known.share.Renew(share{
				others: told.Others, batch: told.Batch, orphans: told.Orphans, silent: told.Silent, tokens: max(told.Tokens, 0),
				rationed: told.Rationed, granted: told.Granted, grantedLate: told.GrantedLate,
			}, asOf)
			known.forgetBegun(asOf)
			if told.Memory > 0 {
				known.memory = told.Memory
			}
			t.hear(known, pace.Told(told.Pace, told.PaceAgeMs, asOf), false, asOf)
		}
	}
}
