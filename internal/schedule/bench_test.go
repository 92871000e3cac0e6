package schedule

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// BenchmarkDecide880 measures a decision over 880 runners (the design size) that all have the model loaded, the worst case.
func BenchmarkDecide880(b *testing.B) {
	snapshot := &Snapshot{Zone: "z0", Distance: map[ident.Zone]float64{}}
	for zone := range 11 {
		snapshot.Distance[ident.Zone(fmt.Sprint("z", zone))] = float64(zone)
	}
	for index := range 880 {
		snapshot.Runners = append(snapshot.Runners, Runner{
			ID: ident.Runner(fmt.Sprint("r", index)), Zone: ident.Zone(fmt.Sprint("z", index%11)), SlowStart: 1,
			Report: &engine.LoadReport{Measured: simulationStart, MaxSequences: 64, RunningOnline: index % 40, MemoryTokens: 100000, Models: []engine.LoadedModel{{Name: "m"}}},
		})
	}
	request := &inference.Request{Model: "m", PrefixBlocks: make([]uint64, 32), PromptTokens: 500, MaxTokens: 200}
	random := rand.New(rand.NewPCG(1, 1))
	b.ReportAllocs()
	before := processorTime()
	for b.Loop() {
		Decide(snapshot, request, simulationStart, random, Options{})
	}
	b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
}

// processorTime returns the CPU time (user and system) of the process. Unlike wall-clock time it is independent of other
// load on the machine.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
