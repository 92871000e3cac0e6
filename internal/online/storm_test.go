package online_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/connpool"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/online"
	"mallowlatch.example/mallowlatch/internal/poison"
	"mallowlatch.example/mallowlatch/internal/poisonwatch"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

// The load of an incident: 9 nodes, 18 runners of 12 slots, and 75 requests a second, each of which runs for 60 to 250 ms or
// for up to two seconds. Beside them each poison request, which ends its runner, arrives eight times a second at any node.
// Each caller tries twice.
const (
	stormNodes   = 9
	stormRunners = 18
	stormSlots   = 12
	stormRate    = 75
	stormBadRate = 8
	stormLasts   = 30 * time.Second
	// stormShortest is the least duration of a run.
	stormShortest = 60 * time.Millisecond
	// stormRestart is the time until a runner that ended is replaced, stormEntryTTL the time until its registry entry is gone.
	stormRestart  = 3200 * time.Millisecond
	stormEntryTTL = 3600 * time.Millisecond
	// stormReportInterval is the time between exchanges of records among nodes: that of the slowest channel.
	stormReportInterval = 600 * time.Millisecond
	// stormConvergence is the time within which all nodes must know a poison request.
	stormConvergence = 3 * time.Second
)

// stormSite is the set of runners, which some requests end. Its mutex guards all fields.
type stormSite struct {
	mutex  sync.Mutex
	random *rand.Rand
	// longest is the greatest duration of a run.
	longest time.Duration
	runners map[ident.Incarnation]*stormRunner
	started int
	// thirdEnd is when the third runner ended under each poison request, ends how many ended, late the runs sent after
	// stormConvergence.
	ends     map[string]int
	thirdEnd map[string]time.Time
	late     map[string]int
}

type stormRunner struct {
	work    work.Runner
	running int
	ended   chan struct{}
	gone    bool
}

func newStormSite(random *rand.Rand, longest time.Duration) *stormSite {
	s := &stormSite{
		random: random, longest: longest, runners: map[ident.Incarnation]*stormRunner{}, ends: map[string]int{}, thirdEnd: map[string]time.Time{},
		late: map[string]int{},
	}
	for range stormRunners {
		s.start()
	}
	return s
}

// start starts a runner. The caller holds the mutex, except during construction.
func (s *stormSite) start() {
	s.started++
	id := ident.Incarnation(fmt.Sprint("r", s.started))
	s.runners[id] = &stormRunner{work: work.Runner{ID: id, Service: "s", Version: "v1", Zone: "z", Slots: stormSlots}, ended: make(chan struct{})}
}

// listed returns the runners in the registry.
func (s *stormSite) listed() []work.Runner {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var listed []work.Runner
	for _, runner := range s.runners {
		listed = append(listed, runner.work)
	}
	return listed
}

// end ends a runner under a poison request.
func (s *stormSite) end(runner *stormRunner, body string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if runner.gone {
		return
	}
	runner.gone = true
	close(runner.ended)
	s.ends[body]++
	if s.ends[body] == 3 {
		s.thirdEnd[body] = time.Now()
	}
	time.AfterFunc(stormRestart, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.start()
	})
	time.AfterFunc(stormEntryTTL, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.runners, runner.work.ID)
	})
}

// Send implements work.Caller.
func (s *stormSite) Send(ctx context.Context, attempt work.Attempt) (*work.Reply, error) {
	s.mutex.Lock()
	runner := s.runners[attempt.Runner.ID]
	if runner == nil || runner.gone {
		s.mutex.Unlock()
		return nil, fmt.Errorf("%w: %w", connpool.ErrNotSent, connpool.ErrConnectionRefused)
	}
	if runner.running == stormSlots {
		s.mutex.Unlock()
		return &work.Reply{NotRun: true, Body: http.NoBody}, nil
	}
	runner.running++
	takes := stormShortest + time.Duration(s.random.Int64N(int64(s.longest-stormShortest)))
	body := string(attempt.Request.Body)
	bad := attempt.Request.Path == "/bad"
	if third, known := s.thirdEnd[body]; bad && known && time.Since(third) > stormConvergence {
		s.late[body]++
	}
	s.mutex.Unlock()
	defer func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		runner.running--
	}()
	select {
	case <-time.After(takes):
	case <-runner.ended:
		return nil, connpool.ErrNoResponse
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", connpool.ErrNoResponse, ctx.Err())
	}
	if bad {
		s.end(runner, body)
		return nil, connpool.ErrNoResponse
	}
	return answer(http.StatusOK, "done"), nil
}

// Report implements work.Caller.
func (s *stormSite) Report(_ context.Context, runner work.Runner) (work.Load, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if known := s.runners[runner.ID]; known == nil || known.gone {
		return work.Load{}, fmt.Errorf("%w: %w", connpool.ErrNotSent, connpool.ErrConnectionRefused)
	}
	return work.Load{}, nil
}

// Forget implements work.Caller.
func (s *stormSite) Forget(work.Runner) {}

// stormResult is the result of a simulated storm.
type stormResult struct {
	// served and asked count the good requests, refused those of them that were refused as poison.
	served, asked, refused int
	// ended counts the runners that ended, late is the largest number of runs of one poison request after stormConvergence.
	ended, late int
}

// storm describes a load.
type storm struct {
	seed uint64
	// bad is the number of poison requests, longest the greatest duration of a run.
	bad     int
	longest time.Duration
}

// run simulates the load, with or without the detection of poison requests.
func (s storm) run(t *testing.T, watched bool) (result stormResult) {
	simulated.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(s.seed, 0))
		site, supervisor := newStormSite(rand.New(rand.NewPCG(s.seed, 1)), s.longest), new(tomb.Tomb)
		over := make(chan struct{})
		supervisor.Go(func() error { <-over; return nil })
		var nodes []*online.Forwarder
		for index := range stormNodes {
			table := runnertable.New("z")
			node := &online.Forwarder{Runners: table, Caller: site, Key: poison.Key("k"), Logger: zerolog.Nop(), Now: time.Now}
			if watched {
				node.PoisonWatch = &poisonwatch.Watch{
					Book: poison.NewBook(int64(index + 1)), Runners: table, Caller: site, Tomb: supervisor, Logger: zerolog.Nop(), Now: time.Now,
				}
			}
			nodes = append(nodes, node)
		}
		supervisor.Go(func() error { refreshRunnerLists(supervisor, site, nodes); return nil })
		if watched {
			supervisor.Go(func() error { exchangeRecords(supervisor, nodes); return nil })
		}
		var mutex sync.Mutex
		var asked sync.WaitGroup
		ask := func(path, body string) {
			at := [2]int{random.IntN(stormNodes), random.IntN(stormNodes)}
			asked.Go(func() {
				err := sendStorm(nodes[at[0]], path, body)
				if err != nil {
					err = sendStorm(nodes[at[1]], path, body)
				}
				mutex.Lock()
				defer mutex.Unlock()
				var rejection *failure.Error
				switch {
				case path == "/bad":
					return
				case err == nil:
					result.served++
				case errors.As(err, &rejection) && rejection.Code == failure.CodeEndsRunners:
					result.refused++
				}
				result.asked++
			})
		}
		time.Sleep(time.Second)
		rate := stormRate + s.bad*stormBadRate
		for began := time.Now(); time.Since(began) < stormLasts; {
			time.Sleep(time.Duration(random.ExpFloat64() / float64(rate) * float64(time.Second)))
			if random.IntN(rate) < stormRate {
				ask("/good", fmt.Sprint("question ", random.Uint64()))
			} else {
				ask("/bad", fmt.Sprint("bad ", random.IntN(s.bad)))
			}
		}
		asked.Wait()
		supervisor.Kill(nil)
		close(over)
		_ = supervisor.Wait()
		for _, ends := range site.ends {
			result.ended += ends
		}
		for _, late := range site.late {
			result.late = max(result.late, late)
		}
	})
	return result
}

// refreshRunnerLists has each node read the list of runners every second.
func refreshRunnerLists(supervisor *tomb.Tomb, site *stormSite, nodes []*online.Forwarder) {
	for supervisor.Alive() {
		for _, node := range nodes {
			node.Runners.Replace(site.listed(), time.Now(), true)
		}
		time.Sleep(time.Second)
	}
}

// exchangeRecords has nodes send their records to a worker and read its records, as rarely as the protocol allows.
func exchangeRecords(supervisor *tomb.Tomb, nodes []*online.Forwarder) {
	worker := poison.NewBook(1000)
	cursors := make([]poison.Cursor, len(nodes))
	for supervisor.Alive() {
		now := time.Now()
		for _, node := range nodes {
			worker.Learn(node.PoisonWatch.Book.TakeUnsent(now), now, true)
		}
		time.Sleep(stormReportInterval)
		now = time.Now()
		for index, node := range nodes {
			records := worker.Since(cursors[index], now, true)
			cursors[index] = records.After(cursors[index])
			node.PoisonWatch.ApplyRecords(records.Records, false)
		}
	}
}

func sendStorm(node *online.Forwarder, path, body string) error {
	route := &work.Route{
		Name: "r", Kind: work.Idempotent, MaximumAttempts: 2, Objective: 250 * time.Millisecond, Timeout: 4 * time.Second,
		Split: []work.WeightedService{{Service: "s", Weight: 1}},
	}
	request := &work.Request{
		ID: ident.Request(fmt.Sprint(rand.Uint64())), Method: http.MethodPost, Path: path, Body: []byte(body),
		Arrived: time.Now(), Deadline: time.Now().Add(4 * time.Second),
	}
	writer := &recorder{}
	err := node.Serve(context.Background(), route, request, writer)
	if err == nil && writer.status != http.StatusOK {
		return io.ErrUnexpectedEOF
	}
	return err
}

// TestStormOfRequestsThatEndRunners simulates the load of an incident in which poison requests, which end their runners,
// arrive repeatedly at all nodes among other requests. Once three runners have ended under one and the records had time to
// reach all nodes, it may run three more times at most. Of the good requests, which merely ran beside them, no more than one
// in a thousand may be refused as poison.
func TestStormOfRequestsThatEndRunners(t *testing.T) {
	for seed := range uint64(2) {
		for _, load := range []storm{
			{seed, 3, 250 * time.Millisecond}, {seed, 10, 250 * time.Millisecond}, {seed, 10, 2 * time.Second},
		} {
			before, after := load.run(t, false), load.run(t, true)
			t.Logf("%+v: without detection %+v, with detection %+v", load, before, after)
			assert.Assert(t, after.late <= 3, "a bad request was run %d times more", after.late)
			assert.Assert(t, after.refused*1000 <= after.asked, "%d good requests were refused", after.refused)
			assert.Assert(t, after.ended < before.ended/2, "%d runners ended, %d before", after.ended, before.ended)
			assert.Assert(t, after.served > before.served)
		}
	}
}
