package jobpeer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobentry"
	"mallowlatch.example/mallowlatch/internal/jobpeer"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/jobworker"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

// recordedFleet are nodes that have just been started, before a store that has jobs: no worker has one in memory.
type recordedFleet struct {
	data    *kvtest.Data
	stores  []*kvtest.Paged
	workers map[string]*jobworker.Worker
	desks   []*jobentry.Desk
	// silent answer nothing; old builds do not know that a worker may read the records for others.
	silent map[string]bool
	old    bool
}

// recordedConn is a connection to a worker.
type recordedConn struct {
	drpc.Conn
	fleet *recordedFleet
	to    string
}

func (c *recordedConn) Invoke(ctx context.Context, _ string, _ drpc.Encoding, in, out drpc.Message) error {
	time.Sleep(time.Millisecond)
	if c.fleet.silent[c.to] {
		<-ctx.Done()
		return ctx.Err()
	}
	query, isResults := in.(*jobpeer.Query)
	if !isResults {
		return errUnknownCall
	}
	asked := *query
	if c.fleet.old {
		asked.Recorded = false
	}
	server := &jobpeer.WorkerServer{Worker: c.fleet.workers[c.to]}
	reply, err := server.Results(ctx, &asked)
	if err != nil {
		return err
	}
	told, err := json.Marshal(reply)
	if err != nil {
		return err
	}
	return json.Unmarshal(told, out)
}

func (f *recordedFleet) records() *jobrecord.Records {
	store := kvtest.NewPaged(f.data)
	f.stores = append(f.stores, store)
	return &jobrecord.Records{Store: store, ValueBytes: 1 << 20, Retention: time.Minute, Now: time.Now}
}

// calls returns how many calls of the store all nodes made.
func (f *recordedFleet) calls() int {
	calls := 0
	for _, store := range f.stores {
		calls += store.Calls()
	}
	return calls
}

func (f *recordedFleet) setDown(down bool) {
	for _, store := range f.stores {
		store.SetFaults(kvtest.PagedFaults{Down: down})
	}
}

func newRecordedFleet(fronts, workers int) *recordedFleet {
	f := &recordedFleet{data: kvtest.NewData(time.Now), workers: map[string]*jobworker.Worker{}, silent: map[string]bool{}}
	var list []jobrecord.Worker
	for index := range workers {
		name := fmt.Sprintf("worker-%02d", index)
		list = append(list, jobrecord.Worker{Node: ident.Node(name), Zone: "z", Address: name})
		f.workers[name] = &jobworker.Worker{Node: ident.Node(name), Records: f.records(), Logger: zerolog.Nop(), Now: time.Now}
	}
	for range fronts {
		records := f.records()
		holders := &jobpeer.Holders{
			Records: records, Zone: "z", Now: time.Now, Connect: func(to string) (drpc.Conn, error) { return &recordedConn{fleet: f, to: to}, nil },
		}
		holders.Learn(append([]jobrecord.Worker(nil), list...), time.Now())
		f.desks = append(f.desks, &jobentry.Desk{Records: records, Holders: holders, Logger: zerolog.Nop(), Now: time.Now})
	}
	return f
}

const recordedItems = 3

// write puts a job of a tenant into the store, with the results of some of its items.
func (f *recordedFleet) write(t *testing.T, id string, finished int) {
	t.Helper()
	ctx := context.Background()
	records := &jobrecord.Records{Store: kvtest.NewPaged(f.data), ValueBytes: 1 << 20, Retention: time.Minute, Now: time.Now}
	submission := &jobrecord.Submission{ID: ident.Job(id), Route: "r", Host: "h", Zone: "z", Tenant: "clinic"}
	for index := range recordedItems {
		submission.Items = append(submission.Items, work.Item{ID: ident.Request(fmt.Sprint(id, "-", index)), Path: "/p", Body: []byte("b"), Tokens: 1})
	}
	lease, err := records.Store.Grant(ctx, time.Hour)
	assert.NilError(t, err)
	assigned, err := records.AcceptFor(ctx, submission, nil, jobrecord.Assignee{Node: "gone", Lease: lease})
	assert.NilError(t, err)
	f.append(t, assigned.Claim, id, 0, finished)
}

func (f *recordedFleet) append(t *testing.T, claim jobrecord.Claim, id string, from, to int) {
	t.Helper()
	if from == to {
		return
	}
	ctx := context.Background()
	records := &jobrecord.Records{Store: kvtest.NewPaged(f.data), ValueBytes: 1 << 20, Retention: time.Minute, Now: time.Now}
	header, err := records.Header(ctx, ident.Job(id))
	assert.NilError(t, err)
	var results []work.Result
	for index := from; index < to; index++ {
		results = append(results, work.Result{ID: header.Items[index].ID, State: work.Completed, Text: fmt.Sprint("text ", index)})
	}
	assert.NilError(t, records.Append(ctx, claim, header, from, results, 0, to == len(header.Items)))
}

// mustRead reads a job at a front and checks what comes.
func (f *recordedFleet) mustRead(t *testing.T, front int, id string, from, listed int) {
	t.Helper()
	listing, err := f.desks[front].Results(context.Background(), "clinic", ident.Job(id), from, 0)
	assert.NilError(t, err)
	assert.Equal(t, listing.Total, recordedItems)
	assert.Equal(t, len(listing.Results), max(listed-from, 0))
	for index, result := range listing.Results {
		assert.Equal(t, result.Text, fmt.Sprint("text ", from+index))
	}
}

// readAll has each job read at some fronts, from each position.
func (f *recordedFleet) readAll(t *testing.T, jobs, frontsEach int) int {
	before := f.calls()
	for job := range jobs {
		for turn := range frontsEach {
			for from := range recordedItems {
				f.mustRead(t, (job+7*turn)%len(f.desks), fmt.Sprint("job-", job), from, recordedItems)
				time.Sleep(10 * time.Millisecond)
			}
		}
	}
	return f.calls() - before
}

// TestFinishedJobIsReadFromTheStoreOnce
//
// The load is what readers ask for after all nodes lost their power: 40 finished jobs, each read at four of 58 fronts, from each of three
// positions. The aim is that what one node has read of a job that cannot change costs nobody another call: its header and its results,
// once, whoever reads.
func TestFinishedJobIsReadFromTheStoreOnce(t *testing.T) {
	const jobs, frontsEach, callsEach = 40, 4, 2
	for _, old := range []bool{true, false} {
		simulated.Test(t, func(t *testing.T) {
			f := newRecordedFleet(58, 11)
			f.old = old
			for job := range jobs {
				f.write(t, fmt.Sprint("job-", job), recordedItems)
			}
			calls := f.readAll(t, jobs, frontsEach)
			t.Logf("workers of an older build: %v: %d calls for %d readings of %d jobs", old, calls, jobs*frontsEach*recordedItems, jobs)
			assert.Assert(t, old || calls <= jobs*callsEach, "%d calls", calls)
		})
	}
}

// TestReadingOfAJobThatIsNotFinishedIsNew reads at one front what another one had read a moment before, and what was recorded since.
func TestReadingOfAJobThatIsNotFinishedIsNew(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		f := newRecordedFleet(4, 3)
		f.write(t, "job", 0)
		open, _, err := f.desks[0].Records.ListOpen(context.Background())
		assert.NilError(t, err)
		lease, err := f.stores[0].Grant(context.Background(), time.Hour)
		assert.NilError(t, err)
		for listed := range recordedItems + 1 {
			if listed > 0 {
				live, err := f.desks[0].Records.ReadLive(context.Background())
				assert.NilError(t, err)
				assert.Equal(t, live.Claimed["job"], ident.Node("gone"))
				claim, err := f.desks[0].Records.Claim(context.Background(), open[0], "gone", lease)
				assert.NilError(t, err)
				f.append(t, claim, "job", listed-1, listed)
			}
			for front := range f.desks {
				f.mustRead(t, front, "job", 0, listed)
				f.mustRead(t, front, "job", recordedItems-1, listed)
			}
		}
	})
}

// TestJobOfAnotherTenantIsNotToldFromTheRecords asks as another tenant, before and after the holder of the job did.
func TestJobOfAnotherTenantIsNotToldFromTheRecords(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		f := newRecordedFleet(2, 3)
		f.write(t, "job", recordedItems)
		for range 2 {
			_, err := f.desks[0].Results(context.Background(), "school", "job", 0, 0)
			assert.Equal(t, failure.As(err).Code, failure.CodeNotFound)
			f.mustRead(t, 0, "job", 0, recordedItems)
		}
	})
}

// TestFinishedJobIsReadThoughItsReaderIsGone has the worker that read a job fall silent, and then the store too.
func TestFinishedJobIsReadThoughItsReaderIsGone(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		f := newRecordedFleet(3, 3)
		f.write(t, "job", recordedItems)
		f.mustRead(t, 0, "job", 0, recordedItems)
		f.setDown(true)
		f.mustRead(t, 1, "job", 0, recordedItems)
		f.setDown(false)
		for name := range f.workers {
			f.silent[name] = true
		}
		f.mustRead(t, 2, "job", 0, recordedItems)
		f.mustRead(t, 0, "job", 1, recordedItems)
	})
}
