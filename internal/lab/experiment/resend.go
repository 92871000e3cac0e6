package experiment

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/lab/load"
)

const (
	resendHeapEvery = 6 * time.Second
	resendHeapItems = 40
	// Of each third heap the items must run at most once.
	resendOnceEvery = 3
	// resendStorms is the number of storms of each submission; resendWithin bounds the pause between two.
	resendStorms = 4
	resendWithin = 10 * time.Second
	resendDrain  = 45 * time.Second
)

// runResend sends each submission to every node at once, again and again, under a seeded schedule of faults, with and
// without a key, with clients that give up, and with another body under a key in use.
func runResend(ctx context.Context, environment *environment) (Measurement, error) {
	measured, struck, err := environment.underFaults(ctx, resendKinds, phase{
		name: "resend",
		load: load.Options{
			Rate:         environment.rate(faultRate),
			Retry:        true,
			BatchEvery:   resendHeapEvery,
			BatchItems:   resendHeapItems,
			OnceEvery:    resendOnceEvery,
			Storms:       resendStorms,
			StormsWithin: resendWithin,
			Drain:        resendDrain,
		},
	})
	if err != nil {
		return Measurement{}, err
	}
	fields := faultFields(measured.report)
	for name, value := range struck {
		fields[name] = value
	}
	resend := measured.report.Resend
	fields["resend_storms"] = float64(resend.Storms)
	fields["resend_sent"] = float64(resend.Sent)
	fields["resend_answered"] = float64(resend.Answered)
	fields["resend_given_up"] = float64(resend.GivenUp)
	fields["resend_unavailable"] = float64(resend.Unavailable)
	fields["resend_doubled_jobs"] = float64(resend.Doubled)
	fields["resend_foreign_jobs"] = float64(resend.Foreign)
	fields["resend_wrong_refusals"] = float64(resend.WrongRefusals)
	fields["resend_others_refused"] = float64(resend.OthersRefused)
	fields["resend_others_accepted"] = float64(resend.OthersAccepted)
	fields["resend_untold_jobs"] = float64(resend.UntoldJobs)
	return Measurement{Fields: fields}, nil
}
