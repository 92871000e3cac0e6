package queuecapacity

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/ident"
)

const (
	testHolders = 3
	testBound   = 1000
)

// site is a route's account holders without a network, with a simulated store and disks. Each account holder follows the
// store's list at a different pace.
type site struct {
	now     time.Time
	holders []*Ledger
	// eventsRead is the number of store events that each account holder has read.
	eventsRead []int
	events     []storeEvent
	// queued are the jobs whose acceptance was reported to their callers, with their unfinished tokens.
	queued map[ident.Job]int
	// unlisted are those of them that are only on disks.
	unlisted map[ident.Job]bool
	attempts int
	// unsure are the account holders that were restarted and cannot vouch for their account yet: they have not read all
	// store events, or were not told of the jobs on disks.
	unsure map[int]bool
}

// storeEvent lists a job as open, or as no longer open.
type storeEvent struct {
	job    DiskJob
	closed bool
}

func newSite() *site {
	s := &site{
		now: time.Unix(1000, 0), eventsRead: make([]int, testHolders), queued: map[ident.Job]int{}, unlisted: map[ident.Job]bool{},
		unsure: map[int]bool{},
	}
	for range testHolders {
		s.holders = append(s.holders, &Ledger{})
	}
	return s
}

func (s *site) sum() int {
	sum := 0
	for _, tokens := range s.queued {
		sum += tokens
	}
	return sum
}

// follow has an account holder read some of the store's events.
func (s *site) follow(holder, events int) {
	for ; events > 0 && s.eventsRead[holder] < len(s.events); events-- {
		next := s.events[s.eventsRead[holder]]
		if next.closed {
			s.holders[holder].Unlist(next.job.Job, s.now)
		} else {
			s.holders[holder].List(next.job, s.now)
		}
		s.eventsRead[holder]++
	}
}

// ask asks account holders for capacity, in the order given.
func (s *site) ask(question *CapacityRequest, reached []int) (Verdict, Count) {
	var answers []*Answer
	for _, holder := range reached {
		answers = append(answers, s.holders[holder].Reserve(question, !s.unsure[holder], int64(1+s.eventsRead[holder]), s.now))
	}
	count := Combine(answers)
	return Decide(count, testHolders, question.Tokens, testBound), count
}

func (s *site) question(job ident.Job, tokens int) *CapacityRequest {
	s.attempts++
	return &CapacityRequest{Route: "r", ReservedJob: ReservedJob{Job: job, Tokens: tokens}, Attempt: fmt.Sprint(s.attempts)}
}

// reached draws which account holders a node reaches, at least a majority, and in which order.
func reached(t *rapid.T) []int {
	order := rapid.Permutation([]int{0, 1, 2}).Draw(t, "order")
	return order[:rapid.IntRange(Majority(testHolders), testHolders).Draw(t, "reached")]
}

// TestBoundHoldsWhicheverMajorityIsAsked draws jobs accepted by the store or on disks, account holders that follow the list
// late, are restarted and are only partly reached, finished items and lost updates. All queued tokens must fit the bound at
// every step.
func TestBoundHoldsWhicheverMajorityIsAsked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite()
		jobs := 0
		steps := rapid.IntRange(1, 80).Draw(t, "steps")
		for range steps {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1, 2:
				jobs++
				s.acceptJob(t, ident.Job(fmt.Sprint("j", jobs)))
			case 3:
				s.follow(rapid.IntRange(0, testHolders-1).Draw(t, "keeper"), rapid.IntRange(1, 5).Draw(t, "events"))
			case 4:
				s.deliver(t)
			case 5:
				s.finishJob(t)
			case 6:
				s.restart(rapid.IntRange(0, testHolders-1).Draw(t, "keeper"))
			}
			s.now = s.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond)
			s.reportDisks(t)
			assert.Assert(t, s.sum() <= testBound, "%d tokens are queued", s.sum())
		}
	})
}

// acceptJob has a node accept a job if there is capacity: in the store, or only on disks.
func (s *site) acceptJob(t *rapid.T, job ident.Job) {
	tokens := rapid.IntRange(1, testBound/4).Draw(t, "tokens")
	question := s.question(job, tokens)
	asked := reached(t)
	verdict, _ := s.ask(question, asked)
	if verdict != Fits {
		for _, holder := range asked {
			s.holders[holder].Release(&Release{Job: job, Attempt: question.Attempt})
		}
		return
	}
	s.queued[job] = tokens
	if rapid.Bool().Draw(t, "disks") {
		s.unlisted[job] = true
		return
	}
	s.events = append(s.events, storeEvent{job: DiskJob{Route: "r", ReservedJob: question.ReservedJob}})
}

// restart has an account holder lose its account. It is unsure until it has read all store events and was told of the jobs on
// disks.
func (s *site) restart(holder int) {
	s.holders[holder], s.eventsRead[holder], s.unsure[holder] = &Ledger{}, 0, true
}

// deliver has the store accept a job that was on disks.
func (s *site) deliver(t *rapid.T) {
	for _, job := range s.sortedUnlisted() {
		if rapid.Bool().Draw(t, "hand over") {
			delete(s.unlisted, job)
			s.events = append(s.events, storeEvent{job: DiskJob{Route: "r", ReservedJob: ReservedJob{Job: job, Tokens: s.queued[job]}}})
			return
		}
	}
}

func (s *site) sortedUnlisted() []ident.Job {
	var jobs []ident.Job
	for job := range s.unlisted {
		jobs = append(jobs, job)
	}
	slices.Sort(jobs)
	return jobs
}

// finishJob finishes the oldest listed job that is open.
func (s *site) finishJob(*rapid.T) {
	for _, event := range s.events {
		if _, open := s.queued[event.job.Job]; open && !event.closed && !s.unlisted[event.job.Job] {
			delete(s.queued, event.job.Job)
			s.events = append(s.events, storeEvent{job: event.job, closed: true})
			return
		}
	}
}

// reportDisks sends the jobs on disks to the account holders; some updates are lost.
func (s *site) reportDisks(t *rapid.T) {
	var news Report
	for _, job := range s.sortedUnlisted() {
		news.Kept = append(news.Kept, DiskJob{Route: "r", ReservedJob: ReservedJob{Job: job, Tokens: s.queued[job]}})
	}
	for index, holder := range s.holders {
		if rapid.IntRange(0, 2).Draw(t, "lost") > 0 {
			holder.Apply(&news, s.now)
			if s.eventsRead[index] == len(s.events) {
				delete(s.unsure, index)
			}
		}
	}
}

// TestJobsThatCrossAreNotBothMissed has two nodes ask at the same time, in any order of arrival at each account holder. At an
// account holder that both reach, one request arrives after the other and must count it.
func TestJobsThatCrossAreNotBothMissed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite()
		first, second := s.question("a", testBound*2/3), s.question("b", testBound*2/3)
		toFirst, toSecond := reached(t), reached(t)
		answers := map[*CapacityRequest][]*Answer{}
		for holder := range testHolders {
			order := []*CapacityRequest{first, second}
			if rapid.Bool().Draw(t, "second first") {
				slices.Reverse(order)
			}
			for _, question := range order {
				asked := toFirst
				if question == second {
					asked = toSecond
				}
				if slices.Contains(asked, holder) {
					answers[question] = append(answers[question], s.holders[holder].Reserve(question, true, 1, s.now))
				}
			}
		}
		fit := 0
		for question, all := range answers {
			if Decide(Combine(all), testHolders, question.Tokens, testBound) == Fits {
				fit++
			}
		}
		assert.Assert(t, fit <= 1, "both jobs were accepted")
	})
}

// TestCapacityIsReleased has a job that is refused, one whose node is never heard of again, and one that is finished. Each must
// release its capacity; the second only after its reservation has expired.
func TestCapacityIsReleased(t *testing.T) {
	s := newSite()
	all := []int{0, 1, 2}
	fits := func(job ident.Job, tokens int) bool {
		question := s.question(job, tokens)
		verdict, _ := s.ask(question, all)
		for _, holder := range s.holders {
			holder.Release(&Release{Job: job, Attempt: question.Attempt})
		}
		return verdict == Fits
	}
	verdict, _ := s.ask(s.question("lost", 600), all)
	assert.Equal(t, verdict, Fits)
	assert.Assert(t, !fits("a", 600))
	assert.Assert(t, fits("b", 400), "a refused job still takes capacity")
	s.now = s.now.Add(reservationTTL)
	assert.Assert(t, fits("a", 1000))

	s.events = append(s.events, storeEvent{job: DiskJob{Route: "r", ReservedJob: ReservedJob{Job: "open", Tokens: 900}}})
	for holder := range s.holders {
		s.follow(holder, 1)
	}
	assert.Assert(t, !fits("a", 200))
	for _, holder := range s.holders {
		holder.Apply(&Report{Left: []UnfinishedJob{{Job: "open", Tokens: 700}}}, s.now)
	}
	assert.Assert(t, fits("a", 300), "finished items still take capacity")
	s.events = append(s.events, storeEvent{job: s.events[0].job, closed: true})
	for holder := range s.holders {
		s.follow(holder, 1)
	}
	assert.Assert(t, fits("a", 1000))
	// A worker with outdated state reports the finished job on disk once more.
	for _, holder := range s.holders {
		holder.Apply(&Report{Kept: []DiskJob{s.events[0].job}}, s.now)
	}
	assert.Assert(t, fits("a", 1000))
}

// TestResubmittedJobIsCountedOnce submits a job at a second node while the first is still trying. If one of the two gives
// up, the job must keep its capacity.
func TestResubmittedJobIsCountedOnce(t *testing.T) {
	s := newSite()
	all := []int{0, 1, 2}
	first := s.question("a", 900)
	verdict, _ := s.ask(first, all)
	assert.Equal(t, verdict, Fits)
	verdict, count := s.ask(s.question("a", 900), all)
	assert.Equal(t, verdict, Fits)
	assert.Assert(t, count.Asked)
	for _, holder := range s.holders {
		holder.Release(&Release{Job: "a", Attempt: first.Attempt})
	}
	verdict, _ = s.ask(s.question("b", 200), all)
	assert.Equal(t, verdict, Full)
}

// TestRepeatedRequestIsNotAnotherAttempt guards against an indefinite refusal that arises when a node's repeated request
// is mistaken for that of another attempt.
func TestRepeatedRequestIsNotAnotherAttempt(t *testing.T) {
	s := newSite()
	question := s.question("a", 900)
	for range 2 {
		_, count := s.ask(question, []int{0, 1})
		assert.Assert(t, !count.Asked)
	}
	_, count := s.ask(s.question("a", 900), []int{0, 1})
	assert.Assert(t, count.Asked)
}

// TestFinishedJobIsNotDenied submits a job again after all of it was finished. It must count as accepted for as long as
// callers may ask for it, and take no capacity. In a full queue it still fits, and a new job does not.
func TestFinishedJobIsNotDenied(t *testing.T) {
	ledger, now := &Ledger{}, time.Unix(1000, 0)
	ledger.List(DiskJob{Route: "r", ReservedJob: ReservedJob{Job: "a", Tokens: 10}}, now)
	ledger.Unlist("a", now)
	for _, after := range []time.Duration{0, time.Minute} {
		answer := ledger.Reserve(&CapacityRequest{Route: "r", ReservedJob: ReservedJob{Job: "a", Tokens: 10}, Attempt: "1"}, true, 1, now.Add(after))
		assert.Assert(t, answer.Taken)
		assert.Equal(t, ledger.QueuedTokens("r", "", now.Add(after)), 0)
	}
	now = now.Add(time.Minute)
	ledger.List(DiskJob{Route: "r", ReservedJob: ReservedJob{Job: "fills", Tokens: testBound}}, now)
	for job, verdict := range map[ident.Job]Verdict{"a": Fits, "new": Full} {
		answer := ledger.Reserve(&CapacityRequest{Route: "r", ReservedJob: ReservedJob{Job: job, Tokens: 10}, Attempt: "2"}, true, 1, now)
		assert.Equal(t, Decide(Combine([]*Answer{answer, answer}), testHolders, 10, testBound), verdict, "job %s", job)
	}
}

// TestTenantsHaveSeparateQueues has jobs of two tenants and one without a tenant on a route. The tenant of the latter is
// unknown, so it must count for both.
func TestTenantsHaveSeparateQueues(t *testing.T) {
	ledger, now := &Ledger{}, time.Unix(1000, 0)
	ledger.List(DiskJob{Route: "r", Tenant: "a", ReservedJob: ReservedJob{Job: "of-a", Tokens: 1}}, now)
	ledger.List(DiskJob{Route: "r", Tenant: "b", ReservedJob: ReservedJob{Job: "of-b", Tokens: 10}}, now)
	ledger.List(DiskJob{Route: "r", ReservedJob: ReservedJob{Job: "of-nobody", Tokens: 100}}, now)
	ledger.List(DiskJob{Route: "s", Tenant: "a", ReservedJob: ReservedJob{Job: "elsewhere", Tokens: 1000}}, now)
	assert.Equal(t, ledger.QueuedTokens("r", "a", now), 101)
	assert.Equal(t, ledger.QueuedTokens("r", "b", now), 110)
	assert.Equal(t, ledger.QueuedTokens("r", "", now), 111)
}

// TestLoweredBoundAcceptsNothingNew has more tokens queued than a lowered bound allows: nothing may be accepted until it
// fits again.
func TestLoweredBoundAcceptsNothingNew(t *testing.T) {
	count := Count{Answers: 2, Sure: 2, Waiting: 800}
	assert.Equal(t, Decide(count, testHolders, 1, 500), Full)
	assert.Equal(t, Decide(count, testHolders, 200, testBound), Fits)
	count.Sure = 1
	assert.Equal(t, Decide(count, testHolders, 1, testBound), Uncertain)
	assert.Equal(t, Decide(Count{}, 0, 1, testBound), NoAnswer)
}

// TestAccountHoldersStayInAnOutage has registrations expire in an outage and return. The holders of a route's account must stay the
// same meanwhile, and one that does not return must be replaced.
func TestAccountHoldersStayInAnOutage(t *testing.T) {
	var roster Roster
	now := time.Unix(1000, 0)
	workers := []Worker{{Node: "a", Zone: "1"}, {Node: "b", Zone: "1"}, {Node: "c", Zone: "2"}, {Node: "d", Zone: "3"}, {Node: "e", Zone: "3"}}
	roster.Update(workers, now)
	before := roster.AccountHolders("r", 1, now)
	assert.Equal(t, len(before), 3)
	zones := map[ident.Zone]bool{}
	for _, holder := range before {
		zones[holder.Zone] = true
	}
	assert.Equal(t, len(zones), 3, "the loss of a zone would affect two account holders")
	without := slices.DeleteFunc(slices.Clone(workers), func(worker Worker) bool { return worker == before[0] })
	roster.Update(without, now)
	roster.Update(nil, now)
	assert.DeepEqual(t, roster.AccountHolders("r", 1, now.Add(unregisteredGrace-1)), before)
	assert.Assert(t, !slices.Contains(roster.AccountHolders("r", 1, now.Add(unregisteredGrace)), before[0]))
	roster.Update(workers, now.Add(unregisteredGrace))
	assert.DeepEqual(t, roster.AccountHolders("r", 1, now.Add(unregisteredGrace)), before)
	assert.Equal(t, len(roster.AccountHolders("r", 2, now.Add(unregisteredGrace))), 5)
}

// TestRetryDelayOfRefusedCallers checks when callers refused by a full queue may retry: when the tokens that exceed the
// bound are expected to be finished, with jitter.
func TestRetryDelayOfRefusedCallers(t *testing.T) {
	count := Count{Waiting: testBound, Freed: 100}
	assert.Equal(t, RetryAfter(count, 100, testBound, 0), time.Second)
	assert.Equal(t, RetryAfter(count, 100, testBound, 1), 1500*time.Millisecond)
	assert.Equal(t, RetryAfter(count, 1, testBound, 0), minRetryDelay)
	assert.Equal(t, RetryAfter(count, 900, testBound, 0), maxRetryDelay)
	count.Freed = 0
	assert.Equal(t, RetryAfter(count, 1, testBound, 0), defaultRetryDelay)
}

// TestJobIsCountedOnceByAccountHoldersOfDifferentAge has one account holder that has read a job as listed, one that has
// only a reservation for it, and one that does not know it. Any two of them must count the job exactly once.
func TestJobIsCountedOnceByAccountHoldersOfDifferentAge(t *testing.T) {
	s := newSite()
	question := s.question("a", 600)
	s.ask(question, []int{0, 1})
	s.events = append(s.events, storeEvent{job: DiskJob{Route: "r", ReservedJob: question.ReservedJob}})
	s.follow(0, 1)
	for _, asked := range [][]int{{0, 1}, {1, 0}, {0, 2}, {2, 0}, {1, 2}} {
		_, count := s.ask(s.question("b", 1), asked)
		assert.Equal(t, count.Waiting, 600, "account holders %v", asked)
		for _, holder := range s.holders {
			holder.Release(&Release{Job: "b", Attempt: fmt.Sprint(s.attempts)})
		}
	}
}
