package load

import "time"

// verdict is how a request ended.
type verdict uint8

const (
	// verdictCompleted means the whole right answer came.
	verdictCompleted verdict = iota
	// verdictRefused means an error answer with a code, before any token.
	verdictRefused
	// verdictInterrupted means a typed error within the stream.
	verdictInterrupted
	// verdictCut means the stream ended without its end mark and without an error, or was short.
	verdictCut
	// verdictWrong means an answer that passed as whole holds wrong tokens.
	verdictWrong
	// verdictFailed means the connection failed before an answer.
	verdictFailed
	// verdictUnfinished means the run ended first.
	verdictUnfinished
)

// onlineResult is the end of one online request.
type onlineResult struct {
	verdict verdict
	// code and notRun are what an error answer said.
	code, notRun string
	// firstToken and whole are counted from the planned arrival.
	firstToken, whole time.Duration
	gaps              []time.Duration
	detail            string
	// again says that the request surely was not run and may be sent elsewhere.
	again bool
}

// maxDetails bounds the failures kept word for word.
const maxDetails = 20

// OnlineLedger counts what became of online requests.
type OnlineLedger struct {
	Planned int `json:"planned"`
	Sent    int `json:"sent"`
	// Retried counts requests sent again because they surely were not run.
	Retried     int `json:"retried"`
	Completed   int `json:"completed"`
	Interrupted int `json:"interrupted"`
	Cut         int `json:"cut"`
	Wrong       int `json:"wrong"`
	Failed      int `json:"failed"`
	Unfinished  int `json:"unfinished"`
	// Refused counts error answers by "code not_run=...".
	Refused map[string]int `json:"refused"`
	// DoubledRuns counts requests marked as not repeatable that engines ran more than once; negative if not asked.
	DoubledRuns int `json:"doubled_runs"`
	// Details holds the first failures.
	Details []string `json:"details,omitempty"`
}

func (l *OnlineLedger) book(result onlineResult) {
	switch result.verdict {
	case verdictCompleted:
		l.Completed++
	case verdictRefused:
		l.Refused[result.code+" not_run="+result.notRun]++
	case verdictInterrupted:
		l.Interrupted++
	case verdictCut:
		l.Cut++
	case verdictWrong:
		l.Wrong++
	case verdictFailed:
		l.Failed++
	case verdictUnfinished:
		l.Unfinished++
	}
	if result.detail != "" && len(l.Details) < maxDetails {
		l.Details = append(l.Details, result.detail)
	}
}

// BatchLedger counts what became of batch items.
type BatchLedger struct {
	Planned int `json:"planned"`
	// Accepted counts the items of accepted jobs; JobsAccepted, JobsEnded count jobs.
	Accepted     int `json:"accepted"`
	JobsAccepted int `json:"jobs_accepted"`
	JobsEnded    int `json:"jobs_ended"`
	Completed    int `json:"completed"`
	// Failed counts items whose result is an error, other than Cancelled ones that their job's cancel ended and Unknown
	// ones that must run at most once and whose outcome was lost.
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
	Unknown   int `json:"unknown"`
	// Once counts the items of accepted jobs that must run at most once, DoubledRuns those that engines ran more often.
	Once        int `json:"once"`
	DoubledRuns int `json:"doubled_runs"`
	// Backwards counts jobs' counts and states that went back, or that a result file does not bear out; Changed counts
	// result files that are not as they were read first.
	Backwards int `json:"backwards"`
	Changed   int `json:"changed"`
	// Lost counts items of ended jobs without a result; Unfinished those of jobs still open at the end.
	Lost       int `json:"lost"`
	Unfinished int `json:"unfinished"`
	// Doubled counts results beyond the first of an item; Foreign results of items that were never sent.
	Doubled int `json:"doubled"`
	Foreign int `json:"foreign"`
	// Wrong counts results with wrong tokens.
	Wrong int `json:"wrong"`
	// Refused counts submissions that were given up, by reason.
	Refused map[string]int `json:"refused"`
	Details []string       `json:"details,omitempty"`
}

func (l *BatchLedger) note(detail string) {
	if len(l.Details) < maxDetails {
		l.Details = append(l.Details, detail)
	}
}
