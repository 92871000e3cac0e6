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
	// cutKnownWithin is when an idle node has to know that a zone is cut off: peaks last two seconds, and half of one is to be
	// served without asking where nobody answers. backKnownWithin is when it has to know that the zone is back: each moment more
	// leaves free places unused.
	cutKnownWithin, backKnownWithin = 1250 * time.Millisecond, 500 * time.Millisecond
)

// TestNodeKnowsWhichZonesAnswer has a node without any request lose a zone of three, whose workers leave its calls without an answer. A single
// worker that dies is no cut zone.
func TestNodeKnowsWhichZonesAnswer(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		f := &endsFleet{workers: map[string]*jobworker.Worker{}, cut: map[string]bool{}, bytes: map[string]int{}, tomb: new(tomb.Tomb)}
		over := make(chan struct{})
		f.tomb.Go(func() error { <-over; return nil })
		var away []string
		for index := range 24 {
			name, zone := fmt.Sprint("worker-", index), ident.Zone(fmt.Sprint("z", index%3))
			f.list = append(f.list, jobrecord.Worker{Node: ident.Node(name), Zone: zone, Address: name})
			f.startWorker(name, zone)
			if zone == "z2" {
				away = append(away, name)
			}
		}
		table, told := runnertable.New("z0"), &lines{}
		holders := &jobpeer.Holders{Zone: "z0", Connect: f.connect("front"), Now: time.Now}
		holders.Learn(append([]jobrecord.Worker(nil), f.list...), time.Now())
		online := &jobpeer.OnlineWork{Holders: holders, Runners: table, Logger: zerolog.New(told), Now: time.Now}
		teller := demand.NewTeller("front", online, time.Now)
		teller.Tell = online.Tell
		teller.Start(f.tomb)
		time.Sleep(5 * time.Second)
		f.setCut(true, away[0])
		time.Sleep(5 * time.Second)
		assert.Equal(t, told.count("zone_out_of_reach"), 0, "one worker that died was taken for a zone that is cut off")
		f.setCut(true, away...)
		time.Sleep(cutKnownWithin)
		assert.Equal(t, told.count("zone_out_of_reach"), 1)
		assert.Assert(t, !table.ZoneDoubted("z2").IsZero() && table.ZoneDoubted("z1").IsZero())
		time.Sleep(5 * time.Second)
		f.setCut(false, away...)
		time.Sleep(backKnownWithin)
		assert.Equal(t, told.count("zone_back"), 1)
		assert.Assert(t, table.ZoneDoubted("z2").IsZero())
		close(over)
		f.tomb.Kill(nil)
		assert.NilError(t, f.tomb.Wait())
	})
}
