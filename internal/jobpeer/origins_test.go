package jobpeer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"
	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobpeer"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/streamorigin"
	"mallowlatch.example/mallowlatch/internal/work"
)

// originFleet is a set of workers that keep the origins of streams, and of fronts that tell and find them, without a network.
type originFleet struct {
	t     *testing.T
	mutex sync.Mutex
	// keepers are the workers by address; one that is nil is down.
	keepers map[string]*streamorigin.Keeper
	// older are the workers of an earlier build.
	older map[string]bool
	// told counts the calls that tell origins, and bytes the size of all calls.
	told, bytes int
	list        []jobrecord.Worker
	tomb        *tomb.Tomb
}

type originConn struct {
	drpc.Conn
	fleet *originFleet
	to    string
}

func (c *originConn) Invoke(ctx context.Context, _ string, _ drpc.Encoding, in, out drpc.Message) error {
	time.Sleep(2 * time.Millisecond)
	c.fleet.mutex.Lock()
	keeper, older := c.fleet.keepers[c.to], c.fleet.older[c.to]
	encoded, _ := json.Marshal(in)
	c.fleet.bytes += len(encoded)
	c.fleet.mutex.Unlock()
	switch {
	case keeper == nil:
		<-ctx.Done()
		return ctx.Err()
	case older:
		return errUnknownCall
	}
	server := &jobpeer.WorkerServer{Origins: keeper}
	switch request := in.(type) {
	case *jobpeer.KeepOriginsRequest:
		c.fleet.mutex.Lock()
		c.fleet.told += len(request.Records)
		c.fleet.mutex.Unlock()
		_, err := server.KeepOrigins(ctx, request)
		return err
	case *jobpeer.FindOriginQuery:
		answer, err := server.FindOrigin(ctx, request)
		*out.(*streamorigin.Answer) = *answer
		return err
	}
	return errUnknownCall
}

// newOriginFleet starts workers in two zones. They are certain of the versions that they see.
func newOriginFleet(t *testing.T, workers int, versions ...work.Version) *originFleet {
	f := &originFleet{t: t, keepers: map[string]*streamorigin.Keeper{}, older: map[string]bool{}, tomb: new(tomb.Tomb)}
	for index := range workers {
		name := fmt.Sprint("w-", index)
		keeper := &streamorigin.Keeper{Runners: runnertable.New("z"), FirstStart: true, Logger: zerolog.Nop(), Now: time.Now, Date: time.Now}
		assert.NilError(t, keeper.Open(""))
		listVersions(keeper.Runners, versions...)
		f.keepers[name] = keeper
		f.list = append(f.list, jobrecord.Worker{Node: ident.Node(name), Zone: ident.Zone(fmt.Sprint("z-", index%2)), Address: name})
	}
	return f
}

func listVersions(table *runnertable.Table, versions ...work.Version) {
	var runners []work.Runner
	for index, version := range versions {
		runners = append(runners, work.Runner{ID: ident.Incarnation(fmt.Sprint("i-", index, version)), Service: "s", Zone: "z", Version: version, Slots: 1})
	}
	table.Replace(runners, time.Now(), true)
}

// front starts a front that sees some versions.
func (f *originFleet) front(versions ...work.Version) *jobpeer.StreamOrigins {
	client := &jobpeer.WorkerClient{
		Zone: "z-0", Now: time.Now,
		Connect: func(to string) (drpc.Conn, error) { return &originConn{fleet: f, to: to}, nil },
	}
	client.UpdateWorkers(append([]jobrecord.Worker(nil), f.list...), time.Now())
	origins := &jobpeer.StreamOrigins{Client: client, Runners: runnertable.New("z"), Now: time.Now}
	listVersions(origins.Runners, versions...)
	origins.Start(f.tomb)
	return origins
}

func (f *originFleet) stop() {
	f.tomb.Kill(nil)
	_ = f.tomb.Wait()
}

// originsToldAtStart is what a front tells of its first stream, before a worker has told it which versions there were.
const originsToldAtStart = 2

// originCopies is the number of workers that are told of a stream.
const originCopies = 2

// find has a front find a stream, and returns its version, or the error.
func find(origins *jobpeer.StreamOrigins, stream ident.Request) (work.Version, error) {
	origin, err := origins.Find(context.Background(), stream, []string{"s"})
	return origin.Version, err
}

func origin(version work.Version) work.Origin { return work.Origin{Service: "s", Version: version} }

// settle gives calls the time to arrive.
func settle() {
	time.Sleep(time.Second)
	synctest.Wait()
}

// TestOriginIsFoundByAnotherFront guards against a stream that goes on at another version, or not at all: while a worker is down, and after
// both that were told are.
func TestOriginIsFoundByAnotherFront(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		f := newOriginFleet(t, 6, "v1", "v2")
		began, other := f.front("v1", "v2"), f.front("v1", "v2")
		for index := range 50 {
			began.Begun(ident.Request(fmt.Sprint(index)), origin("v2"), false)
		}
		settle()
		assert.Equal(t, f.told, 100, "each origin is told to two workers")
		for down := -1; down < 6; down++ {
			f.mutex.Lock()
			kept := f.keepers[fmt.Sprint("w-", down)]
			f.keepers[fmt.Sprint("w-", down)] = nil
			f.mutex.Unlock()
			for index := range 50 {
				version, err := find(other, ident.Request(fmt.Sprint(index)))
				assert.NilError(t, err)
				assert.Equal(t, version, work.Version("v2"))
			}
			f.mutex.Lock()
			f.keepers[fmt.Sprint("w-", down)] = kept
			f.mutex.Unlock()
		}
		f.mutex.Lock()
		for name := range f.keepers {
			f.keepers[name] = nil
		}
		f.mutex.Unlock()
		_, err := find(other, "0")
		assert.ErrorIs(t, err, streamorigin.ErrOutOfReach)
		version, err := find(began, "0")
		assert.NilError(t, err)
		assert.Equal(t, version, work.Version("v2"), "the front that began it knows")
		f.stop()
	})
}

// TestUnknownOriginIsNotGuessed guards against a guess by a front that knows fewer versions than others, and against refusals while only one
// version serves.
func TestUnknownOriginIsNotGuessed(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		single := newOriginFleet(t, 4, "v1")
		version, err := find(single.front("v1"), "never-told")
		assert.NilError(t, err)
		assert.Equal(t, version, work.Version("v1"))
		_, err = find(single.front("v2"), "never-told")
		assert.ErrorIs(t, err, streamorigin.ErrUnknown, "workers that lag behind do not know the version of this front")
		_, err = find(single.front(""), "never-told")
		assert.ErrorIs(t, err, streamorigin.ErrUnknown, "a list from a node of an earlier build has no versions")
		single.stop()

		recurring := newOriginFleet(t, 4, "v1")
		again, _ := ident.NewIncarnation("i-1", time.Now())
		runner := work.Runner{ID: again, Service: "s", Zone: "z", Version: "v1", Slots: 1}
		front := recurring.front("v1")
		front.Runners.Replace([]work.Runner{runner}, time.Now(), true)
		_, err = find(front, "never-told")
		assert.ErrorIs(t, err, streamorigin.ErrUnknown, "a runner may have been started again as another version, and not be listed yet")
		settle()
		before := recurring.told
		front.Begun("told", work.OriginOf(runner, time.Now()), false)
		settle()
		assert.Assert(t, recurring.told > before)
		version, err = find(recurring.front("v1"), "told")
		assert.NilError(t, err)
		assert.Equal(t, version, work.Version("v1"))
		recurring.stop()

		two := newOriginFleet(t, 4, "v1", "v2")
		_, err = find(two.front("v1"), "never-told")
		assert.ErrorIs(t, err, streamorigin.ErrUnknown, "a front that lags behind")
		two.stop()

		older := newOriginFleet(t, 4, "v1")
		front = older.front("v1")
		for name := range older.keepers {
			older.older[name] = true
		}
		_, err = find(front, "never-told")
		assert.ErrorIs(t, err, streamorigin.ErrOutOfReach)
		_, _, err = front.Client.Nearest(context.Background(), 0)
		assert.NilError(t, err, "a worker of an earlier build is still called for all else")
		older.stop()
	})
}

// TestOriginsAreToldOnlyWhileVersionsDiffer guards against calls for each stream of a service with one version, and against streams that nobody
// knows because they began before the second version appeared.
func TestOriginsAreToldOnlyWhileVersionsDiffer(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		f := newOriginFleet(t, 4, "v1")
		front := f.front("v1")
		front.Begun("first", origin("v1"), false)
		settle()
		for index := range 100 {
			front.Begun(ident.Request(fmt.Sprint(index)), origin("v1"), false)
		}
		settle()
		assert.Assert(t, f.told <= originsToldAtStart, "%d origins were told while one version serves", f.told)
		before := f.told
		front.Begun("split", origin("v1"), true)
		settle()
		assert.Equal(t, f.told, before+originCopies, "of a route with two services the service has to be known")
		listVersions(front.Runners, "v1", "v2")
		settle()
		assert.Assert(t, f.told >= 200, "%d origins were told when the second version appeared", f.told)
		listVersions(front.Runners, "v2")
		time.Sleep(2 * time.Minute)
		before = f.told
		for index := range 100 {
			front.Begun(ident.Request(fmt.Sprint("later-", index)), origin("v2"), false)
		}
		settle()
		assert.Assert(t, f.told <= before+originsToldAtStart, "%d origins were told after the first version was gone", f.told-before)
		f.stop()
	})
}

// TestTellingOriginsStaysWithinItsShare guards against a cost at the size to design for: 2,500 streams a second over 330 fronts, before 100 workers.
func TestTellingOriginsStaysWithinItsShare(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		f := newOriginFleet(t, 100, "v1", "v2")
		front := f.front("v1", "v2")
		const streams, fronts, seconds = 2500, 330, 20
		settle()
		f.bytes = 0
		for index := range streams * seconds / fronts {
			front.Begun(ident.Request(fmt.Sprintf("%016x", index)), origin("v2"), false)
			time.Sleep(time.Second * fronts / streams)
		}
		settle()
		perSecond := f.bytes / seconds
		t.Logf("%d bytes a second at a front", perSecond)
		assert.Assert(t, perSecond <= 3000, "%d bytes a second of the 3 kB that a node may spend on control", perSecond)
		f.stop()
	})
}
