package experiment

import (
	"context"
	"fmt"
	"time"

	"mallowlatch.example/mallowlatch/internal/lab/fleet"
	"mallowlatch.example/mallowlatch/internal/lab/load"
)

const (
	jobsRate = 10
	// jobsShare is the share of the engines' batch capacity that the heaps ask for: they all end within the run.
	jobsShare = 0.25
	// jobsDrain bounds the wait for the last job.
	jobsDrain = 90 * time.Second
	// downTime is how long a killed process stays away.
	downTime = 2 * time.Second
)

// runJobs follows every batch item to its result, in calm and while an engine and a node are killed and come back. The
// load generator's own ledger judges: each accepted item must end once, with its own answer.
func runJobs(ctx context.Context, environment *environment) (Measurement, error) {
	engines, err := environment.engineCount()
	if err != nil {
		return Measurement{}, err
	}
	options := load.Options{
		Rate:       environment.rate(jobsRate),
		BatchEvery: heapPeriod,
		BatchItems: max(1, int(jobsShare*environment.batchCapacity(engines)*heapPeriod.Seconds())),
		Drain:      jobsDrain,
		Retry:      true,
	}
	fields := Fields{}
	for _, part := range []phase{
		{name: "calm", nodes: true, load: options},
		{name: "crashes", nodes: true, load: options, during: environment.crash},
	} {
		measured, err := environment.runPhase(ctx, part)
		if err != nil {
			return Measurement{}, err
		}
		fields.latency(part.name, measured.report)
		fields.jobs(part.name, measured.report)
	}
	return Measurement{Fields: fields}, nil
}

func (f Fields) jobs(name string, report *load.Report) {
	batch := report.Batch
	f[name+"_batch_items_per_s"] = report.BatchItemsPerSec
	f[name+"_accepted_items"] = float64(batch.Accepted)
	f[name+"_completed_items"] = float64(batch.Completed)
	f[name+"_failed_items"] = float64(batch.Failed)
	f[name+"_lost_items"] = float64(batch.Lost)
	f[name+"_unfinished_items"] = float64(batch.Unfinished)
	f[name+"_doubled_items"] = float64(batch.Doubled)
	f[name+"_wrong_items"] = float64(batch.Wrong + batch.Foreign)
	f[name+"_refused_submissions"] = float64(batch.Refused["submission"])
}

// crash kills an engine and later a node, and starts each again after a while.
func (e *environment) crash(ctx context.Context, started *fleet.Fleet) error {
	victims := []*fleet.Process{started.Engines[0].Process, started.Nodes[len(started.Nodes)-1].Process}
	for _, victim := range victims {
		if !sleep(ctx, e.options.Duration/3) {
			return fmt.Errorf("%w: the load ended before %s was killed", ErrSetup, victim.Name)
		}
		if err := victim.Kill(); err != nil {
			return fmt.Errorf("killing %s: %w", victim.Name, err)
		}
		sleep(ctx, downTime)
		if err := victim.Start(); err != nil {
			return fmt.Errorf("starting %s: %w", victim.Name, err)
		}
	}
	return nil
}
