package jobworker

import (
	"fmt"
	"testing"
	"time"

	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/routetable"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

// BenchmarkDemand processes reports of online work as a worker of a large site does: 250 nodes, 153 runners, 45 workers.
func BenchmarkDemand(b *testing.B) {
	now := time.Now()
	runners := runnertable.New("a")
	var listed []work.Runner
	for index := range 153 {
		listed = append(listed, work.Runner{ID: ident.Incarnation(fmt.Sprint("r-", index)), Service: "s", Version: "v1", Zone: "a", Slots: 5})
	}
	runners.Replace(listed, now, true)
	workers := map[ident.Node]jobrecord.Worker{}
	for index := range 45 {
		node := ident.Node(fmt.Sprint("w-", index))
		workers[node] = jobrecord.Worker{Node: node, Zone: "a"}
	}
	w := &Worker{
		Node: "w-1", Zone: "a", Runners: runners, Routes: &routetable.Table{}, Now: time.Now, tomb: new(tomb.Tomb),
		workers: workers, gauges: map[ident.Incarnation]*runnerGauge{}, jobs: map[ident.Job]*jobRun{},
	}
	w.tomb.Go(func() error { <-w.tomb.Dying(); return nil })
	defer func() {
		w.tomb.Kill(nil)
		_ = w.tomb.Wait()
	}()
	var reports []*demand.Report
	for index := range 250 {
		reports = append(reports, &demand.Report{Node: ident.Node(fmt.Sprint("f-", index)), Incarnation: 1, Counts: []demand.Count{
			{Runner: listed[index%153].ID, Online: 1}, {Runner: listed[(index*7)%153].ID, Online: 2},
		}})
	}
	b.ResetTimer()
	for index := range b.N {
		report := reports[index%len(reports)]
		report.Sequence = int64(index + 1)
		w.Demand(report)
	}
}
