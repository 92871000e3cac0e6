package poison

import "time"

const (
	// itemRetries is how often an item of a job may be run again once crashLimit runners crashed while running it. An item must not be
	// failed early: one that was only in flight beside a bad request then gets its result late instead of never. The platform allows
	// three such runs.
	itemRetries = 3
	// firstRetryDelay is the time from the last crash to the first such run. It doubles with each further one. A storm caused by other
	// requests is over by then, because requests that crash runners are refused on all nodes within a second or two.
	firstRetryDelay = 5 * time.Second
)

// ItemMayRun reports whether an item of a job may run, given the number of runners that crashed while running it and the time since the
// last crash.
func ItemMayRun(crashes int, since time.Duration) bool {
	retries := crashes - crashLimit
	if retries < 0 {
		return true
	}
	return retries < itemRetries && since >= firstRetryDelay<<retries
}
