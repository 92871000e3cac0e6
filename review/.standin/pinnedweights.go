package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

// pinnedWeights hands in one batch job whose items expect a version of the weights, and then jobs that expect none. With trouble, no runner
// has that version, so that each answers 421 to the items of the first job; without, all have it.
func pinnedWeights(record *record, program string, trouble bool) (int, error) {
	s, err := newSite(record, program, []string{"palermo", "catania", "agrigento"})
	if err != nil {
		return cannotRun, err
	}
	defer s.close()
	defer s.keepLogs(os.Getenv("REVIEW_LOGS"))
	fronts, err := s.oneService()
	if err != nil {
		return cannotRun, err
	}
	pinned := newJob("5b90c1d2e3f40617", 8)
	pinned.weights = weights
	if trouble {
		pinned.weights = "2"
		record.say("the items of job %s expect weights 2, the runners have %s", pinned.id, weights)
	}
	if !s.submit(pinned, "/pule252/7c41e0", fronts, 0) {
		return cannotRun, fmt.Errorf("the first job was not accepted")
	}
	time.Sleep(settle)
	var jobs []*job
	for index := range 9 {
		next := newJob(fmt.Sprintf("7c41e09b52d6a3f%d", index), 8)
		if s.submit(next, "/pule252/7c41e0", fronts, index) {
			jobs = append(jobs, next)
		}
		time.Sleep(300 * time.Millisecond)
	}
	if len(jobs) == 0 {
		return cannotRun, fmt.Errorf("no job was accepted")
	}
	s.awaitResults(jobs, fronts, 20*time.Second+finish)
	code := s.judgeLost(jobs)
	s.tryStreams(fronts, "before")
	if trouble {
		// Not judged: what the same header does to the requests of others at a front.
		for index, front := range fronts {
			for try := range 2 {
				status, _ := s.call(http.MethodPost, front.callers, "/lohu930/2f", fmt.Sprintf("9c41d07be2a35f%d%d", index, try), []byte("q"),
					"X-Mallowlatch-Deadline-Ms", "4000", "X-Mallowlatch-Expect-Version", pinned.weights)
				record.write("a stream that expects weights %s at %s: %d", pinned.weights, front.name, status)
			}
		}
		s.tryStreams(fronts, "after")
	}
	return code, nil
}

// settle is the time from the first job to the others.
const settle = 20 * time.Second

// tryStreams sends some ordinary requests to each front and records their answers.
func (s *site) tryStreams(fronts []*process, when string) {
	for index, front := range fronts {
		for try := range 3 {
			status, _ := s.call(http.MethodPost, front.callers, "/lohu930/2f", fmt.Sprintf("9c41d07b%s%d%d", when, index, try), []byte("q"),
				"X-Mallowlatch-Deadline-Ms", "4000")
			s.record.say("an ordinary stream at %s, %s the streams that expect weights: %d", front.name, when, status)
		}
	}
}
