package jobworker

import "time"

// outage remembers when the store was away. The zero outage says that it never was.
type outage struct {
	// failingSince is when the calls began to fail, or zero.
	failingSince time.Time
	// ended is when the last outage ended.
	ended time.Time
}

// note takes in how a call ended. Failures count as an outage from the given time on.
func (o *outage) note(failed bool, after time.Duration, now time.Time) {
	switch {
	case !failed:
		if o.lasts(after, now) {
			o.ended = now
		}
		o.failingSince = time.Time{}
	case o.failingSince.IsZero():
		o.failingSince = now
	}
}

// lasts says whether the store is away now.
func (o *outage) lasts(after time.Duration, now time.Time) bool {
	return !o.failingSince.IsZero() && now.Sub(o.failingSince) > after
}

// justEnded says whether the last outage ended within the time before now, or still lasts.
func (o *outage) justEnded(within, after time.Duration, now time.Time) bool {
	return o.lasts(after, now) || (!o.ended.IsZero() && now.Sub(o.ended) < within)
}
