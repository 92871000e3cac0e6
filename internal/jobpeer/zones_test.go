package jobpeer_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobpeer"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/jobworker"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/simulated"
)

// lines is a log that is read while it is written.
type lines struct {
	mutex sync.Mutex
	kept  bytes.Buffer
}

func (l *lines) Write(line []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.kept.Write(line)
}

func (l *lines) count(name string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return strings.Count(l.kept.String(), name)
}

const (
	// cutKnownWithin is the time within which an idle node has to detect that a zone is partitioned: load peaks last two
	// seconds, and half of one must be served without calls to unresponsive workers. backKnownWithin is the time within which
	// it has to detect that the zone is back: any further delay leaves free slots unused.
	cutKnownWithin, backKnownWithin = 1250 * time.Millisecond, 500 * time.Millisecond
)

// TestNodeDetectsPartitionedZones has a node without requests lose one zone of three, whose workers stop answering its calls. A
// single dead worker must not count as a partitioned zone.
func TestNodeDetectsPartitionedZones(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		f := &endsFleet{workers: map[string]*jobworker.Worker{}, partitioned: map[string]bool{}, bytes: map[string]int{}, tomb: new(tomb.Tomb)}
		finished := make(chan struct{})
		f.tomb.Go(func() error { <-finished; return nil })
		var isolated []string
		for index := range 24 {
			name, zone := fmt.Sprint("worker-", index), ident.Zone(fmt.Sprint("z", index%3))
			f.list = append(f.list, jobrecord.Worker{Node: ident.Node(name), Zone: zone, Address: name})
			f.startWorker(name, zone)
			if zone == "z2" {
				isolated = append(isolated, name)
			}
		}
		table, logged := runnertable.New("z0"), &lines{}
		client := &jobpeer.WorkerClient{Zone: "z0", Connect: f.connect("front"), Now: time.Now}
		client.UpdateWorkers(append([]jobrecord.Worker(nil), f.list...), time.Now())
		online := &jobpeer.OnlineWork{Client: client, Runners: table, Logger: zerolog.New(logged), Now: time.Now}
		teller := demand.NewReporter("front", online, time.Now)
		teller.Send = online.Report
		teller.Start(f.tomb)
		time.Sleep(5 * time.Second)
		f.setPartitioned(true, isolated[0])
		time.Sleep(5 * time.Second)
		assert.Equal(t, logged.count("zone_out_of_reach"), 0, "one dead worker was taken for a partitioned zone")
		f.setPartitioned(true, isolated...)
		time.Sleep(cutKnownWithin)
		assert.Equal(t, logged.count("zone_out_of_reach"), 1)
		assert.Assert(t, !table.ZoneSuspectedSince("z2").IsZero() && table.ZoneSuspectedSince("z1").IsZero())
		time.Sleep(5 * time.Second)
		f.setPartitioned(false, isolated...)
		time.Sleep(backKnownWithin)
		assert.Equal(t, logged.count("zone_back"), 1)
		assert.Assert(t, table.ZoneSuspectedSince("z2").IsZero())
		close(finished)
		f.tomb.Kill(nil)
		assert.NilError(t, f.tomb.Wait())
	})
}
