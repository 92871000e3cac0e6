// Package poisonwatch finds out whether a runner ended when its answers broke off, and which requests it was running. This
// distinguishes requests that end their runners from requests whose connections were reset or went silent while their
// runners are alive or left as planned. It passes the ends to a book of records, stores these records on disk, and says
// which requests are refused because of them.
package poisonwatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/poison"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

// probeDelays are the delays before each probe of a runner. A process may close its connections a moment before its
// listening address. If the result is still unknown after all of them, some five seconds, the runner does not count as
// ended: the registry drops a runner that ended in less time.
var probeDelays = []time.Duration{
	30 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond,
	time.Second, time.Second, time.Second, time.Second,
}

const (
	// probeTimeout bounds one probe.
	probeTimeout = 400 * time.Millisecond
	// endRetention is how long a detected end is retained for requests whose answers break off later.
	endRetention = 10 * time.Second
)

// Watch probes runners whose answers broke off. Its exported fields are set before use. Refused, Idle, Broken and Learn may be
// called on a nil Watch, which records nothing. It is safe for concurrent use.
type Watch struct {
	Book    *poison.Book
	Runners *runnertable.Table
	Caller  work.Caller
	Tomb    *tomb.Tomb
	Logger  zerolog.Logger
	Now     func() time.Time

	mutex          sync.Mutex
	investigations map[ident.Incarnation]*investigation
}

// investigation is the state of the probes of one runner. The watch's mutex guards it.
type investigation struct {
	runner work.Runner
	// fingerprints are the requests whose answers broke off there, and the parts of those that had received no event; startedAt is when the
	// first one did.
	fingerprints []poison.Fingerprint
	startedAt    time.Time
	// ended is true if the runner was found to have ended.
	ended bool
}

// Refused reports whether a request must not be run any more.
func (w *Watch) Refused(fingerprint poison.Fingerprint) bool {
	return w != nil && w.Book.Refused(fingerprint)
}

// Idle reports whether there are no records of any request, so that no fingerprint is needed.
func (w *Watch) Idle() bool { return w == nil || w.Book.Empty() }

// Withheld reports whether requests with one of some parts must not run at the runners of a service.
func (w *Watch) Withheld(parts []poison.Fingerprint, service string) bool {
	return w != nil && len(parts) > 0 && w.Book.Withheld(parts, service)
}

// RecordBegan records that a runner began to answer a request with some parts.
func (w *Watch) RecordBegan(runner work.Runner, parts []poison.Fingerprint) {
	if w != nil {
		w.Book.RecordBegan(runner, parts, w.Now())
	}
}

// RecordCompleted records that a runner completed a request.
func (w *Watch) RecordCompleted(fingerprint poison.Fingerprint) { w.Book.Completed(fingerprint) }

// RecordBroken records that a runner's answer to a request broke off or did not come. The fingerprints are that of the request, and those of
// its parts if no event had come. Unless the runner is known to be leaving, it is probed.
func (w *Watch) RecordBroken(runner work.Runner, fingerprints ...poison.Fingerprint) {
	if w == nil || w.Runners.Leaving(runner.ID) {
		return
	}
	now := w.Now()
	w.mutex.Lock()
	current := w.investigations[runner.ID]
	if current != nil && current.ended {
		w.mutex.Unlock()
		w.recordEnd(current, fingerprints, now)
		return
	}
	defer w.mutex.Unlock()
	if current == nil {
		if !w.Tomb.Alive() {
			return
		}
		current = &investigation{runner: runner, startedAt: now}
		if w.investigations == nil {
			w.investigations = map[ident.Incarnation]*investigation{}
		}
		w.investigations[runner.ID] = current
		w.Tomb.Go(func() error { w.investigate(current); return nil })
	}
	for _, fingerprint := range fingerprints {
		if !slices.Contains(current.fingerprints, fingerprint) {
			current.fingerprints = append(current.fingerprints, fingerprint)
		}
	}
}

// investigate probes the runner until it is known whether it ended.
func (w *Watch) investigate(current *investigation) {
	found := unknown
	for _, pause := range probeDelays {
		if !w.pause(pause) {
			return
		}
		if found = w.probe(current.runner); found != unknown {
			break
		}
	}
	w.mutex.Lock()
	fingerprints := current.fingerprints
	current.ended = found == ended
	if !current.ended {
		delete(w.investigations, current.runner.ID)
	}
	w.mutex.Unlock()
	if found == unknown {
		event.RunnerEndUnknown.Log(w.Logger).Str("runner", string(current.runner.ID)).Int("requests", len(fingerprints)).Send()
	}
	if found != ended {
		return
	}
	w.recordEnd(current, fingerprints, w.Now())
	if w.pause(endRetention) {
		w.mutex.Lock()
		delete(w.investigations, current.runner.ID)
		w.mutex.Unlock()
	}
}

// probe asks the runner once for a report. A runner that has been removed from the list in the meantime has ended too:
// it was not leaving when its answers broke off.
func (w *Watch) probe(runner work.Runner) verdict {
	ctx, cancel := context.WithTimeout(w.Tomb.Context(context.Background()), probeTimeout)
	defer cancel()
	_, err := w.Caller.Report(ctx, runner)
	found := classify(err)
	if _, listed := w.Runners.Runner(runner.ID); found == unknown && !listed {
		return ended
	}
	return found
}

// recordEnd records the end of a runner for its requests.
func (w *Watch) recordEnd(current *investigation, fingerprints []poison.Fingerprint, now time.Time) {
	var requests, parts []poison.Fingerprint
	for _, fingerprint := range fingerprints {
		if fingerprint.IsPart() {
			parts = append(parts, fingerprint)
		} else {
			requests = append(requests, fingerprint)
		}
	}
	event.RunnerEnded.Log(w.Logger).Str("runner", string(current.runner.ID)).Int("requests", len(requests)).Int("parts", len(parts)).Send()
	w.logRefused(w.Book.RecordCrash(current.runner.ID, requests, current.startedAt, now))
	w.logRefused(w.Book.RecordPartCrash(current.runner, parts, current.startedAt, now))
}

// ApplyRecords applies records from another node. If passOn is set, this node passes them on to others.
func (w *Watch) ApplyRecords(records []poison.Record, passOn bool) {
	if w != nil {
		w.logRefused(w.Book.Learn(records, w.Now(), passOn))
	}
}

// logRefused logs each request that is refused from now on, and each part that is withheld.
func (w *Watch) logRefused(fingerprints []poison.Fingerprint) {
	for _, fingerprint := range fingerprints {
		ends, _ := w.Book.Crashes(fingerprint)
		if fingerprint.IsPart() {
			event.PartWithheld.Log(w.Logger).Str("part", string(fingerprint)).Int("ends", ends).Send()
			continue
		}
		event.RequestsRefused.Log(w.Logger).Str("print", string(fingerprint)).Int("ends", ends).Send()
	}
}

// pause waits and returns false if the process is stopping.
func (w *Watch) pause(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-w.Tomb.Dying():
		return false
	}
}
