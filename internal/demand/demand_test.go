package demand_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
)

var start = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

func report(node ident.Node, incarnation, sequence int64, online int) *demand.Report {
	return &demand.Report{Node: node, Incarnation: incarnation, Sequence: sequence, Counts: []demand.Count{{Runner: "r", Online: online}}}
}

// TestNewestReportOfEachNodeCounts has reports overtake each other, a node restart, and one become unresponsive.
func TestNewestReportOfEachNodeCounts(t *testing.T) {
	var ledger demand.Ledger
	assert.DeepEqual(t, ledger.Record(report("a", 1, 2, 3), start), []ident.Incarnation{"r"})
	assert.Equal(t, len(ledger.Record(report("a", 1, 1, 9), start)), 0, "an older report was stored")
	assert.DeepEqual(t, ledger.Record(report("b", 1, 1, 1), start), []ident.Incarnation{"r"})
	assert.Equal(t, ledger.Online("r", "", start), 4)
	assert.Equal(t, ledger.Online("r", "a", start), 1)
	assert.Equal(t, len(ledger.Record(report("a", 1, 3, 3), start)), 0, "an unchanged report was taken for a change")
	assert.DeepEqual(t, ledger.Record(report("a", 1, 4, 2), start), []ident.Incarnation{"r"})
	assert.DeepEqual(t, ledger.Record(report("a", 2, 1, 5), start), []ident.Incarnation{"r"})
	assert.Equal(t, ledger.Online("r", "", start), 6)
	late := start.Add(demand.Lifetime + time.Millisecond)
	assert.Equal(t, ledger.Online("r", "", late), 0, "an expired report was counted")
	assert.DeepEqual(t, ledger.Record(&demand.Report{Node: "a", Incarnation: 2, Sequence: 2}, late), []ident.Incarnation{"r"})
	assert.Equal(t, ledger.Online("r", "", late), 0)
}

// TestLedgerIsTheSumOfTheNewest draws reports in any order.
func TestLedgerIsTheSumOfTheNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ledger demand.Ledger
		newest := map[ident.Node]*demand.Report{}
		for range rapid.IntRange(1, 30).Draw(t, "reports") {
			node := rapid.SampledFrom([]ident.Node{"a", "b", "c"}).Draw(t, "node")
			next := report(node, rapid.Int64Range(1, 3).Draw(t, "incarnation"), rapid.Int64Range(1, 5).Draw(t, "sequence"), rapid.IntRange(0, 9).Draw(t, "online"))
			known := newest[node]
			if known == nil || next.Incarnation > known.Incarnation || (next.Incarnation == known.Incarnation && next.Sequence > known.Sequence) {
				newest[node] = next
			}
			ledger.Record(next, start)
		}
		want := 0
		for _, known := range newest {
			want += known.Counts[0].Online
		}
		assert.Equal(t, ledger.Online("r", "", start), want)
	})
}

// TestLedgerIsTheSumOfUnexpiredReports draws reports of nodes over time, with pauses. At each moment the work at a
// runner is the sum of the newest reports not older than Lifetime, with and without one node.
func TestLedgerIsTheSumOfUnexpiredReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type received struct {
			at     time.Time
			online map[ident.Incarnation]int
		}
		var ledger demand.Ledger
		nodes, runners := []ident.Node{"a", "b", "c"}, []ident.Incarnation{"r", "s"}
		newest := map[ident.Node]received{}
		now := start
		for sequence := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			node := rapid.SampledFrom(nodes).Draw(t, "node")
			latest := &demand.Report{Node: node, Incarnation: 1, Sequence: int64(sequence + 1)}
			online := map[ident.Incarnation]int{}
			for _, runner := range runners {
				if rapid.Bool().Draw(t, "told") {
					online[runner] = rapid.IntRange(0, 5).Draw(t, "online")
					latest.Counts = append(latest.Counts, demand.Count{Runner: runner, Online: online[runner]})
				}
			}
			ledger.Record(latest, now)
			newest[node] = received{at: now, online: online}
			queryTime := now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "later")) * time.Millisecond)
			now = queryTime
			for _, runner := range runners {
				for _, except := range append(nodes, "") {
					want, any := 0, false
					for node, known := range newest {
						fresh := queryTime.Sub(known.at) <= demand.Lifetime
						any = any || fresh
						if fresh && node != except {
							want += known.online[runner]
						}
					}
					assert.Equal(t, ledger.Online(runner, except, queryTime), want)
					assert.Equal(t, ledger.Any(queryTime), any)
				}
			}
		}
	})
}

// fakeWork is the online work at one runner, owned by the worker "w".
type fakeWork struct {
	mutex  sync.Mutex
	online int
	// suspect marks the runner as suspected.
	suspect bool
	taken   []demand.Share
}

func (f *fakeWork) set(online int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.online = online
}

func (f *fakeWork) Online([]string) map[string]demand.OwnerDemand {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.online == 0 && !f.suspect {
		return map[string]demand.OwnerDemand{}
	}
	return map[string]demand.OwnerDemand{"w": {Counts: []demand.Count{{Runner: "r", Online: f.online, Suspect: f.suspect}}}}
}

func (f *fakeWork) Take(_ string, answer *demand.Answer, _ time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.taken = answer.Shares
}

// fakeWorker stores reports in a ledger, and fails all calls while it is down.
type fakeWorker struct {
	mutex  sync.Mutex
	down   bool
	ledger demand.Ledger
	// suspected counts the reports that suspect the runner.
	suspected int
}

func (w *fakeWorker) send(_ context.Context, address string, report *demand.Report) (*demand.Answer, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.down || address != "w" {
		return nil, failure.Kind("away")
	}
	w.ledger.Record(report, time.Now())
	for _, count := range report.Counts {
		if count.Suspect {
			w.suspected++
		}
	}
	return &demand.Answer{Shares: []demand.Share{{Runner: "r", Others: 2}}}, nil
}

func (w *fakeWorker) setDown(down bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.down = down
}

func (w *fakeWorker) online() int { return w.ledger.Online("r", "", time.Now()) }

// TestWorkerReceivesEachChange checks that a start is reported at once and an end soon, that unchanged work is
// reported repeatedly, and that it is reported anew after the worker was down.
func TestWorkerReceivesEachChange(t *testing.T) {
	work, worker := &fakeWork{}, &fakeWorker{}
	reporter := demand.NewReporter("front", work, time.Now)
	reporter.Send = worker.send
	supervisor := new(tomb.Tomb)
	reporter.Start(supervisor)
	t.Cleanup(func() {
		supervisor.Kill(nil)
		_ = supervisor.Wait()
	})
	change := func(online int, started bool) {
		work.set(online)
		reporter.Changed(started)
	}
	expectOnline := func(online int) {
		t.Helper()
		for range 2000 {
			if worker.online() == online {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
		t.Fatalf("the worker received %d requests, want %d", worker.online(), online)
	}
	change(1, true)
	expectOnline(1)
	change(3, true)
	expectOnline(3)
	change(2, false)
	expectOnline(2)
	time.Sleep(demand.Lifetime + demand.IdleRefreshInterval)
	expectOnline(2)
	worker.setDown(true)
	change(4, true)
	time.Sleep(2 * demand.IdleRefreshInterval)
	worker.setDown(false)
	expectOnline(4)
	change(0, false)
	expectOnline(0)
	work.mutex.Lock()
	work.suspect = true
	work.mutex.Unlock()
	reporter.Changed(false)
	suspicionReceived := func() bool {
		worker.mutex.Lock()
		defer worker.mutex.Unlock()
		return worker.suspected > 0
	}
	for end := time.Now().Add(10 * time.Second); !suspicionReceived() && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
	}
	assert.Assert(t, suspicionReceived(), "a suspected runner without work was not reported")
	work.mutex.Lock()
	defer work.mutex.Unlock()
	assert.DeepEqual(t, work.taken, []demand.Share{{Runner: "r", Others: 2}})
}

// TestReportOfASilentNodeExpires states the bound that docs/design/beliefs.md gives for demand.
func TestReportOfASilentNodeExpires(t *testing.T) {
	const expiresAfter = 1500 * time.Millisecond
	var ledger demand.Ledger
	ledger.Record(report("a", 1, 1, 3), start)
	assert.Equal(t, ledger.Online("r", "", start.Add(expiresAfter)), 3)
	assert.Equal(t, ledger.Online("r", "", start.Add(expiresAfter+time.Millisecond)), 0)
}
