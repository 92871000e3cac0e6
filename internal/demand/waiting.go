package demand

import (
	"slices"
	"time"
)

// askEvery is the least time between two reports to a worker that rations its places, where what waits changed alone: as often as requests
// look for a place.
const askEvery = 20 * time.Millisecond

// lacksWaiting says whether the worker is to be asked now for places for what waits here, or told that nothing does any more.
func (c *correspondent) lacksWaiting(waiting []Waiting, now time.Time) bool {
	if now.Before(c.notBefore) {
		return false
	}
	if !slices.EqualFunc(waiting, c.waiting, Waiting.sameCounts) {
		return now.Sub(c.lastAt) >= askEvery
	}
	return len(waiting) > 0 && now.Sub(c.lastAt) >= RefreshEvery
}

// asksSoon says whether the worker is to be told of what waits as soon as askEvery is over.
func (c *correspondent) asksSoon(waiting []Waiting, now time.Time) bool {
	return !now.Before(c.notBefore) && !slices.EqualFunc(waiting, c.waiting, Waiting.sameCounts)
}

// sameCounts says whether as many wait: that their time runs makes no report due.
func (w Waiting) sameCounts(other Waiting) bool {
	return w.Service == other.Service && w.OnTime == other.OnTime && w.Late == other.Late
}
