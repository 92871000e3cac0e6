package schedule

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/inference"
)

// prefillTokensPerStep is a conservative estimate of the prompt tokens an engine processes in one step.
const prefillTokensPerStep = 2048

// scoreDeadline rates a runner by the slack: the share of the time to the deadline left after the expected duration.
// Inputs: deadline, expected duration. Range: 0 to 1. It abstains without a deadline or a recent step time.
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

// feasible reports whether the runner can return the first token before the deadline, or true if no estimate is available.
// The rest of the answer is ignored because its length is not known in advance.
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

// expectedFirstToken estimates the time to the first token: the number of prefill steps times the reported step time. It
// returns false without a report or with one older than maxReportAge.
func expectedFirstToken(runner *Runner, request *inference.Request, now time.Time) (time.Duration, bool) {
	age, reported := runner.reportAge(now)
	if !reported || age > maxReportAge || runner.Report.StepTime <= 0 {
		return 0, false
	}
	prefillSteps := 1 + request.PromptTokens/prefillTokensPerStep
	return time.Duration(prefillSteps) * runner.Report.StepTime, true
}

// expectedDuration estimates the time to the last token of an answer of MaxTokens tokens.
func expectedDuration(runner *Runner, request *inference.Request, now time.Time) (time.Duration, bool) {
	first, known := expectedFirstToken(runner, request, now)
	if !known {
		return 0, false
	}
	return first + time.Duration(request.MaxTokens)*runner.Report.StepTime, true
}
