package endwatch_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/connpool"
	"mallowlatch.example/mallowlatch/internal/endwatch"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/poison"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

var (
	errGone     = fmt.Errorf("%w: %w", connpool.ErrNotSent, connpool.ErrNobodyListens)
	errCutOff   = fmt.Errorf("%w: no route", connpool.ErrNotSent)
	errReplaced = fmt.Errorf("%w: r", work.ErrOtherIncarnation)
)

// runners answers questions to runners one after the other, the last answer again and again.
type runners struct {
	answers []error
	asked   atomic.Int32
}

func (r *runners) Report(context.Context, work.Runner) (work.Load, error) {
	asked := int(r.asked.Add(1))
	return work.Load{}, r.answers[min(asked, len(r.answers))-1]
}

func (r *runners) Send(context.Context, work.Attempt) (*work.Reply, error) { panic("not used") }

func (r *runners) Forget(work.Runner) {}

var broken = work.Runner{ID: "r", Service: "s", Zone: "z"}

func newWatch(t *testing.T, answers ...error) (*endwatch.Watch, *runners) {
	table := runnertable.New("z")
	table.Replace([]work.Runner{broken}, time.Now(), true)
	asked := &runners{answers: answers}
	watch := &endwatch.Watch{
		Book: poison.NewBook(1), Runners: table, Caller: asked, Tomb: new(tomb.Tomb), Logger: zerolog.Nop(), Now: time.Now,
	}
	keptAlive := make(chan struct{})
	watch.Tomb.Go(func() error { <-keptAlive; return nil })
	t.Cleanup(func() {
		watch.Tomb.Kill(nil)
		close(keptAlive)
		_ = watch.Tomb.Wait()
	})
	return watch, asked
}

// TestOnlyARunnerThatEndedCounts has answers to two requests break off at a runner. What looks alike at the node is told apart by
// what answers there afterwards.
func TestOnlyARunnerThatEndedCounts(t *testing.T) {
	for name, c := range map[string]struct {
		answers []error
		ends    int
		asked   int32
	}{
		"its process is gone":                   {[]error{errGone}, 1, 1},
		"another incarnation has its address":   {[]error{errReplaced}, 1, 1},
		"only its connections were reset":       {[]error{nil}, 0, 1},
		"it closes its address a moment later":  {[]error{connpool.ErrNoAnswer, errGone}, 1, 2},
		"it is silent for a moment":             {[]error{connpool.ErrNoAnswer, connpool.ErrNoAnswer, nil}, 0, 3},
		"this node or the runner is cut off":    {[]error{errCutOff}, 0, 8},
		"it is cut off, and another came since": {[]error{errCutOff, errCutOff, errCutOff, errCutOff, errReplaced}, 1, 5},
	} {
		t.Run(name, func(t *testing.T) {
			simulated.Test(t, func(t *testing.T) {
				watch, asked := newWatch(t, c.answers...)
				watch.Broken(broken, "one")
				watch.Broken(broken, "other")
				watch.Broken(broken, "one")
				time.Sleep(6 * time.Second)
				synctest.Wait()
				for _, print := range []poison.Print{"one", "other"} {
					ends, _ := watch.Book.Ends(print)
					assert.Equal(t, ends, c.ends)
				}
				assert.Equal(t, asked.asked.Load(), c.asked)
			})
		})
	}
}

// TestRunnerThatLeavesIsNotAskedFor has answers break off at runners that end as they said, or that the list lacks.
func TestRunnerThatLeavesIsNotAskedFor(t *testing.T) {
	leaving := broken
	leaving.State = work.Draining
	for name, listed := range map[string][]work.Runner{"draining": {leaving}, "left": {}} {
		t.Run(name, func(t *testing.T) {
			simulated.Test(t, func(t *testing.T) {
				watch, asked := newWatch(t, errGone)
				watch.Runners.Replace(listed, time.Now(), false)
				watch.Broken(broken, "one")
				time.Sleep(time.Second)
				assert.Equal(t, asked.asked.Load(), int32(0))
				assert.Assert(t, watch.Idle())
			})
		})
	}
}

// TestRunnerThatTheListDropsHasEnded has a machine go dark with its runner: nothing answers, and its entry runs out.
func TestRunnerThatTheListDropsHasEnded(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		watch, _ := newWatch(t, connpool.ErrNoAnswer)
		watch.Broken(broken, "one")
		time.Sleep(2 * time.Second)
		assert.Assert(t, watch.Idle())
		watch.Runners.Replace(nil, time.Now(), true)
		time.Sleep(2 * time.Second)
		ends, _ := watch.Book.Ends("one")
		assert.Equal(t, ends, 1)
	})
}

// TestAnswerThatBreaksOffLaterCounts has a request notice the end of its runner after that was found, as one whose caller is slow.
func TestAnswerThatBreaksOffLaterCounts(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		watch, asked := newWatch(t, errGone)
		watch.Broken(broken, "one")
		time.Sleep(time.Second)
		watch.Broken(broken, "late")
		ends, _ := watch.Book.Ends("late")
		assert.Equal(t, ends, 1)
		assert.Equal(t, asked.asked.Load(), int32(1))
	})
}

// TestEndsOutliveALossOfPower has all nodes start again: what a disk has is known from the start, and a damaged file is written anew.
func TestEndsOutliveALossOfPower(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ends.json")
	for _, before := range []string{"", "{damaged"} {
		if before != "" {
			assert.NilError(t, os.WriteFile(path, []byte(before), 0o600))
		}
		watch, _ := newWatch(t, errGone)
		watch.Keep(path)
		for _, runner := range []ident.Incarnation{"a", "b", "c"} {
			watch.Book.Ended(runner, []poison.Print{"bad"}, time.Now(), time.Now())
		}
		written := func() bool {
			later, _ := newWatch(t, errGone)
			later.Keep(path)
			return later.Refused("bad")
		}
		for deadline := time.Now().Add(10 * time.Second); !written(); time.Sleep(20 * time.Millisecond) {
			assert.Assert(t, time.Now().Before(deadline), "nothing was kept")
		}
	}
}
