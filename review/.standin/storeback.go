package main

import (
	"fmt"
	"os"
	"time"
)

// Times of the outages: those of a platform_down and a platform_slow of trinacria-prenota, or less.
const (
	outage      = 4500 * time.Millisecond
	slowPeriod  = 3200 * time.Millisecond
	outages     = 6
	betweenEnds = 10500 * time.Millisecond
	// running is the time from the last job to the outage.
	running = 2500 * time.Millisecond
	// lastWait is the time after the last cycle, in which the last jobs have been handed in 12 s before: more than finishS after they are due.
	lastWait = 8*time.Second + finish
	// jobsEach is the number of jobs of itemsEach items that are handed in before each outage.
	jobsEach, itemsEach = 12, 24
)

// storeBack hands in batch jobs all the time. With trouble, the store is down for some seconds, in which leases run out, and slow for some
// seconds after that; this comes several times.
func storeBack(record *record, program string, trouble bool) (int, error) {
	s, err := newSite(record, program, []string{"palermo", "catania", "agrigento"})
	if err != nil {
		return cannotRun, err
	}
	defer s.close()
	defer s.keepLogs(os.Getenv("REVIEW_LOGS"))
	s.runnersEach, s.events, s.spread = 4, 60, 300
	fronts, err := s.oneService()
	if err != nil {
		return cannotRun, err
	}
	var jobs []*job
	for cycle := range outages {
		began := time.Now()
		for index := range jobsEach {
			next := newJob(fmt.Sprintf("7c41e09b52d6a%d%02d", cycle, index), itemsEach)
			if s.submit(next, "/pule252/7c41e0", fronts, index) {
				jobs = append(jobs, next)
			}
		}
		s.readFor(jobs, fronts, running)
		if trouble {
			s.setDown(true)
		}
		s.readFor(jobs, fronts, outage)
		if trouble {
			s.slow.Store(true)
			s.setDown(false)
			record.say("the store answers again, slowly")
		}
		s.readFor(jobs, fronts, slowPeriod)
		if trouble {
			s.slow.Store(false)
			record.say("the store answers as usual")
		}
		s.readFor(jobs, fronts, time.Until(began.Add(betweenEnds)))
	}
	if len(jobs) == 0 {
		return cannotRun, fmt.Errorf("no job was accepted")
	}
	s.awaitResults(jobs, fronts, lastWait)
	return s.judgeResults(jobs, fronts), nil
}

// readFor reads the results of jobs twice a second for a time.
func (s *site) readFor(jobs []*job, fronts []*process, lasts time.Duration) {
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(min(500*time.Millisecond, max(time.Until(end), 0))) {
		for index, next := range jobs {
			if time.Now().Before(end) && len(next.results) < len(next.items) {
				s.read(next, fronts[index%len(fronts)])
			}
		}
	}
}

// judgeResults applies the rules TWICE (one item stands at two positions, a position holds another result than before), MIXED (the total is
// wrong, a text is not the whole output) and LOST (a result that was read does not come again, an item is not listed).
func (s *site) judgeResults(jobs []*job, fronts []*process) int {
	code := held
	if s.judgeEnds() == broken {
		code = broken
	}
	for index, next := range jobs {
		if next.wrongTotal != 0 {
			s.record.say("MIXED is broken: job %s has %d items and was said to have %d", next.id, len(next.items), next.wrongTotal)
			code = broken
		}
		if twice := repeated(next.results); twice != "" {
			s.record.say("TWICE is broken: item %s stands at two positions of job %s", twice, next.id)
			code = broken
		}
		again := &job{id: next.id, items: next.items}
		for range 100 {
			before := len(again.results)
			s.read(again, fronts[(index+1)%len(fronts)])
			if len(again.results) == before {
				break
			}
		}
		if len(again.results) < len(next.results) {
			s.record.say("LOST is broken: %d results of job %s had been read, and %d come again", len(next.results), next.id, len(again.results))
			code = broken
		}
		for position := range min(len(again.results), len(next.results)) {
			if again.results[position] != next.results[position] {
				s.record.say("TWICE is broken: position %d of job %s held %s before and holds %s", position, next.id, next.results[position].ID, again.results[position].ID)
				code = broken
				break
			}
		}
	}
	if lost := s.judgeLost(jobs); lost != held {
		code = lost
	}
	return code
}

// Figures of the rule Fault: how often the processes of how many machines may end by themselves.
const (
	endsOfMachine = 3
	leastMachines = 2
)

// judgeEnds applies the rule Fault for processes that end by themselves three times without a disruption on their machines.
func (s *site) judgeEnds() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	machines := 0
	for _, p := range s.all {
		if p.exits > 0 {
			s.record.say("%s ended by itself %d times", p.name, p.exits)
		}
		if p.exits >= endsOfMachine {
			machines++
		}
	}
	if machines < max(leastMachines, len(s.all)/10) {
		return held
	}
	s.record.say("Fault is broken: processes ended by themselves three times or more on %d of %d machines", machines, len(s.all))
	return broken
}

// repeated returns an item that has two results.
func repeated(results []result) string {
	seen := map[string]bool{}
	for _, one := range results {
		if seen[one.ID] {
			return one.ID
		}
		seen[one.ID] = true
	}
	return ""
}
