package poison

import "time"

const (
	// itemTries is how often an item of a job may be run again after enough runners ended under it. An item must not be given up
	// before its time, and one that was beside another by chance gets its result late and not never. With the ends before them
	// the tries stay within the three that the platform allows.
	itemTries = 3
	// firstItemPause parts such a run from the last end; it doubles with each. The storm that hit an innocent item is over by then:
	// requests that end runners are refused everywhere within a second or two.
	firstItemPause = 5 * time.Second
)

// ItemMayRun says whether an item of a job may run, from the number of runners that ended under it and the time since the last.
func ItemMayRun(ends int, since time.Duration) bool {
	tries := ends - enoughEnds
	if tries < 0 {
		return true
	}
	return tries < itemTries && since >= firstItemPause<<tries
}
