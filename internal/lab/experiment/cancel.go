package experiment

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/lab/load"
)

const (
	// The heaps of cancel are large for engines of so few sequences, so that most cancels meet a job that would go on for
	// longer than the bound.
	cancelSequences = "16"
	cancelHeapEvery = 5 * time.Second
	cancelHeapItems = 300
	cancelShare     = 0.95
	cancelWithin    = 2 * time.Second
	cancelRate      = 2
	// cancelMargin is what a start may lag behind the lease: the call's way to the engine and the abort's, on a busy
	// machine.
	cancelMargin = 500 * time.Millisecond
	cancelDrain  = 45 * time.Second
)

// runCancel cancels jobs at random under a seeded schedule of faults. The engines' own ledgers say when items of cancelled
// jobs started: none later than a lease and the margin after the cancel was answered.
func runCancel(ctx context.Context, environment *environment) (Measurement, error) {
	measured, struck, err := environment.underFaults(ctx, cancelKinds, phase{
		name:            "cancel",
		engineArguments: []string{"--max-sequences", cancelSequences},
		load: load.Options{
			Rate:         environment.rate(cancelRate),
			Retry:        true,
			BatchEvery:   cancelHeapEvery,
			BatchItems:   cancelHeapItems,
			CancelShare:  cancelShare,
			CancelWithin: cancelWithin,
			CancelBound:  faultLease + cancelMargin,
			Drain:        cancelDrain,
		},
	})
	if err != nil {
		return Measurement{}, err
	}
	fields := faultFields(measured.report)
	for name, value := range struck {
		fields[name] = value
	}
	cancel := measured.report.Cancel
	fields["cancel_asked"] = float64(cancel.Asked)
	fields["cancel_accepted"] = float64(cancel.Accepted)
	fields["cancel_ended"] = float64(cancel.Ended)
	fields["cancel_misended"] = float64(cancel.Misended)
	fields["cancel_completed_items"] = float64(cancel.CompletedItems)
	fields["cancel_cancelled_items"] = float64(cancel.CancelledItems)
	fields["cancel_starts_after"] = float64(cancel.StartsAfter)
	fields["cancel_late_starts"] = float64(cancel.LateStarts)
	fields["cancel_latest_start_s"] = cancel.LatestStart
	return Measurement{Fields: fields}, nil
}
