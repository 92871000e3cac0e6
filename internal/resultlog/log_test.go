package resultlog_test

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
	"mallowlatch.example/mallowlatch/internal/resultlog"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	items = 6
	// limit is the most results of one call, fewer than the items.
	limit    = 4
	leaseTTL = 3 * time.Second
)

// holder is a node that may hold the job.
type holder struct {
	node  ident.Node
	lease kv.LeaseID
	// leaseEnds is when the lease lapses.
	leaseEnds time.Time
	log       *resultlog.Log
	// releasing is set until the release of a claim is done.
	releasing bool
	// call is in flight; doing is set until it is done at the store, and then answer applies its answer.
	call    *resultlog.Call
	pending bool
	answer  func()
	// runs counts the results that the node made, so that those of two runs differ.
	runs int
}

// machine is a state machine of two nodes that hold one job one after the other, or both in their own view. Calls are done when it is
// drawn, answered later, or not answered; a call without an answer may be done much later.
type machine struct {
	now     time.Time
	records *jobrecord.Records
	store   *kvtest.Paged
	open    jobrecord.Open
	header  *jobrecord.Header
	holders []*holder
	// late are calls without an answer that are not done yet.
	late []func()
	// seen are the results at the last check.
	seen  []work.Result
	ended bool
}

func newMachine(t *rapid.T) *machine {
	m := &machine{now: time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)}
	m.store = kvtest.NewPaged(kvtest.NewData(func() time.Time { return m.now }))
	m.records = &jobrecord.Records{Store: m.store, ValueBytes: 1 << 20, Retention: time.Hour, Now: func() time.Time { return m.now }}
	submission := &jobrecord.Submission{ID: "j", Route: "r", Host: "h", Zone: "z"}
	for index := range items {
		submission.Items = append(submission.Items, work.Item{ID: ident.Request(fmt.Sprint("j-", index)), Path: "/p/", Tokens: 1, Body: []byte("b")})
	}
	ctx := context.Background()
	assert.NilError(t, m.records.Accept(ctx, submission))
	open, _, err := m.records.ListOpen(ctx)
	assert.NilError(t, err)
	m.open = open[0]
	m.header, err = m.records.Header(ctx, "j")
	assert.NilError(t, err)
	m.holders = []*holder{{node: "n0"}, {node: "n1"}}
	return m
}

func (m *machine) draw(t *rapid.T) *holder {
	return m.holders[rapid.IntRange(0, len(m.holders)-1).Draw(t, "node")]
}

// renew renews a node's lease, or replaces it if it lapsed.
func (m *machine) renew(t *rapid.T) { m.renewLease(m.draw(t)) }

func (m *machine) renewLease(h *holder) {
	ctx := context.Background()
	h.leaseEnds = m.now.Add(leaseTTL)
	if h.lease != 0 {
		if _, err := m.store.KeepAlive(ctx, h.lease); err == nil {
			return
		}
	}
	h.lease, _ = m.store.Grant(ctx, leaseTTL)
}

// wait lets time pass, in which leases may lapse.
func (m *machine) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 4).Draw(t, "seconds")) * time.Second)
}

// claim has a node that does not hold the job claim it.
func (m *machine) claim(t *rapid.T) { m.claimFor(m.draw(t)) }

func (m *machine) claimFor(h *holder) {
	ctx := context.Background()
	if h.log != nil || h.call != nil || h.releasing || h.lease == 0 {
		return
	}
	claim, err := m.records.Claim(ctx, m.open, h.node, h.lease)
	if err != nil {
		return
	}
	if _, results, err := m.records.Load(ctx, "j"); err == nil {
		log := resultlog.New(resultlog.Holding{Claim: claim, Lease: h.lease}, items, results)
		h.log = &log
	}
}

// run has a node finish an item that has no result in its view.
func (m *machine) run(t *rapid.T) {
	h := m.draw(t)
	m.runItem(h, rapid.IntRange(0, items-1).Draw(t, "item"))
}

func (m *machine) runItem(h *holder, index int) {
	if h.log == nil {
		return
	}
	id := m.header.Items[index].ID
	recorded, _ := h.log.From(0)
	for _, results := range [][]work.Result{recorded, h.log.Waiting()} {
		for _, result := range results {
			if result.ID == id {
				return
			}
		}
	}
	h.runs++
	h.log.Add(work.Result{ID: id, State: work.Completed, Text: fmt.Sprint(h.node, " run ", h.runs)})
}

// send has a node begin its next call.
func (m *machine) send(t *rapid.T) { m.sendCall(m.draw(t)) }

func (m *machine) sendCall(h *holder) {
	if h.log == nil || h.call != nil {
		return
	}
	if call, due := h.log.Next(h.lease, limit); due {
		h.call, h.pending = &call, true
		_, again := h.log.Next(h.lease, limit)
		assertNone(again)
	}
}

func assertNone(again bool) {
	if again {
		panic("two calls are in flight")
	}
}

// do has the store do the call in flight. A second turn reads the results of a claim.
func (m *machine) do(t *rapid.T) { m.doCall(m.draw(t)) }

func (m *machine) doCall(h *holder) {
	if h.call == nil || !h.pending {
		return
	}
	log, call := h.log, *h.call
	h.pending = false
	if call.Kind == resultlog.Append {
		err := m.appendAt(call)
		h.answer = func() { log.Appended(err) }
		return
	}
	claim, err := m.records.Claim(context.Background(), m.open, h.node, call.Lease)
	h.answer = func() {
		var results []work.Result
		if err == nil {
			results, err = m.records.AllResults(context.Background(), "j")
		}
		log.Reclaimed(claim, results, err)
	}
}

func (m *machine) appendAt(call resultlog.Call) error {
	return m.records.Append(context.Background(), call.Claim, m.header, call.Position, call.Results, 1, call.Finishes)
}

// reply has the answer of a call that is done arrive.
func (m *machine) reply(t *rapid.T) { m.replyTo(m.draw(t)) }

func (m *machine) replyTo(h *holder) {
	if h.call == nil || h.pending {
		return
	}
	h.answer()
	h.call = nil
	if h.log != nil && h.log.Lost() {
		h.log = nil
	}
}

// lose has the call in flight stay without an answer; if it is not done, it may be done later.
func (m *machine) lose(t *rapid.T) {
	h := m.draw(t)
	if h.call == nil {
		return
	}
	call, lease := *h.call, h.call.Lease
	unknown := fmt.Errorf("test: %w", kv.ErrOutcomeUnknown)
	if call.Kind == resultlog.Append {
		if h.pending {
			m.late = append(m.late, func() { _ = m.appendAt(call) })
		}
		h.log.Appended(unknown)
	} else {
		if h.pending {
			m.late = append(m.late, func() { _, _ = m.records.Claim(context.Background(), m.open, h.node, lease) })
		}
		h.log.Reclaimed(jobrecord.Claim{}, nil, unknown)
	}
	h.call = nil
}

// doLate does one of the calls that were not answered.
func (m *machine) doLate(t *rapid.T) {
	if len(m.late) == 0 {
		return
	}
	next := rapid.IntRange(0, len(m.late)-1).Draw(t, "late")
	done := m.late[next]
	m.late = append(m.late[:next], m.late[next+1:]...)
	done()
}

// doubt tells a node that its claim is gone, rightly or not.
func (m *machine) doubt(t *rapid.T) {
	if h := m.draw(t); h.log != nil {
		h.log.Doubt(h.log.Holding().Claim.Revision)
	}
}

// strip has another party delete a node's claim, which the node learns.
func (m *machine) strip(t *rapid.T) {
	if h := m.draw(t); h.log != nil {
		claim := h.log.Holding().Claim
		assert.NilError(t, m.records.Release(context.Background(), claim))
		h.log.Doubt(claim.Revision)
	}
}

// evict removes recorded results from a node's memory.
func (m *machine) evict(t *rapid.T) {
	if h := m.draw(t); h.log != nil && rapid.IntRange(0, 4).Draw(t, "evict") == 0 {
		h.log.Evict()
	}
}

// release has a node leave the job; the release may be done later.
func (m *machine) release(t *rapid.T) {
	h := m.draw(t)
	if h.log == nil || h.call != nil || len(h.log.Waiting()) > 0 {
		return
	}
	claim := h.log.Holding().Claim
	h.log = nil
	h.releasing = true
	done := func() {
		_ = m.records.Release(context.Background(), claim)
		h.releasing = false
	}
	if rapid.Bool().Draw(t, "late") {
		m.late = append(m.late, done)
		return
	}
	done()
}

// end has a client end the job.
func (m *machine) end(t *rapid.T) {
	if rapid.IntRange(0, 19).Draw(t, "end") == 0 {
		assert.NilError(t, m.records.End(context.Background(), m.header))
		m.ended = true
	}
}

// check compares what readers and holders know.
func (m *machine) check(t *rapid.T) {
	results, err := m.records.AllResults(context.Background(), "j")
	assert.NilError(t, err)
	assert.Assert(t, len(results) >= len(m.seen), "results that were read are gone")
	listed := map[ident.Request]bool{}
	for position, result := range results {
		assert.Assert(t, !listed[result.ID], "item %s stands at two positions", result.ID)
		listed[result.ID] = true
		if position < len(m.seen) {
			assert.Equal(t, result, m.seen[position])
		}
	}
	m.seen = results
	for _, h := range m.holders {
		m.checkHolder(t, h)
	}
}

func (m *machine) checkHolder(t *rapid.T, h *holder) {
	if h.log == nil {
		return
	}
	assert.Assert(t, h.log.Recorded() <= len(m.seen), "%s knows results that are not recorded", h.node)
	if recorded, whole := h.log.From(0); whole {
		for position, result := range recorded {
			assert.Equal(t, result, m.seen[position])
		}
	}
	if h.call == nil && h.log.Complete(h.lease) && m.now.Before(h.leaseEnds) {
		assert.Equal(t, h.log.Recorded(), len(m.seen), "%s is sure and does not know all that is recorded", h.node)
	}
}

// complete lets all calls be done and answered, and checks that each item gets a result.
func (m *machine) complete(t *rapid.T) {
	for _, done := range m.late {
		done()
	}
	m.late = nil
	m.check(t)
	for range 4 * items {
		for _, h := range m.holders {
			m.renewLease(h)
			m.doCall(h)
			m.replyTo(h)
			m.claimFor(h)
			for index := range items {
				m.runItem(h, index)
			}
			m.sendCall(h)
			m.doCall(h)
			m.replyTo(h)
		}
		m.check(t)
	}
	if !m.ended {
		assert.Equal(t, len(m.seen), items, "items with a result in the end")
	}
}

// TestResultsAreRecordedOnceInAnyOrderOfAnswers guards against answers of the store that are applied to a state that they were not asked for:
// results recorded twice or lost, and items at two positions, after lapsed leases and late or lost answers.
func TestResultsAreRecordedOnceInAnyOrderOfAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		m.renewLease(m.holders[0])
		m.renewLease(m.holders[1])
		t.Repeat(map[string]func(*rapid.T){
			"renew": m.renew, "wait": m.wait, "claim": m.claim, "run": m.run, "run again": m.run, "send": m.send, "do": m.do, "reply": m.reply,
			"lose": m.lose, "late": m.doLate, "doubt": m.doubt, "strip": m.strip, "evict": m.evict, "release": m.release, "end": m.end,
			"": m.check,
		})
		m.complete(t)
	})
}

// TestHolderIsSureOnlyUnderItsPresentLease guards against a worker that tells readers that there are no further results although another one
// has recorded some: its lease was replaced, or its claim was deleted, and claiming the job again has failed so far.
func TestHolderIsSureOnlyUnderItsPresentLease(t *testing.T) {
	log := resultlog.New(resultlog.Holding{Claim: jobrecord.Claim{Job: "j", Revision: 5}, Lease: 1}, items, nil)
	assert.Assert(t, log.Complete(1))
	assert.Assert(t, !log.Complete(2))
	log.Doubt(4)
	assert.Assert(t, log.Complete(1), "an earlier claim was doubted")
	log.Doubt(5)
	for range 2 {
		assert.Assert(t, !log.Complete(1))
		call, due := log.Next(1, limit)
		assert.Assert(t, due && call.Kind == resultlog.Reclaim)
		log.Reclaimed(jobrecord.Claim{}, nil, kv.ErrUnavailable)
	}
	_, due := log.Next(1, limit)
	assert.Assert(t, due)
	log.Reclaimed(jobrecord.Claim{Job: "j", Revision: 9}, []work.Result{{ID: "j-0"}}, nil)
	assert.Assert(t, log.Complete(1))
	assert.Equal(t, log.Recorded(), 1)
	_, due = log.Next(0, limit)
	assert.Assert(t, !due, "a call without a lease")
}
