// Package outcome says whether a request reached the point where an engine may have run it.
package outcome

// Outcome is the three-valued answer to "did this request run?". The zero value is Unknown, so that a path
// which forgets to decide can never claim that a request was not run.
type Outcome uint8

const (
	// Unknown means an engine may or may not have run the request.
	Unknown Outcome = iota
	// NotRun means no engine has run, or will ever run, the request. Only NotRun permits a free retry.
	NotRun
	// Ran means an engine has started the request.
	Ran
)

// String returns "true", "false" or "unknown": the value of the not_run field callers see.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "true"
	case Ran:
		return "false"
	default:
		return "unknown"
	}
}

// Join combines the outcomes of several attempts at one request: NotRun only when every attempt was NotRun,
// Ran when any attempt ran, Unknown otherwise.
func Join(first, second Outcome) Outcome {
	if first == Ran || second == Ran {
		return Ran
	}
	if first == NotRun && second == NotRun {
		return NotRun
	}
	return Unknown
}
