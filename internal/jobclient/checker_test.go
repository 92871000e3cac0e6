package jobclient_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/job"
	"mallowlatch.example/mallowlatch/internal/ledger"

	"pgregory.net/rapid"
)

// checker knows what callers and engines saw, and nothing of the store's state.
type checker struct {
	t       *rapid.T
	jobs    map[ident.Job]*seenJob
	order   []ident.Job
	byKey   map[string]ident.Job
	entries map[string]*seenEntry
	runs    int
	// unanswered counts submissions that no job was told for; untold holds jobs that ran and were not told.
	unanswered int
	untold     map[ident.Job]*seenJob
}

// seenJob is what was seen of an accepted job.
type seenJob struct {
	id        ident.Job
	key       string
	file      ident.File
	lines     []sentLine
	last      job.Job
	cancelled time.Time
	// runs holds, for each item, the numbers of its runs on engines.
	runs map[uint32][]int
	// outputs holds what was read from each result file.
	outputs map[ident.File]string
}

// sentLine is a line of an input file as it was sent.
type sentLine struct {
	customID   string
	repeatable bool
	malformed  bool
}

// seenEntry is what was seen of a non-repeatable request.
type seenEntry struct {
	dispatched int
	run        int
	final      ledger.Entry
}

func newChecker(t *rapid.T) *checker {
	return &checker{t: t, jobs: map[ident.Job]*seenJob{}, byKey: map[string]ident.Job{}, untold: map[ident.Job]*seenJob{}, entries: map[string]*seenEntry{}}
}

// accepted is told of every successful submission.
func (c *checker) accepted(key string, file ident.File, lines []sentLine, accepted job.Job) {
	first, known := c.byKey[key]
	if known && first != accepted.ID {
		c.t.Fatalf("submission %q made jobs %s and %s", key, first, accepted.ID)
	}
	if known {
		return
	}
	c.byKey[key] = accepted.ID
	seen := c.untold[accepted.ID]
	if seen == nil {
		seen = newSeenJob(accepted.ID)
	}
	delete(c.untold, accepted.ID)
	seen.key, seen.file, seen.lines, seen.last = key, file, lines, accepted
	c.jobs[accepted.ID] = seen
	if len(c.untold) > c.unanswered {
		c.t.Fatalf("%d jobs ran and %d submissions are not answered", len(c.untold), c.unanswered)
	}
	c.order = append(c.order, accepted.ID)
}

func newSeenJob(id ident.Job) *seenJob {
	return &seenJob{id: id, runs: map[uint32][]int{}, outputs: map[ident.File]string{}}
}

// ranUntold returns what was seen of a job that nobody was told of. Each is one of the submissions without an answer.
func (c *checker) ranUntold(id ident.Job) *seenJob {
	if c.untold[id] == nil {
		c.untold[id] = newSeenJob(id)
	}
	if len(c.untold) > c.unanswered {
		c.t.Fatalf("%d jobs ran and %d submissions are not answered", len(c.untold), c.unanswered)
	}
	return c.untold[id]
}

// started is told that an engine starts an item. bound is the latest start after a cancellation, or zero if the worker
// was stalled between its look at the lease and the start.
func (c *checker) started(now time.Time, item job.Item, bound time.Duration) int {
	seen := c.jobs[item.Job]
	if seen == nil {
		seen = c.ranUntold(item.Job)
	}
	c.runs++
	seen.runs[item.Index] = append(seen.runs[item.Index], c.runs)
	if !item.Repeatable && len(seen.runs[item.Index]) > 1 {
		c.t.Fatalf("non-repeatable item %d of %s ran twice", item.Index, item.Job)
	}
	if seen.lines != nil && seen.lines[item.Index].repeatable != item.Repeatable {
		c.t.Fatalf("item %d of %s was leased as repeatable=%v", item.Index, item.Job, item.Repeatable)
	}
	if bound == 0 {
		return c.runs
	}
	if !seen.cancelled.IsZero() && now.After(seen.cancelled.Add(bound)) {
		c.t.Fatalf("item %d of %s started %v after the cancellation", item.Index, item.Job, now.Sub(seen.cancelled))
	}
	if !seen.last.Ended.IsZero() && seen.last.Status == job.Cancelled {
		c.t.Fatalf("item %d of %s started after the job was seen cancelled", item.Index, item.Job)
	}
	return c.runs
}

// observed is told of every look at a job.
func (c *checker) observed(found job.Job) {
	seen := c.jobs[found.ID]
	if seen == nil {
		return
	}
	before := seen.last.Counts
	if found.Counts.Total != len(seen.lines) || found.Counts.Completed < before.Completed || found.Counts.Failed < before.Failed {
		c.t.Fatalf("counts of %s went from %+v to %+v", found.ID, before, found.Counts)
	}
	if found.Counts.Completed+found.Counts.Failed > found.Counts.Total {
		c.t.Fatalf("counts of %s: %+v", found.ID, found.Counts)
	}
	if !seen.last.Ended.IsZero() && found.Status != seen.last.Status {
		c.t.Fatalf("%s ended as %s and is %s", found.ID, seen.last.Status, found.Status)
	}
	if !seen.cancelled.IsZero() && (found.Status == job.InProgress || found.Status == job.Validating) {
		c.t.Fatalf("%s is %s after its cancellation", found.ID, found.Status)
	}
	seen.last = found
}

// read is told what a result file of a job holds.
func (c *checker) read(id ident.Job, file ident.File, content string) {
	seen := c.jobs[id]
	if earlier, known := seen.outputs[file]; known && earlier != content {
		c.t.Fatalf("file %s of %s changed", file, id)
	}
	seen.outputs[file] = content
}

// finish checks an ended job's results against everything that was seen.
func (c *checker) finish(seen *seenJob) {
	if seen.last.Ended.IsZero() {
		c.t.Fatalf("job %s never ended: %+v", seen.id, seen.last)
	}
	results := map[uint32]int{}
	for file, content := range seen.outputs {
		for _, text := range strings.Split(strings.TrimSuffix(content, "\n"), "\n") {
			index := c.checkLine(seen, text, file == seen.last.ErrorFile)
			results[index]++
		}
	}
	for index := range seen.lines {
		if results[uint32(index)] != 1 {
			c.t.Fatalf("item %d of %s has %d results", index, seen.id, results[uint32(index)])
		}
	}
	if len(results) != len(seen.lines) {
		c.t.Fatalf("%s has %d results for %d items", seen.id, len(results), len(seen.lines))
	}
}

// count adds what became of the items of a finished schedule. An item with no result would be lost, one with two
// doubled; finish has refused both.
func (c *checker) count(sum *totals) {
	sum.schedules++
	for _, seen := range c.jobs {
		sum.jobs++
		sum.items += len(seen.lines)
		sum.completed += seen.last.Counts.Completed
		sum.failed += seen.last.Counts.Failed
		sum.unknown += strings.Count(seen.outputs[seen.last.ErrorFile], `"outcome_unknown"`)
		surplus := seen.last.Counts.Completed + seen.last.Counts.Failed - len(seen.lines)
		sum.lost += max(0, -surplus)
		sum.doubled += max(0, surplus)
	}
}

func (c *checker) checkLine(seen *seenJob, text string, failed bool) uint32 {
	var decoded struct {
		ID       string
		CustomID string `json:"custom_id"`
		Response *struct{ Body struct{ Run int } }
		Error    *struct{ Code string }
	}
	if err := json.Unmarshal([]byte(text), &decoded); err != nil {
		c.t.Fatalf("line %q: %v", text, err)
	}
	var index uint32
	if _, err := fmt.Sscanf(decoded.ID[strings.LastIndexByte(decoded.ID, '_')+1:], "%d", &index); err != nil {
		c.t.Fatalf("line %q: %v", text, err)
	}
	sent := seen.lines[index]
	if !sent.malformed && decoded.CustomID != sent.customID {
		c.t.Fatalf("item %d of %s is answered as %q, not %q", index, seen.id, decoded.CustomID, sent.customID)
	}
	if failed != (decoded.Response == nil) {
		c.t.Fatalf("line %q is in the wrong file", text)
	}
	if decoded.Response != nil {
		c.checkRun(seen, index, decoded.Response.Body.Run)
		return index
	}
	c.checkError(seen, index, decoded.Error.Code)
	return index
}

func (c *checker) checkRun(seen *seenJob, index uint32, run int) {
	for _, known := range seen.runs[index] {
		if known == run {
			return
		}
	}
	c.t.Fatalf("item %d of %s has the result of run %d, which was not its own", index, seen.id, run)
}

func (c *checker) checkError(seen *seenJob, index uint32, code string) {
	sent := seen.lines[index]
	fits := map[string]bool{
		"invalid_line":        sent.malformed,
		"duplicate_custom_id": sent.malformed,
		"batch_cancelled":     seen.last.Status == job.Cancelled,
		"batch_expired":       seen.last.Status == job.Expired,
		"outcome_unknown":     !sent.repeatable,
	}
	stopped := seen.last.Status == job.Cancelled || seen.last.Status == job.Expired
	if !fits[code] && !(sent.malformed && stopped) {
		c.t.Fatalf("item %d of %s (%+v, %s) ended with %q", index, seen.id, sent, seen.last.Status, code)
	}
	if code == "batch_cancelled" && !sent.repeatable && len(seen.runs[index]) > 0 {
		c.t.Fatalf("item %d of %s ran and is said not to have run", index, seen.id)
	}
}

// began is told of every answer of Begin.
func (c *checker) began(key string, entry ledger.Entry) *seenEntry {
	seen := c.entries[key]
	if seen == nil {
		seen = &seenEntry{}
		c.entries[key] = seen
	}
	if seen.final.State != 0 && (entry.State != seen.final.State || string(entry.Answer.Body) != string(seen.final.Answer.Body)) {
		c.t.Fatalf("request %q was %+v and is %+v", key, seen.final, entry)
	}
	if entry.State == ledger.Finished && string(entry.Answer.Body) != fmt.Sprint(seen.run) {
		c.t.Fatalf("request %q is answered with %s, its run is %d", key, entry.Answer.Body, seen.run)
	}
	if entry.State == ledger.Finished || entry.State == ledger.OutcomeUnknown {
		seen.final = entry
	}
	return seen
}

// dispatched is told that a non-repeatable request runs.
func (c *checker) dispatched(key string, seen *seenEntry) {
	c.runs++
	seen.run = c.runs
	seen.dispatched++
	if seen.dispatched > 1 {
		c.t.Fatalf("request %q ran twice", key)
	}
}
