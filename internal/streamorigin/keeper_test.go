package streamorigin

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

// openKeeper starts a worker's keeper before runners of some versions. A keeper that is not stopped stands for a process that was killed.
func openKeeper(t *testing.T, folder string, first bool, versions ...work.Version) (*Keeper, *tomb.Tomb) {
	t.Helper()
	k := &Keeper{Runners: runnertable.New("z"), FirstStart: first, Logger: zerolog.Nop(), Now: time.Now, Date: time.Now}
	assert.NilError(t, k.Open(folder))
	list(k, versions...)
	supervisor := new(tomb.Tomb)
	k.Start(supervisor)
	t.Cleanup(func() { supervisor.Kill(nil) })
	return k, supervisor
}

func list(k *Keeper, versions ...work.Version) {
	var runners []work.Runner
	for index, version := range versions {
		runners = append(runners, work.Runner{ID: ident.Incarnation(fmt.Sprint("i-", index, version)), Service: "s", Zone: "z", Version: version, Slots: 1})
	}
	k.Runners.Replace(runners, time.Now(), true)
}

func stop(supervisor *tomb.Tomb) {
	supervisor.Kill(nil)
	_ = supervisor.Wait()
}

// TestOriginsOutliveAKill guards against streams that nobody knows after a kill of all processes, and against records read from a damaged file.
func TestOriginsOutliveAKill(t *testing.T) {
	folder := t.TempDir()
	first, supervisor := openKeeper(t, folder, false, "v1", "v2")
	for index := range 100 {
		first.Keep([]Record{{Stream: ident.Request(fmt.Sprint(index)), Origin: work.Origin{Service: "s", Version: "v2"}}})
	}
	stop(supervisor)
	content, err := os.ReadFile(filepath.Join(folder, originsName))
	assert.NilError(t, err)
	for _, length := range []int{len(content), len(content) - 10, len(content) / 2, 0} {
		assert.NilError(t, os.WriteFile(filepath.Join(folder, originsName), content[:length], 0o600))
		again, supervisor := openKeeper(t, folder, false, "v1", "v2")
		found := 0
		for index := range 100 {
			if answer := again.Find(ident.Request(fmt.Sprint(index)), nil); answer.Recorded {
				assert.Equal(t, answer.Origin.Version, work.Version("v2"))
				found++
			}
		}
		assert.Assert(t, found >= length*99/len(content)-1 && found <= 100, "%d of 100 found in %d of %d bytes", found, length, len(content))
		stop(supervisor)
	}
}

// TestWorkerIsCertainOnlyIfItMissesNoVersion guards against a worker that takes the versions that it sees for all that there were: after a
// start with an empty disk it is not certain before a minute, and after a restart it still names a version whose last runner left meanwhile.
func TestWorkerIsCertainOnlyIfItMissesNoVersion(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		folder := t.TempDir()
		find := func(k *Keeper) Answer { return k.Find("", []string{"s"}) }
		blank, _ := openKeeper(t, "", false, "v1")
		assert.Assert(t, !find(blank).Certain)
		time.Sleep(retention + time.Second)
		assert.Assert(t, find(blank).Certain)

		first, supervisor := openKeeper(t, folder, true)
		assert.Assert(t, !find(first).Certain, "a worker that has no list of runners is certain")
		list(first, "v1", "v2")
		assert.Assert(t, find(first).Certain)
		time.Sleep(2 * versionsInterval)
		synctest.Wait()
		stop(supervisor)

		again, supervisor := openKeeper(t, folder, false, "v2")
		answer := find(again)
		assert.Assert(t, answer.Certain)
		assert.DeepEqual(t, answer.Versions["s"], []work.Version{"v1", "v2"})
		time.Sleep(2*retention + 2*versionsInterval)
		synctest.Wait()
		assert.DeepEqual(t, find(again).Versions["s"], []work.Version{"v2"})
		stop(supervisor)

		third, supervisor := openKeeper(t, folder, false, "v2")
		assert.DeepEqual(t, find(third).Versions["s"], []work.Version{"v2"})
		stop(supervisor)
	})
}
