package jobworker

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/routetable"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

// BenchmarkClaimDueJobs checks 40 unclaimed jobs of a route with 72 runners, as every dispatch round does.
func BenchmarkClaimDueJobs(b *testing.B) {
	routes := &routetable.Table{}
	routes.Adopt(&work.Catalog{Version: 1, Routes: []work.Route{{Name: "r", Host: "h", PathPrefix: "/p/", Kind: work.Batch, Split: []work.WeightedService{{Service: "s", Weight: 1}}}}})
	table := runnertable.New("z")
	var runners []work.Runner
	for i := range 72 {
		runners = append(runners, work.Runner{ID: ident.Incarnation(fmt.Sprint("i", i)), Service: "s", Version: "v1", Zone: "z", Slots: 8})
	}
	table.Replace(runners, time.Now(), true)
	w := &Worker{Node: "w", Zone: "z", Routes: routes, Runners: table, Options: DefaultOptions, Logger: zerolog.Nop(), Now: time.Now, lease: 1, open: map[ident.Job]*openJob{}}
	w.setWorkers(map[ident.Node]jobrecord.Worker{"w": {Node: "w", Zone: "z"}})
	for i := range 40 {
		id := ident.Job(fmt.Sprint("j", i))
		w.open[id] = &openJob{entry: jobrecord.Open{ID: id, Route: "r", Zone: "z"}, unclaimed: time.Now().Add(time.Hour)}
	}
	b.ReportAllocs()
	for b.Loop() {
		w.claimDueJobs(time.Now())
	}
}
