package schedule

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/inference"
)

// prefillTokensPerStep is a cautious estimate of the prompt tokens an engine takes in during one step.
const prefillTokensPerStep = 2048

// scoreDeadline rates a runner by the share of the time to the deadline that the answer leaves over.
// Inputs: deadline, expected duration. Range: slack share, 0 to 1. It abstains without a deadline or a step time.
func scoreDeadline(_ *Snapshot, runner *Runner, request *inference.Request, now time.Time) (float64, bool) {
	if request.Deadline.IsZero() {
		return 0, false
	}
	expected, known := expectedDuration(runner, request, now)
	left := request.Deadline.Sub(now)
	if !known || left <= 0 {
		return 0, false
	}
	return clamp(1 - expected.Seconds()/left.Seconds()), true
}

// feasible reports whether the runner may answer in time, as far as is known. Only the first token is required: how
// long the answer gets is not known beforehand.
func feasible(runner *Runner, request *inference.Request, now time.Time) bool {
	if request.Deadline.IsZero() {
		return true
	}
	left := request.Deadline.Sub(now)
	if left <= 0 {
		return false
	}
	first, known := expectedFirstToken(runner, request, now)
	return !known || first <= left
}

// expectedFirstToken estimates the time to the first token from the wait for a free sequence and the prefill.
func expectedFirstToken(runner *Runner, request *inference.Request, now time.Time) (time.Duration, bool) {
	age, reported := runner.reportAge(now)
	if !reported || age > maxReportAge || runner.Report.StepTime <= 0 {
		return 0, false
	}
	prefillSteps := 1 + request.PromptTokens/prefillTokensPerStep
	return time.Duration(prefillSteps) * runner.Report.StepTime, true
}

func expectedDuration(runner *Runner, request *inference.Request, now time.Time) (time.Duration, bool) {
	first, known := expectedFirstToken(runner, request, now)
	if !known {
		return 0, false
	}
	return first + time.Duration(request.MaxTokens)*runner.Report.StepTime, true
}
