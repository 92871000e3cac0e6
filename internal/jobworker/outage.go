package jobworker

import "time"

// outage tracks when the store was unreachable. The zero value means never.
type outage struct {
	// failingSince is when the calls started to fail, or zero.
	failingSince time.Time
	// ended is when the last outage ended.
	ended time.Time
}

// record records the outcome of a call. Failures count as an outage once they have lasted longer than after.
func (o *outage) record(failed bool, after time.Duration, now time.Time) {
	switch {
	case !failed:
		if o.ongoing(after, now) {
			o.ended = now
		}
		o.failingSince = time.Time{}
	case o.failingSince.IsZero():
		o.failingSince = now
	}
}

// ongoing reports whether the store is unreachable now.
func (o *outage) ongoing(after time.Duration, now time.Time) bool {
	return !o.failingSince.IsZero() && now.Sub(o.failingSince) > after
}

// recent reports whether the last outage ended within the given time before now, or is still ongoing.
func (o *outage) recent(within, after time.Duration, now time.Time) bool {
	return o.ongoing(after, now) || (!o.ended.IsZero() && now.Sub(o.ended) < within)
}
