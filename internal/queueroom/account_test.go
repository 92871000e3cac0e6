package queueroom

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
	testKeepers = 3
	testBound   = 1000
)

// site is a route's keepers without a network, before a store and disks. Each keeper follows the store's list at its own pace.
type site struct {
	now     time.Time
	keepers []*Ledger
	// follows is how far each keeper has read the store's events.
	follows []int
	events  []storeEvent
	// waiting are the jobs that callers were told are taken, with what is not finished of them.
	waiting map[ident.Job]int
	// unlisted are those of them that only disks have.
	unlisted map[ident.Job]bool
	attempts int
}

// storeEvent is a job that is listed, or is open no more.
type storeEvent struct {
	job  Kept
	over bool
}

func newSite() *site {
	s := &site{now: time.Unix(1000, 0), follows: make([]int, testKeepers), waiting: map[ident.Job]int{}, unlisted: map[ident.Job]bool{}}
	for range testKeepers {
		s.keepers = append(s.keepers, &Ledger{})
	}
	return s
}

func (s *site) sum() int {
	sum := 0
	for _, tokens := range s.waiting {
		sum += tokens
	}
	return sum
}

// follow has a keeper read some of the store's events.
func (s *site) follow(keeper, events int) {
	for ; events > 0 && s.follows[keeper] < len(s.events); events-- {
		next := s.events[s.follows[keeper]]
		if next.over {
			s.keepers[keeper].Unlist(next.job.Job, s.now)
		} else {
			s.keepers[keeper].List(next.job, s.now)
		}
		s.follows[keeper]++
	}
}

// ask asks keepers for room, in the order given.
func (s *site) ask(question *Question, reached []int) (Verdict, Count) {
	var answers []*Answer
	for _, keeper := range reached {
		answers = append(answers, s.keepers[keeper].Place(question, true, int64(1+s.follows[keeper]), s.now))
	}
	count := Sum(answers)
	return Decide(count, testKeepers, question.Tokens, testBound), count
}

func (s *site) question(job ident.Job, tokens int) *Question {
	s.attempts++
	return &Question{Route: "r", Held: Held{Job: job, Tokens: tokens}, Attempt: fmt.Sprint(s.attempts)}
}

// reached draws which keepers a node reaches, a majority at least, and in which order.
func reached(t *rapid.T) []int {
	order := rapid.Permutation([]int{0, 1, 2}).Draw(t, "order")
	return order[:rapid.IntRange(Majority(testKeepers), testKeepers).Draw(t, "reached")]
}

// TestBoundHoldsWhicheverMajorityIsAsked draws jobs that are taken by the store or on disks, keepers that follow the list late and are
// reached in part, restarts, finished items and lost tellings. Whatever is taken fits beside all that waits.
func TestBoundHoldsWhicheverMajorityIsAsked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite()
		jobs := 0
		steps := rapid.IntRange(1, 80).Draw(t, "steps")
		for range steps {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				jobs++
				s.takeJob(t, ident.Job(fmt.Sprint("j", jobs)))
			case 3:
				s.follow(rapid.IntRange(0, testKeepers-1).Draw(t, "keeper"), rapid.IntRange(1, 5).Draw(t, "events"))
			case 4:
				s.handOver(t)
			case 5:
				s.finishJob(t)
			}
			s.now = s.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond)
			s.tellDisks(t)
			assert.Assert(t, s.sum() <= testBound, "%d wait", s.sum())
		}
	})
}

// takeJob has a node take a job if there is room: it is listed, or on disks alone.
func (s *site) takeJob(t *rapid.T, job ident.Job) {
	tokens := rapid.IntRange(1, testBound/4).Draw(t, "tokens")
	question := s.question(job, tokens)
	places := reached(t)
	verdict, _ := s.ask(question, places)
	if verdict != Fits {
		for _, keeper := range places {
			s.keepers[keeper].Release(&Release{Job: job, Attempt: question.Attempt})
		}
		return
	}
	s.waiting[job] = tokens
	if rapid.Bool().Draw(t, "disks") {
		s.unlisted[job] = true
		return
	}
	s.events = append(s.events, storeEvent{job: Kept{Route: "r", Held: question.Held}})
}

// handOver has the store take a job that was on disks.
func (s *site) handOver(t *rapid.T) {
	for _, job := range s.sortedUnlisted() {
		if rapid.Bool().Draw(t, "hand over") {
			delete(s.unlisted, job)
			s.events = append(s.events, storeEvent{job: Kept{Route: "r", Held: Held{Job: job, Tokens: s.waiting[job]}}})
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

// finishJob ends the oldest listed job that is open.
func (s *site) finishJob(*rapid.T) {
	for _, event := range s.events {
		if _, open := s.waiting[event.job.Job]; open && !event.over && !s.unlisted[event.job.Job] {
			delete(s.waiting, event.job.Job)
			s.events = append(s.events, storeEvent{job: event.job, over: true})
			return
		}
	}
}

// tellDisks has the keepers told of what is on disks, but for some tellings that are lost.
func (s *site) tellDisks(t *rapid.T) {
	var news News
	for _, job := range s.sortedUnlisted() {
		news.Kept = append(news.Kept, Kept{Route: "r", Held: Held{Job: job, Tokens: s.waiting[job]}})
	}
	for _, keeper := range s.keepers {
		if rapid.IntRange(0, 2).Draw(t, "lost") > 0 {
			keeper.Learn(&news, s.now)
		}
	}
}

// TestJobsThatCrossAreNotBothMissed has two nodes ask at the same moment, in each order of arrival at each keeper: at a keeper that both
// reach one is behind the other, and counts it.
func TestJobsThatCrossAreNotBothMissed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite()
		first, second := s.question("a", testBound*2/3), s.question("b", testBound*2/3)
		toFirst, toSecond := reached(t), reached(t)
		answers := map[*Question][]*Answer{}
		for keeper := range testKeepers {
			order := []*Question{first, second}
			if rapid.Bool().Draw(t, "second first") {
				slices.Reverse(order)
			}
			for _, question := range order {
				asked := toFirst
				if question == second {
					asked = toSecond
				}
				if slices.Contains(asked, keeper) {
					answers[question] = append(answers[question], s.keepers[keeper].Place(question, true, 1, s.now))
				}
			}
		}
		fit := 0
		for question, all := range answers {
			if Decide(Sum(all), testKeepers, question.Tokens, testBound) == Fits {
				fit++
			}
		}
		assert.Assert(t, fit <= 1, "both were told that they fit")
	})
}

// TestRoomComesBack has a job refused, one whose node is never heard of again, and one that is finished: each gives its room back, the
// second only once nothing of it can come any more.
func TestRoomComesBack(t *testing.T) {
	s := newSite()
	all := []int{0, 1, 2}
	fits := func(job ident.Job, tokens int) bool {
		question := s.question(job, tokens)
		verdict, _ := s.ask(question, all)
		for _, keeper := range s.keepers {
			keeper.Release(&Release{Job: job, Attempt: question.Attempt})
		}
		return verdict == Fits
	}
	verdict, _ := s.ask(s.question("lost", 600), all)
	assert.Equal(t, verdict, Fits)
	assert.Assert(t, !fits("a", 600))
	assert.Assert(t, fits("b", 400), "what was refused still takes room")
	s.now = s.now.Add(reservedFor)
	assert.Assert(t, fits("a", 1000))

	s.events = append(s.events, storeEvent{job: Kept{Route: "r", Held: Held{Job: "open", Tokens: 900}}})
	for keeper := range s.keepers {
		s.follow(keeper, 1)
	}
	assert.Assert(t, !fits("a", 200))
	for _, keeper := range s.keepers {
		keeper.Learn(&News{Left: []Left{{Job: "open", Tokens: 700}}}, s.now)
	}
	assert.Assert(t, fits("a", 300), "finished items take room")
	s.events = append(s.events, storeEvent{job: s.events[0].job, over: true})
	for keeper := range s.keepers {
		s.follow(keeper, 1)
	}
	assert.Assert(t, fits("a", 1000))
	// A disk that has not heard of it tells of the finished job once more.
	for _, keeper := range s.keepers {
		keeper.Learn(&News{Kept: []Kept{s.events[0].job}}, s.now)
	}
	assert.Assert(t, fits("a", 1000))
}

// TestJobThatComesAgainIsCountedOnce has a job handed in at a second node while the first still tries: one of them gives up, and the other
// keeps its room.
func TestJobThatComesAgainIsCountedOnce(t *testing.T) {
	s := newSite()
	all := []int{0, 1, 2}
	first := s.question("a", 900)
	verdict, _ := s.ask(first, all)
	assert.Equal(t, verdict, Fits)
	verdict, count := s.ask(s.question("a", 900), all)
	assert.Equal(t, verdict, Fits)
	assert.Assert(t, count.Asked)
	for _, keeper := range s.keepers {
		keeper.Release(&Release{Job: "a", Attempt: first.Attempt})
	}
	verdict, _ = s.ask(s.question("b", 200), all)
	assert.Equal(t, verdict, Full)
}

// TestAttemptThatAsksAgainIsNotTakenForAnother guards against a refusal that promises nothing because the node's own question of a moment
// ago was taken for that of another one.
func TestAttemptThatAsksAgainIsNotTakenForAnother(t *testing.T) {
	s := newSite()
	question := s.question("a", 900)
	for range 2 {
		_, count := s.ask(question, []int{0, 1})
		assert.Assert(t, !count.Asked)
	}
	_, count := s.ask(s.question("a", 900), []int{0, 1})
	assert.Assert(t, count.Asked)
}

// TestFinishedJobIsNotDenied has a job handed in again after all of it was finished, while the queue is full: it counts as taken for as long
// as callers may ask for it, and takes no room.
func TestFinishedJobIsNotDenied(t *testing.T) {
	ledger, now := &Ledger{}, time.Unix(1000, 0)
	ledger.List(Kept{Route: "r", Held: Held{Job: "a", Tokens: 10}}, now)
	ledger.Unlist("a", now)
	for _, after := range []time.Duration{0, time.Minute} {
		answer := ledger.Place(&Question{Route: "r", Held: Held{Job: "a", Tokens: 10}, Attempt: "1"}, true, 1, now.Add(after))
		assert.Assert(t, answer.Taken)
		assert.Equal(t, ledger.Waits("r", "", now.Add(after)), 0)
	}
}

// TestQueuesOfTenantsAreApart has two tenants and a job of nobody on one route: whose that is is not known, so that it counts for both.
func TestQueuesOfTenantsAreApart(t *testing.T) {
	ledger, now := &Ledger{}, time.Unix(1000, 0)
	ledger.List(Kept{Route: "r", Tenant: "a", Held: Held{Job: "of-a", Tokens: 1}}, now)
	ledger.List(Kept{Route: "r", Tenant: "b", Held: Held{Job: "of-b", Tokens: 10}}, now)
	ledger.List(Kept{Route: "r", Held: Held{Job: "of-nobody", Tokens: 100}}, now)
	ledger.List(Kept{Route: "s", Tenant: "a", Held: Held{Job: "elsewhere", Tokens: 1000}}, now)
	assert.Equal(t, ledger.Waits("r", "a", now), 101)
	assert.Equal(t, ledger.Waits("r", "b", now), 110)
	assert.Equal(t, ledger.Waits("r", "", now), 111)
}

// TestBoundThatIsLoweredTakesNothingNew has more wait than a bound that was lowered allows: nothing is taken until it fits again.
func TestBoundThatIsLoweredTakesNothingNew(t *testing.T) {
	count := Count{Answers: 2, Sure: 2, Waiting: 800}
	assert.Equal(t, Decide(count, testKeepers, 1, 500), Full)
	assert.Equal(t, Decide(count, testKeepers, 200, testBound), Fits)
	count.Sure = 1
	assert.Equal(t, Decide(count, testKeepers, 1, testBound), Unsure)
	assert.Equal(t, Decide(Count{}, 0, 1, testBound), Unheard)
}

// TestKeepersStayInAnOutage has registrations lapse in an outage, and come back: the keepers of a route are the same all the while, and one
// that is gone for good is replaced.
func TestKeepersStayInAnOutage(t *testing.T) {
	var roster Roster
	now := time.Unix(1000, 0)
	workers := []Worker{{Node: "a", Zone: "1"}, {Node: "b", Zone: "1"}, {Node: "c", Zone: "2"}, {Node: "d", Zone: "3"}, {Node: "e", Zone: "3"}}
	roster.Note(workers, now)
	before := roster.Keepers("r", 1, now)
	assert.Equal(t, len(before), 3)
	zones := map[ident.Zone]bool{}
	for _, keeper := range before {
		zones[keeper.Zone] = true
	}
	assert.Equal(t, len(zones), 3, "the loss of a zone would take two keepers")
	without := slices.DeleteFunc(slices.Clone(workers), func(worker Worker) bool { return worker == before[0] })
	roster.Note(without, now)
	roster.Note(nil, now)
	assert.DeepEqual(t, roster.Keepers("r", 1, now.Add(vanishedFor-1)), before)
	assert.Assert(t, !slices.Contains(roster.Keepers("r", 1, now.Add(vanishedFor)), before[0]))
	roster.Note(workers, now.Add(vanishedFor))
	assert.DeepEqual(t, roster.Keepers("r", 1, now.Add(vanishedFor)), before)
	assert.Equal(t, len(roster.Keepers("r", 2, now.Add(vanishedFor))), 5)
}

// TestCallersComeBackWhenThereIsRoom has callers sent away by a full queue: each comes back once what it lacks is finished, and not all at
// one moment.
func TestCallersComeBackWhenThereIsRoom(t *testing.T) {
	count := Count{Waiting: testBound, Freed: 100}
	assert.Equal(t, ReturnAfter(count, 100, testBound, 0), time.Second)
	assert.Equal(t, ReturnAfter(count, 100, testBound, 1), 1500*time.Millisecond)
	assert.Equal(t, ReturnAfter(count, 1, testBound, 0), soonest)
	assert.Equal(t, ReturnAfter(count, 900, testBound, 0), latest)
	count.Freed = 0
	assert.Equal(t, ReturnAfter(count, 1, testBound, 0), unknownReturn)
}

// TestJobIsCountedOnceThoughKeepersFollowAtDifferentAges has one keeper follow a job as listed that another only knows as asked for, and a
// third never heard of: whichever two answer count it once.
func TestJobIsCountedOnceThoughKeepersFollowAtDifferentAges(t *testing.T) {
	s := newSite()
	question := s.question("a", 600)
	s.ask(question, []int{0, 1})
	s.events = append(s.events, storeEvent{job: Kept{Route: "r", Held: question.Held}})
	s.follow(0, 1)
	for _, asked := range [][]int{{0, 1}, {1, 0}, {0, 2}, {2, 0}, {1, 2}} {
		_, count := s.ask(s.question("b", 1), asked)
		assert.Equal(t, count.Waiting, 600, "keepers %v", asked)
		for _, keeper := range s.keepers {
			keeper.Release(&Release{Job: "b", Attempt: fmt.Sprint(s.attempts)})
		}
	}
}
