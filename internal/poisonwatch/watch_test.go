package poisonwatch_test

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
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
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/poison"
	"mallowlatch.example/mallowlatch/internal/poisonwatch"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

var (
	errGone     = fmt.Errorf("%w: %w", connpool.ErrNotSent, connpool.ErrConnectionRefused)
	errCutOff   = fmt.Errorf("%w: no route", connpool.ErrNotSent)
	errReplaced = fmt.Errorf("%w: r", work.ErrOtherIncarnation)
)

// fakeCaller answers probes with a list of results, one after the other, and repeats the last one.
type fakeCaller struct {
	answers []error
	probes  atomic.Int32
}

func (r *fakeCaller) Report(context.Context, work.Runner) (work.Load, error) {
	probes := int(r.probes.Add(1))
	return work.Load{}, r.answers[min(probes, len(r.answers))-1]
}

func (r *fakeCaller) Send(context.Context, work.Attempt) (*work.Reply, error) { panic("not used") }

func (r *fakeCaller) Forget(work.Runner) {}

var broken = work.Runner{ID: "r", Service: "s", Zone: "z"}

func newWatch(t *testing.T, answers ...error) (*poisonwatch.Watch, *fakeCaller) {
	table := runnertable.New("z")
	table.Replace([]work.Runner{broken}, time.Now(), true)
	probes := &fakeCaller{answers: answers}
	watch := &poisonwatch.Watch{
		Book: poison.NewBook(1), Runners: table, Caller: probes, Tomb: new(tomb.Tomb), Logger: zerolog.Nop(), Now: time.Now,
	}
	stop := make(chan struct{})
	watch.Tomb.Go(func() error { <-stop; return nil })
	t.Cleanup(func() {
		watch.Tomb.Kill(nil)
		close(stop)
		_ = watch.Tomb.Wait()
	})
	return watch, probes
}

// TestOnlyARunnerThatEndedCounts has answers to two requests break off at a runner. The cases look the same to the node
// at first; the answers to its probes distinguish them.
func TestOnlyARunnerThatEndedCounts(t *testing.T) {
	for name, c := range map[string]struct {
		answers []error
		ends    int
		probes  int32
	}{
		"its process is gone":                       {[]error{errGone}, 1, 1},
		"another incarnation has its address":       {[]error{errReplaced}, 1, 1},
		"only its connections were reset":           {[]error{nil}, 0, 1},
		"it closes its address a moment later":      {[]error{connpool.ErrNoResponse, errGone}, 1, 2},
		"it is unresponsive for a moment":           {[]error{connpool.ErrNoResponse, connpool.ErrNoResponse, nil}, 0, 3},
		"this node or the runner is partitioned":    {[]error{errCutOff}, 0, 8},
		"it is partitioned, and another came since": {[]error{errCutOff, errCutOff, errCutOff, errCutOff, errReplaced}, 1, 5},
	} {
		t.Run(name, func(t *testing.T) {
			simulated.Test(t, func(t *testing.T) {
				watch, probes := newWatch(t, c.answers...)
				watch.RecordBroken(broken, "one")
				watch.RecordBroken(broken, "other")
				watch.RecordBroken(broken, "one")
				time.Sleep(6 * time.Second)
				synctest.Wait()
				for _, fingerprint := range []poison.Fingerprint{"one", "other"} {
					ends, _ := watch.Book.Crashes(fingerprint)
					assert.Equal(t, ends, c.ends)
				}
				assert.Equal(t, probes.probes.Load(), c.probes)
			})
		})
	}
}

// TestRunnerThatLeavesIsNotAskedFor has answers break off at runners that are draining or are no longer listed.
func TestRunnerThatLeavesIsNotAskedFor(t *testing.T) {
	leaving := broken
	leaving.State = work.Draining
	for name, listed := range map[string][]work.Runner{"draining": {leaving}, "left": {}} {
		t.Run(name, func(t *testing.T) {
			simulated.Test(t, func(t *testing.T) {
				watch, probes := newWatch(t, errGone)
				watch.Runners.Replace(listed, time.Now(), false)
				watch.RecordBroken(broken, "one")
				time.Sleep(time.Second)
				assert.Equal(t, probes.probes.Load(), int32(0))
				assert.Assert(t, watch.Idle())
			})
		})
	}
}

// TestRunnerThatTheListDropsHasEnded has a machine fail together with its runner: nothing answers, and its registry entry
// expires.
func TestRunnerThatTheListDropsHasEnded(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		watch, _ := newWatch(t, connpool.ErrNoResponse)
		watch.RecordBroken(broken, "one")
		time.Sleep(2 * time.Second)
		assert.Assert(t, watch.Idle())
		watch.Runners.Replace(nil, time.Now(), true)
		time.Sleep(2 * time.Second)
		ends, _ := watch.Book.Crashes("one")
		assert.Equal(t, ends, 1)
	})
}

// TestAnswerThatBreaksOffLaterCounts has a request detect the end of its runner after the end was found, as a request
// with a slow caller does.
func TestAnswerThatBreaksOffLaterCounts(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		watch, probes := newWatch(t, errGone)
		watch.RecordBroken(broken, "one")
		time.Sleep(time.Second)
		watch.RecordBroken(broken, "late")
		ends, _ := watch.Book.Crashes("late")
		assert.Equal(t, ends, 1)
		assert.Equal(t, probes.probes.Load(), int32(1))
	})
}

// TestEndsOutliveALossOfPower restarts all nodes: the records on disk are known from the start, and a damaged file is
// rewritten.
func TestEndsOutliveALossOfPower(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ends.json")
	for _, before := range []string{"", "{damaged"} {
		if before != "" {
			assert.NilError(t, os.WriteFile(path, []byte(before), 0o600))
		}
		watch, _ := newWatch(t, errGone)
		watch.Persist(path)
		for _, runner := range []ident.Incarnation{"a", "b", "c"} {
			watch.Book.RecordCrash(runner, []poison.Fingerprint{"bad"}, time.Now(), time.Now())
		}
		// A process writes what it read too, which belongs on its own disk: each reads a copy of the file.
		written := func() bool {
			content, err := os.ReadFile(path)
			assert.Assert(t, err == nil || errors.Is(err, fs.ErrNotExist), "%v", err)
			copied := filepath.Join(t.TempDir(), "ends.json")
			assert.NilError(t, os.WriteFile(copied, content, 0o600))
			later, _ := newWatch(t, errGone)
			later.Persist(copied)
			return later.Refused("bad")
		}
		for deadline := time.Now().Add(10 * time.Second); !written(); time.Sleep(20 * time.Millisecond) {
			assert.Assert(t, time.Now().Before(deadline), "no record was stored")
		}
	}
}
