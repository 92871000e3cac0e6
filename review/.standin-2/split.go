package main

import (
	"fmt"
	"strings"
	"time"
)

// shadow is the second service of the split route.
const shadow = "segreteria"

// splitRoute returns the batch route with its items split over two services by weight.
func splitRoute(first, second int) map[string]any {
	route := batchRoute()
	delete(route, "service")
	route["split"] = []map[string]any{{"service": service, "weight": first}, {"service": shadow, "weight": second}}
	return route
}

// playSplit: the operator takes a service out of a split route: its weight becomes zero, and then its only runner is emptied and taken away.
func playSplit(s *site) bool {
	const count, runners, slots = 8, 7, 17
	s.configure(splitRoute(90, 10), streamRoute())
	for i := range runners {
		s.addRunner(fmt.Sprintf("i-%d", i+1), service, zones[i%3], slots, "--events", "20", "--interval", "50ms")
	}
	leaving := s.addRunner(fmt.Sprintf("i-%d", runners+1), shadow, zones[0], slots, "--events", "20", "--interval", "50ms")
	s.startNodes(3, 3)
	s.awaitReady()
	time.Sleep(4 * time.Second)
	broken := s.leftLying([]string{"before"}, count)
	if s.trouble {
		s.configure(splitRoute(100, 0), streamRoute())
		time.Sleep(configurationBound)
		before := leaving.count("run ")
		broken = s.leftLying([]string{"between"}, count) || broken
		s.note("%s, whose weight is zero, ran %d of the %d items of job between", shadow, leaving.count("run ")-before, count)
		leaving.leave()
	}
	return s.leftLying([]string{"after"}, count) || broken
}

const (
	// configurationBound and drainBound are configApplyMs and drainMs of the settings.
	configurationBound = 2 * time.Second
	drainBound         = 2 * time.Second
	// calm is the time at the end for which no runner may have had an unlisted item, by the rule.
	calm = 5 * time.Second
)

// leftLying hands jobs in, and reports whether an item is left lying: after finishS, while it is not listed, nothing was begun or under way at any
// runner for the time that the rule calls calm.
func (s *site) leftLying(jobs []string, count int) bool {
	taken := time.Now()
	for _, job := range jobs {
		if !s.submit(job, items(job, count, nil)) {
			s.fail("job %s was not taken", job)
		}
	}
	allowed := completionTarget + finish
	listed, completed := s.listed(jobs, count, allowed)
	lying, idle := false, s.idleFor()
	for !lying && listed < count*len(jobs) && time.Since(taken) < allowed+watched {
		idle = s.idleFor()
		listed, completed = s.listed(jobs, count, 100*time.Millisecond)
		lying = listed < count*len(jobs) && idle >= calm
	}
	s.note("%s, %.0f s after the 202: %d of %d items are listed, %d of them completed; nothing had run at any runner for %.1f s", strings.Join(jobs, ", "),
		time.Since(taken).Seconds(), listed, count*len(jobs), completed, idle.Seconds())
	return lying
}

// listed returns how many items of jobs are listed, and how many of these are completed, once all are or after a time.
func (s *site) listed(jobs []string, count int, limit time.Duration) (listed, completed int) {
	for end := time.Now().Add(limit); ; {
		listed, completed = 0, 0
		for _, job := range jobs {
			found, _ := s.results(job, count, min(time.Second, max(time.Until(end), 50*time.Millisecond)))
			listed += len(found)
			for _, result := range found {
				if result.State == "completed" {
					completed++
				}
			}
		}
		if listed == count*len(jobs) || time.Now().After(end) {
			return listed, completed
		}
	}
}

// watched is how long after finishS is waited for such a moment at most. It is less than what is left until retentionS.
const watched = 15 * time.Second

// idleFor returns for how long no runner has had a request.
func (s *site) idleFor() time.Duration {
	idle := time.Since(s.began)
	for _, r := range s.runners {
		idle = min(idle, r.idleFor())
	}
	return idle
}

// idleFor returns for how long the runner has had no request.
func (r *runnerProcess) idleFor() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.underWay > 0 && !r.dead {
		return 0
	}
	return time.Since(r.lastLine)
}

// leave empties a runner and takes it away: it says draining, serves on for drainMs and a little more, and ends.
func (r *runnerProcess) leave() {
	r.mutex.Lock()
	r.state = "draining"
	r.mutex.Unlock()
	r.announce()
	r.site.note("runner %s: draining", r.id)
	time.Sleep(drainBound + time.Second)
	r.kill()
	r.site.store.drop("servers/" + r.id)
	r.site.note("runner %s: has left", r.id)
}
