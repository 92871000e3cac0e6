package experiment

import (
	"context"
	"fmt"
	"time"

	"mallowlatch.example/mallowlatch/internal/lab/fleet"
	"mallowlatch.example/mallowlatch/internal/lab/load"
)

const (
	restartRate = 40
	// restartPause is the time between the return of one node and the stop of the next.
	restartPause = time.Second
)

// runRollingRestart stops and starts every node in turn under load. A planned stop must cut nothing.
func runRollingRestart(ctx context.Context, environment *environment) (Measurement, error) {
	rolling := &rollingRestart{after: environment.options.Warmup}
	measured, err := environment.runPhase(ctx, phase{
		name:   "rolling_restart",
		nodes:  true,
		load:   load.Options{Rate: environment.rate(restartRate), Retry: true},
		during: rolling.run,
	})
	if err != nil {
		return Measurement{}, err
	}
	online := measured.report.Online
	fields := Fields{
		"nodes_restarted":          float64(rolling.restarted),
		"slowest_stop_s":           rolling.slowest.Seconds(),
		"cut_requests":             float64(online.Cut + online.Interrupted),
		"failed_requests":          float64(online.Failed),
		"refused_share":            refusedShare(measured.report),
		"retried_requests":         float64(online.Retried),
		"completed_requests":       float64(online.Completed),
		"planned_requests":         float64(online.Planned),
		"wrong_or_doubled_answers": float64(online.Wrong + max(0, online.DoubledRuns)),
	}
	fields.latency("rolling", measured.report)
	return Measurement{Fields: fields}, nil
}

type rollingRestart struct {
	after     time.Duration
	restarted int
	slowest   time.Duration
}

func (r *rollingRestart) run(ctx context.Context, started *fleet.Fleet) error {
	pause := r.after
	for _, node := range started.Nodes {
		if !sleep(ctx, pause) {
			return fmt.Errorf("%w: the load ended after %d of %d restarts", ErrSetup, r.restarted, len(started.Nodes))
		}
		pause = restartPause
		began := time.Now()
		if err := node.Stop(); err != nil {
			return fmt.Errorf("stopping %s: %w", node.ID, err)
		}
		r.slowest = max(r.slowest, time.Since(began))
		if err := node.Start(); err != nil {
			return fmt.Errorf("starting %s: %w", node.ID, err)
		}
		if err := node.WaitReady(ctx); err != nil {
			return fmt.Errorf("waiting for %s: %w", node.ID, err)
		}
		r.restarted++
	}
	return nil
}
