package poison

import "time"

// itemPause is the time from the last crash under an item to its next run. The platform allows an item that is owed to be without a runner for
// five seconds of calm; the rest is for finding the crash and for a slot.
const itemPause = 3 * time.Second

// NextRun returns when an item of a job may run again, given the number of runners that crashed while running it and the time of the last crash.
// No count ends its turns: items do not crash runners by themselves, and one that was only in flight beside the cause is owed its result.
func NextRun(crashes int, last time.Time) time.Time {
	if crashes < crashLimit {
		return time.Time{}
	}
	return last.Add(itemPause)
}

// Trials limits how many items under which runners crashed a node runs at the same time: one after a crash, and one more for each that is
// completed since. The zero value allows one.
type Trials struct{ completed int }

// Allowed returns the limit.
func (t *Trials) Allowed() int { return 1 + t.completed }

// Completed records that such an item was completed.
func (t *Trials) Completed() { t.completed++ }

// Crashed records that the run of such an item broke off.
func (t *Trials) Crashed() { t.completed = 0 }
