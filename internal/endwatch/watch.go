// Package endwatch finds out whether a runner ended when its answers broke off, and which requests it ran then. A request that
// ends its runners is told by that from requests whose connections were reset or fell silent, and whose runners live or left.
package endwatch

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

// pauses are those before each question to a runner. Its process may close the connections a moment before its address. What is
// not known after them all, some five seconds, counts as no end: the registry drops a runner that ended in less.
var pauses = []time.Duration{
	30 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond,
	time.Second, time.Second, time.Second, time.Second,
}

const (
	// questionTimeout bounds one question.
	questionTimeout = 400 * time.Millisecond
	// remembered is how long an end that was found is kept for requests whose answers break off later.
	remembered = 10 * time.Second
)

// Watch asks runners whose answers broke off. Its exported fields are set before use; a nil Watch watches nothing. It is safe for
// concurrent use.
type Watch struct {
	Book    *poison.Book
	Runners *runnertable.Table
	Caller  work.Caller
	Tomb    *tomb.Tomb
	Logger  zerolog.Logger
	Now     func() time.Time

	mutex sync.Mutex
	cases map[ident.Incarnation]*inquiry
}

// inquiry is about one runner. The watch's mutex guards it.
type inquiry struct {
	runner work.Runner
	// prints are the requests whose answers broke off there, began is when the first did.
	prints []poison.Print
	began  time.Time
	// ended says that the runner was found to have ended.
	ended bool
}

// Refused says whether a request is to be run no more.
func (w *Watch) Refused(print poison.Print) bool { return w != nil && w.Book.Refused(print) }

// Idle says that nothing is known of any request, so that no print is needed.
func (w *Watch) Idle() bool { return w == nil || w.Book.Empty() }

// Well notes that a runner came to the end of a request.
func (w *Watch) Well(print poison.Print) { w.Book.Well(print) }

// Broken notes that a runner's answer to a request broke off or did not come. Where the runner is not known to leave, it is asked
// whether it lives.
func (w *Watch) Broken(runner work.Runner, print poison.Print) {
	if w == nil || w.Runners.Leaving(runner.ID) {
		return
	}
	now := w.Now()
	w.mutex.Lock()
	held := w.cases[runner.ID]
	if held != nil && held.ended {
		w.mutex.Unlock()
		w.note(held, []poison.Print{print}, now)
		return
	}
	defer w.mutex.Unlock()
	if held == nil {
		if !w.Tomb.Alive() {
			return
		}
		held = &inquiry{runner: runner, began: now}
		if w.cases == nil {
			w.cases = map[ident.Incarnation]*inquiry{}
		}
		w.cases[runner.ID] = held
		w.Tomb.Go(func() error { w.inquire(held); return nil })
	}
	if !slices.Contains(held.prints, print) {
		held.prints = append(held.prints, print)
	}
}

// inquire asks until it is known whether the runner ended.
func (w *Watch) inquire(held *inquiry) {
	found := unknown
	for _, pause := range pauses {
		if !w.pause(pause) {
			return
		}
		if found = w.ask(held.runner); found != unknown {
			break
		}
	}
	w.mutex.Lock()
	prints := held.prints
	held.ended = found == ended
	if !held.ended {
		delete(w.cases, held.runner.ID)
	}
	w.mutex.Unlock()
	if found == unknown {
		event.RunnerEndUnknown.Log(w.Logger).Str("runner", string(held.runner.ID)).Int("requests", len(prints)).Send()
	}
	if found != ended {
		return
	}
	w.note(held, prints, w.Now())
	if w.pause(remembered) {
		w.mutex.Lock()
		delete(w.cases, held.runner.ID)
		w.mutex.Unlock()
	}
}

// ask makes one question. A runner that the list lacks meanwhile has ended too: it was not leaving when its answers broke off.
func (w *Watch) ask(runner work.Runner) verdict {
	ctx, cancel := context.WithTimeout(w.Tomb.Context(context.Background()), questionTimeout)
	defer cancel()
	_, err := w.Caller.Report(ctx, runner)
	found := judge(err)
	if _, listed := w.Runners.Runner(runner.ID); found == unknown && !listed {
		return ended
	}
	return found
}

// note has the end of a runner written down under its requests.
func (w *Watch) note(held *inquiry, prints []poison.Print, now time.Time) {
	event.RunnerEnded.Log(w.Logger).Str("runner", string(held.runner.ID)).Int("requests", len(prints)).Send()
	w.tellRefused(w.Book.Ended(held.runner.ID, prints, held.began, now))
}

// Learn takes over what another node told. passOn says that this node is to tell others.
func (w *Watch) Learn(records []poison.Record, passOn bool) {
	if w != nil {
		w.tellRefused(w.Book.Learn(records, w.Now(), passOn))
	}
}

// tellRefused writes a line for each request that is refused from now on.
func (w *Watch) tellRefused(prints []poison.Print) {
	for _, print := range prints {
		ends, _ := w.Book.Ends(print)
		event.RequestsRefused.Log(w.Logger).Str("print", string(print)).Int("ends", ends).Send()
	}
}

// pause waits and says whether the process goes on.
func (w *Watch) pause(lasting time.Duration) bool {
	timer := time.NewTimer(lasting)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-w.Tomb.Dying():
		return false
	}
}
