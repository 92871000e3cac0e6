package runnertable

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/pace"
	"mallowlatch.example/mallowlatch/internal/work"
)

// shareLifetime is how long a report of a runner's owner is used: as long as the owner uses the reports of this node.
const shareLifetime = demand.Lifetime

// OnOnlineChanged registers a function that is called whenever this node's online work at a runner rises or falls
// (rose is true or false), and with false when a direct report of a runner starts or ends a slow phase. The end of a
// request at a rationed runner is reported with true, so that it is sent at once. The function must not block.
// OnOnlineChanged must be called before the table is used.
func (t *Table) OnOnlineChanged(notify func(rose bool)) { t.onlineChanged = notify }

// notifyOnline reports a change of the online work. The caller holds the mutex.
func (t *Table) notifyOnline(class Class, rose bool) {
	if class == Online && t.onlineChanged != nil {
		t.onlineChanged(rose)
	}
}

// Online returns the counts to report for runners at which this node has online work, which it currently ejects after
// failures, or which reported their pace to it recently.
func (t *Table) Online(now time.Time) map[work.Runner]demand.Count {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.countedAt = now
	online := map[work.Runner]demand.Count{}
	t.inUse.prune(now)
	for id, known := range t.inUse {
		count := demand.Count{Runner: id, Online: known.own[Online], Old: known.sentBefore(now.Add(-demand.MaxReportAge)),
			Tokens: known.tokens[Online], Suspect: known.health.ejected(now)}
		if known.passesPace(now) {
			count.Pace, count.PaceReceivedAt = known.directPace.Pace, known.directPace.At
		}
		if count.HasWork() || count.Pace.Known() {
			online[known.runner] = count
		}
	}
	return online
}

// sentBefore counts the online requests at the runner that were sent before a time.
func (e *entry) sentBefore(moment time.Time) int {
	count := 0
	for _, flight := range e.online {
		if flight.startedAt.Before(moment) {
			count++
		}
	}
	return count
}

// UpdateShares stores what the owner of the runners reported about the work at them, as of a time. A report older than
// the last one is ignored.
func (t *Table) UpdateShares(shares []demand.Share, asOf time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, reported := range shares {
		if known := t.runners[reported.Runner]; known != nil {
			known.share.Renew(share{
				others: reported.Others, batch: reported.Batch, orphans: reported.Orphans, unresponsive: reported.Unresponsive,
				tokens: max(reported.Tokens, 0), rationed: reported.Rationed, granted: reported.Granted, grantedLate: reported.GrantedLate,
			}, asOf)
			if reported.Rationed {
				t.rationed[reported.Runner] = known
			}
			known.dropGrantUses(asOf)
			if reported.TokenCapacity > 0 {
				known.memory = reported.TokenCapacity
			}
			t.updatePace(known, pace.ReportFromAge(reported.Pace, reported.PaceAgeMs, asOf), false, asOf)
		}
	}
}
