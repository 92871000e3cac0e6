package jobrecord_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
	"mallowlatch.example/mallowlatch/internal/work"
)

var testStart = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

// fixture is a store with any number of clients and a simulated clock.
type fixture struct {
	now  time.Time
	data *kvtest.Data
}

func newFixture() *fixture {
	b := &fixture{now: testStart}
	b.data = kvtest.NewData(func() time.Time { return b.now })
	return b
}

func (b *fixture) client() (*jobrecord.Records, *kvtest.Paged) {
	store := kvtest.NewPaged(b.data)
	return &jobrecord.Records{
		Store: store, ValueBytes: 1 << 20, Retention: time.Minute, Now: func() time.Time { return b.now },
	}, store
}

func submission(id string, items int) *jobrecord.Submission {
	made := &jobrecord.Submission{ID: ident.Job(id), Route: "r", Host: "h", Zone: "z"}
	for index := range items {
		made.Items = append(made.Items, work.Item{
			ID: ident.Request(fmt.Sprintf("%s-%d", id, index)), Path: "/p/", Tokens: 10,
			Headers: map[string]string{"A": "b"}, Body: []byte(fmt.Sprintf("body %s %d", id, index)),
		})
	}
	return made
}

func openJob(t testing.TB, records *jobrecord.Records, id string) jobrecord.Open {
	open, _, err := records.ListOpen(context.Background())
	assert.NilError(t, err)
	for _, entry := range open {
		if entry.ID == ident.Job(id) {
			return entry
		}
	}
	t.Fatalf("job %s is not open", id)
	return jobrecord.Open{}
}

// TestJobIsAcceptedOnceAndReadCompletely submits a job again with other content: the first content must stay.
func TestJobIsAcceptedOnceAndReadCompletely(t *testing.T) {
	ctx := context.Background()
	b := newFixture()
	records, _ := b.client()
	assert.NilError(t, records.Accept(ctx, submission("j", 5)))
	assert.NilError(t, records.Accept(ctx, submission("j", 2)))
	loaded, results, err := records.Load(ctx, "j")
	assert.NilError(t, err)
	assert.Equal(t, len(loaded.Header.Items), 5)
	assert.Equal(t, len(results), 0)
	for index, body := range loaded.Bodies {
		assert.Equal(t, string(body), fmt.Sprintf("body j %d", index))
	}
	body, err := records.Body(ctx, &loaded.Header, "j-3")
	assert.NilError(t, err)
	assert.Equal(t, string(body), "body j 3")
	_, err = records.Header(ctx, "other")
	assert.ErrorIs(t, err, jobrecord.ErrNoSuchJob)
}

// TestJobTooLargeIsRefusedBeforeAnythingIsWritten covers an item that exceeds one value, and a job that needs too many values.
func TestJobTooLargeIsRefusedBeforeAnythingIsWritten(t *testing.T) {
	b := newFixture()
	records, store := b.client()
	large := submission("j", 1)
	large.Items[0].Body = make([]byte, 1<<20)
	assert.ErrorIs(t, records.Accept(context.Background(), large), jobrecord.ErrTooLarge)
	many := submission("k", 40)
	for index := range many.Items {
		many.Items[index].Body = make([]byte, 500<<10)
	}
	assert.ErrorIs(t, records.Accept(context.Background(), many), jobrecord.ErrTooLarge)
	assert.Equal(t, store.Calls(), 0)
}

// TestTransactionsStayWithinEntryLimit finishes the largest job with the maximum number of results in one Append.
func TestTransactionsStayWithinEntryLimit(t *testing.T) {
	const entries = 32
	b := newFixture()
	records, _ := b.client()
	counting := &countingStore{Paged: kvtest.NewPaged(b.data)}
	records.Store = counting
	ctx := context.Background()
	items := 14
	job := submission("j", items)
	for index := range job.Items {
		job.Items[index].Body = make([]byte, 300<<10)
	}
	assert.NilError(t, records.Accept(ctx, job))
	lease, err := records.Store.Grant(ctx, time.Minute)
	assert.NilError(t, err)
	claim, err := records.Claim(ctx, openJob(t, records, "j"), "n", lease)
	assert.NilError(t, err)
	loaded, _, err := records.Load(ctx, "j")
	assert.NilError(t, err)
	var results []work.Result
	for _, item := range loaded.Header.Items {
		results = append(results, work.Result{ID: item.ID, State: work.Completed, Text: "t"})
	}
	first := items - records.MaximumAppended(&loaded.Header)
	for position := 0; position < first; position++ {
		assert.NilError(t, records.Append(ctx, claim, &loaded.Header, position, results[position:position+1], 1, false))
	}
	assert.NilError(t, records.Append(ctx, claim, &loaded.Header, first, results[first:], 0, true))
	assert.Assert(t, counting.most <= entries, "%d entries", counting.most)
	assert.Equal(t, loaded.Header.Parts, items)
}

// countingStore records the largest number of entries of a transaction.
type countingStore struct {
	*kvtest.Paged
	most int
}

func (c *countingStore) Commit(ctx context.Context, compares []kv.Compare, writes []kv.Write) (kv.TransactionResult, error) {
	c.most = max(c.most, len(compares)+len(writes))
	return c.Paged.Commit(ctx, compares, writes)
}

// TestWaitingTokensLeaveOutFinishedItems checks that finished items are subtracted once the plain sum exceeds the bound.
func TestWaitingTokensLeaveOutFinishedItems(t *testing.T) {
	ctx := context.Background()
	b := newFixture()
	records, _ := b.client()
	assert.NilError(t, records.Accept(ctx, submission("j", 4)))
	lease, _ := records.Store.Grant(ctx, time.Minute)
	claim, err := records.Claim(ctx, openJob(t, records, "j"), "n", lease)
	assert.NilError(t, err)
	header, _ := records.Header(ctx, "j")
	assert.NilError(t, records.Append(ctx, claim, header, 0, []work.Result{{ID: "j-0", State: work.Completed}}, 30, false))
	waiting, err := records.WaitingTokens(ctx, jobrecord.Queue{Route: "r"}, 100)
	assert.NilError(t, err)
	assert.Equal(t, waiting, 40)
	waiting, err = records.WaitingTokens(ctx, jobrecord.Queue{Route: "r"}, 35)
	assert.NilError(t, err)
	assert.Equal(t, waiting, 30)
}

// TestExpiredJobsAreRemoved checks that a job is removed after its retention period and not before.
func TestExpiredJobsAreRemoved(t *testing.T) {
	ctx := context.Background()
	b := newFixture()
	records, _ := b.client()
	assert.NilError(t, records.Accept(ctx, submission("j", 2)))
	header, _ := records.Header(ctx, "j")
	assert.NilError(t, records.End(ctx, header))
	removed, err := records.RemoveExpired(ctx)
	assert.NilError(t, err)
	assert.Equal(t, removed, 0)
	b.now = b.now.Add(2 * time.Minute)
	removed, err = records.RemoveExpired(ctx)
	assert.NilError(t, err)
	assert.Equal(t, removed, 1)
	_, err = records.Header(ctx, "j")
	assert.ErrorIs(t, err, jobrecord.ErrNoSuchJob)
	events, _ := b.data.Range("job/", kvtest.PrefixEnd("job/"))
	assert.Equal(t, len(events), 0)
}

// machine is a state machine of two workers that run the same job, with lost answers, writes that take effect late, leases that expire
// and an end of the job at any time. It checks after each step what readers see.
type machine struct {
	*fixture
	records [2]*jobrecord.Records
	stores  [2]*kvtest.Paged
	leases  [2]kv.LeaseID
	claims  [2]*jobrecord.Claim
	// pending is the unanswered Append of each worker, which it repeats unchanged until it knows the outcome.
	pending [2][]work.Result
	at      [2]int
	header  *jobrecord.Header
	// seen are the results at the last check, by position.
	seen []work.Result
	// acknowledged means that a call of End succeeded, closed that the job was closed at the last check.
	acknowledged, closed bool
}

const machineItems = 4

func newMachine(t *rapid.T) *machine {
	m := &machine{fixture: newFixture()}
	for worker := range m.records {
		m.records[worker], m.stores[worker] = m.client()
	}
	assert.NilError(t, m.records[0].Accept(context.Background(), submission("j", machineItems)))
	header, err := m.records[0].Header(context.Background(), "j")
	assert.NilError(t, err)
	m.header = header
	return m
}

func (m *machine) claim(t *rapid.T) {
	ctx := context.Background()
	worker := rapid.IntRange(0, 1).Draw(t, "worker")
	if m.leases[worker] == 0 {
		m.leases[worker], _ = m.stores[worker].Grant(ctx, 3*time.Second)
	}
	open, _, err := m.records[worker].ListOpen(ctx)
	assert.NilError(t, err)
	if len(open) == 0 {
		return
	}
	claim, err := m.records[worker].Claim(ctx, open[0], ident.Node(fmt.Sprint("n", worker)), m.leases[worker])
	if err != nil {
		m.leases[worker] = 0
		return
	}
	_, results, err := m.records[worker].Load(ctx, "j")
	if err != nil {
		return
	}
	m.claims[worker] = &claim
	m.at[worker] = len(results)
	m.pending[worker] = nil
}

func (m *machine) append(t *rapid.T) {
	worker := rapid.IntRange(0, 1).Draw(t, "worker")
	if m.claims[worker] == nil {
		return
	}
	if m.pending[worker] == nil {
		m.pending[worker] = m.draw(t, worker)
	}
	if len(m.pending[worker]) == 0 {
		return
	}
	position := m.at[worker]
	finished := position+len(m.pending[worker]) == machineItems
	err := m.records[worker].Append(context.Background(), *m.claims[worker], m.header, position, m.pending[worker], 1, finished)
	switch {
	case err == nil:
		m.at[worker] += len(m.pending[worker])
		m.pending[worker] = nil
	case !jobrecord.Unknown(err):
		m.claims[worker], m.pending[worker] = nil, nil
	}
}

// draw chooses results for items that have none in the worker's view. The text identifies the run, so that runs of an item differ.
func (m *machine) draw(t *rapid.T, worker int) []work.Result {
	loaded, results, err := m.records[worker].Load(context.Background(), "j")
	if err != nil || len(results) != m.at[worker] {
		return nil
	}
	listed := map[ident.Request]bool{}
	for _, result := range results {
		listed[result.ID] = true
	}
	var drawn []work.Result
	for _, item := range loaded.Header.Items {
		if !listed[item.ID] && rapid.Bool().Draw(t, "done") {
			text := fmt.Sprintf("worker %d run %d", worker, rapid.IntRange(0, 9).Draw(t, "run"))
			drawn = append(drawn, work.Result{ID: item.ID, State: work.Completed, Text: text})
		}
	}
	return drawn
}

func (m *machine) faults(t *rapid.T) {
	worker := rapid.IntRange(0, 1).Draw(t, "worker")
	m.stores[worker].SetFaults(kvtest.PagedFaults{
		LoseNext:  rapid.IntRange(0, 2).Draw(t, "lose"),
		DelayNext: rapid.IntRange(0, 1).Draw(t, "delay"),
	})
}

func (m *machine) applyDelayed(t *rapid.T) {
	m.stores[rapid.IntRange(0, 1).Draw(t, "worker")].ApplyDelayed()
}

func (m *machine) expireLeases(t *rapid.T) {
	m.now = m.now.Add(4 * time.Second)
	m.leases = [2]kv.LeaseID{}
}

func (m *machine) end(t *rapid.T) {
	if rapid.IntRange(0, 5).Draw(t, "end") != 0 {
		return
	}
	// An unanswered call may have taken effect, or may do so late; check detects that the job is closed.
	m.acknowledged = m.records[0].End(context.Background(), m.header) == nil || m.acknowledged
}

// check reads all results through a client without faults.
func (m *machine) check(t *rapid.T) {
	reader, _ := m.client()
	results, err := reader.AllResults(context.Background(), "j")
	assert.NilError(t, err)
	assert.Assert(t, len(results) >= len(m.seen), "results were lost")
	items := map[ident.Request]bool{}
	for position, result := range results {
		assert.Assert(t, !items[result.ID], "item %s has results at two positions", result.ID)
		items[result.ID] = true
		if position < len(m.seen) {
			assert.Equal(t, result, m.seen[position])
		}
	}
	if m.closed {
		assert.Equal(t, len(results), len(m.seen), "a result was added after the job was closed")
	}
	m.seen = results
	open, _, err := reader.ListOpen(context.Background())
	assert.NilError(t, err)
	assert.Assert(t, len(open) == 0 || !m.closed, "a closed job is open again")
	assert.Assert(t, len(open) == 0 || (!m.acknowledged && len(results) < machineItems), "a job is open although it has ended or all items have results")
	m.closed = len(open) == 0
}

// TestResultsNeverChange runs the state machine of two workers.
func TestResultsNeverChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"claim": m.claim, "append": m.append, "faults": m.faults, "late": m.applyDelayed, "lapse": m.expireLeases, "end": m.end,
			"": m.check,
		})
	})
}

// TestSmallJobsAreRecordedInFewCalls checks that many results fit into one transaction if the bodies of the job fit into one value.
func TestSmallJobsAreRecordedInFewCalls(t *testing.T) {
	ctx := context.Background()
	b := newFixture()
	records, store := b.client()
	counting := &countingStore{Paged: store}
	records.Store = counting
	assert.NilError(t, records.Accept(ctx, submission("j", 20)))
	lease, _ := store.Grant(ctx, time.Minute)
	claim, err := records.Claim(ctx, openJob(t, records, "j"), "n", lease)
	assert.NilError(t, err)
	header, err := records.Header(ctx, "j")
	assert.NilError(t, err)
	var results []work.Result
	for _, item := range header.Items {
		results = append(results, work.Result{ID: item.ID, State: work.Completed, Text: "t"})
	}
	most := records.MaximumAppended(header)
	assert.Assert(t, most >= 10, "%d results in a call", most)
	first := len(results) - most
	assert.NilError(t, records.Append(ctx, claim, header, 0, results[:first], 1, false))
	assert.NilError(t, records.Append(ctx, claim, header, first, results[first:], 0, true))
	assert.Assert(t, counting.most <= 32, "%d entries", counting.most)
}
