package online

import (
	"cmp"
	"slices"

	"mallowlatch.example/mallowlatch/internal/demand"
)

// Waiting returns what the owners of runners whose places are rationed are to be told: the requests that wait, in the order of the services.
func (f *Forwarder) Waiting() []demand.Waiting {
	var waiting []demand.Waiting
	for _, room := range f.rooms.all() {
		if of := room.waiting(); of.OnTime+of.Late > 0 {
			waiting = append(waiting, of)
		}
	}
	slices.SortFunc(waiting, func(first, second demand.Waiting) int { return cmp.Compare(first.Service, second.Service) })
	return waiting
}

// Granted has requests look for the places that owners granted a moment ago.
func (f *Forwarder) Granted() {
	for _, room := range f.rooms.all() {
		room.granted()
	}
}

func (r *room) waiting() demand.Waiting {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	onTime, until, late := r.line.Waiting(now)
	waiting := demand.Waiting{Service: r.service, OnTime: onTime, Late: late}
	if onTime > 0 {
		waiting.LeftMs = until.Sub(now).Milliseconds()
	}
	return waiting
}

// granted has a request look where places are rationed; each that finds one wakes the next one.
func (r *room) granted() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.rationed() {
		r.wake()
	}
}
