package main

import (
	"fmt"
	"os"
	"time"
)

// jobsHandedIn is the number of jobs; the items of every other one have a path that the added route does not begin.
const jobsHandedIn = 24

// nestedRoute hands in batch jobs. With trouble, a new configuration adds a streaming route whose prefix is below that of the batch route and
// begins the paths of the items; the batch route stays as it was.
func nestedRoute(record *record, program string, trouble bool) (int, error) {
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
	if trouble {
		added := configuration(12, nil)
		added["routes"] = append(added["routes"].([]map[string]any), map[string]any{
			"name": "storico", "host": host, "pathPrefix": "/pule252/3/", "kind": "streaming", "timeoutMs": 4000, "targetMs": 800, "priority": 0,
			"service": service, "maxAttempts": 1, "gapAimMs": 250,
		})
		s.store.Put("op/config", added)
		record.say("the operator adds the streaming route /pule252/3/ below the batch route /pule252/")
	}
	time.Sleep(applied + time.Second)
	var jobs []*job
	for index := range jobsHandedIn {
		next := newJob(fmt.Sprintf("7c41e09b52d6a3%02d", index), 8)
		if index%2 == 1 {
			next.path = otherItemPath
		}
		if s.submit(next, "/pule252/7c41e0", fronts, index) {
			jobs = append(jobs, next)
		}
		time.Sleep(500 * time.Millisecond)
	}
	if len(jobs) == 0 {
		return cannotRun, fmt.Errorf("no job was accepted")
	}
	s.awaitResults(jobs, fronts, 20*time.Second+finish)
	return s.judgeDeadLetters(jobs), nil
}

// judgeDeadLetters applies the rule MIXED for results that are dead_letter before a 422, maxAttempts answers of 500, retentionS, or the end of
// their job or of its route. No job is ended here, the route of the jobs stays, and nothing is read later than retentionS.
func (s *site) judgeDeadLetters(jobs []*job) int {
	failed := map[string]int{}
	for _, r := range s.runners {
		for _, one := range r.copies() {
			switch one.status {
			case 422:
				failed[one.id] += maxAttempts
			case 500:
				failed[one.id]++
			}
		}
	}
	dead, completed := 0, 0
	for _, next := range jobs {
		for _, one := range next.results {
			if one.State == "completed" {
				completed++
			}
			if one.State == "dead_letter" && failed[one.ID] < maxAttempts {
				dead++
				s.record.write("%s is dead_letter %.1f s after its job was sent, with no answer of 422 and %d of 500", one.ID, time.Since(next.sent).Seconds(), failed[one.ID])
			}
		}
	}
	s.record.say("%d jobs accepted: %d items completed, %d dead_letter without a reason", len(jobs), completed, dead)
	if dead > 0 {
		s.record.say("MIXED is broken: results are dead_letter before a 422, %d answers of 500, retentionS, or the end of their job or route", maxAttempts)
		return broken
	}
	if lost := s.judgeLost(jobs); lost != held {
		return lost
	}
	s.record.say("MIXED holds")
	return held
}

const maxAttempts = 3
