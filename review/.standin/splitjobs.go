package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// Times of the case: the bounds of the site, and the excuses of the rule.
const (
	applied  = 2 * time.Second
	finish   = 18 * time.Second
	calm     = 5 * time.Second
	quiet    = 3 * time.Second
	failures = 20 * time.Second
)

const (
	service    = "sportello"
	newService = "sportello-due"
)

// configuration returns a configuration whose batch route goes to the given parts.
func configuration(version int, split []map[string]any) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "rientro", "host": host, "pathPrefix": "/lohu930/", "kind": "streaming", "timeoutMs": 5000, "targetMs": 200, "priority": 0, "service": service, "maxAttempts": 2, "resumable": true, "gapAimMs": 250},
			{"name": "turni", "host": host, "pathPrefix": "/pule252/", "kind": "batch", "timeoutMs": 30000, "targetMs": 400, "priority": 2, "service": service, "split": split, "maxAttempts": 3, "resumable": true, "gapAimMs": 250, "completionTargetMs": 20000, "retentionS": 60, "maxQueuedTokens": 1600000},
		},
		"services": []map[string]any{{"name": service, "healthPath": "/health", "maxConns": 370}, {"name": newService, "healthPath": "/health", "maxConns": 370}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
	}
}

// threeZones starts a worker and a front in each of three zones, beside the given runners, and waits until the fronts are ready.
func threeZones(s *site) (fronts, workers []*process, err error) {
	for _, zone := range s.zones {
		worker, err := s.place("worker", "store-"+zone+"-1")
		if err != nil {
			return nil, nil, err
		}
		front, err := s.place("front", "front-"+zone+"-1")
		if err != nil {
			return nil, nil, err
		}
		workers, fronts = append(workers, worker), append(fronts, front)
	}
	for index, zone := range s.zones {
		if err := s.start(workers[index], zone, true); err != nil {
			return nil, nil, err
		}
		if err := s.start(fronts[index], zone, true); err != nil {
			return nil, nil, err
		}
	}
	for _, front := range fronts {
		if err := front.awaitReady(readyLimit); err != nil {
			return nil, nil, err
		}
	}
	time.Sleep(lead)
	return fronts, workers, nil
}

// oneService starts a site with three zones, each with runners of one service, and returns its fronts.
func (s *site) oneService() ([]*process, error) {
	s.store.Put("op/config", configuration(7, nil))
	for index := range s.runnersEach * len(s.zones) {
		next := &runner{
			id: fmt.Sprintf("i-7f3a91%02d", index), service: service, zone: s.zones[index/s.runnersEach], slots: 17, events: s.events, spread: s.spread, interval: 25 * time.Millisecond,
		}
		if err := s.addRunner(next); err != nil {
			return nil, err
		}
	}
	fronts, _, err := threeZones(s)
	return fronts, err
}

// lead is the time from the start of the machines to that of the traffic.
const lead = 10 * time.Second

// readyLimit bounds the wait for a front at the start.
const readyLimit = 25 * time.Second

// splitJobs hands in batch jobs. With trouble, a new configuration splits their route between two services before that; the runners of the
// two are in different zones.
func splitJobs(record *record, program string, trouble bool) (int, error) {
	s, err := newSite(record, program, []string{"palermo", "catania", "agrigento"})
	if err != nil {
		return cannotRun, err
	}
	defer s.close()
	defer s.keepLogs(os.Getenv("REVIEW_LOGS"))
	s.store.Put("op/config", configuration(7, nil))
	for index, zone := range []string{"palermo", "palermo", "agrigento", "agrigento", "catania", "catania"} {
		next := &runner{id: fmt.Sprintf("i-7f3a91c%d", index), service: service, zone: zone, slots: 17, events: 40, interval: 25 * time.Millisecond}
		if zone == "catania" {
			next.service = newService
		}
		if err := s.addRunner(next); err != nil {
			return cannotRun, err
		}
	}
	fronts, _, err := threeZones(s)
	if err != nil {
		return cannotRun, err
	}
	if trouble {
		s.store.Put("op/config", configuration(12, []map[string]any{{"service": service, "weight": 0.5}, {"service": newService, "weight": 0.5}}))
		record.say("the operator splits the batch route between %s and %s", service, newService)
	}
	time.Sleep(applied + time.Second)
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
	return s.judgeLost(jobs), nil
}

// awaitResults reads the results of jobs twice a second until all items are listed or the time is over.
func (s *site) awaitResults(jobs []*job, fronts []*process, limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		left := 0
		for index, next := range jobs {
			if len(next.unlisted()) > 0 && time.Now().Before(end) {
				s.read(next, fronts[index%len(fronts)])
			}
			left += len(next.unlisted())
		}
		if left == 0 {
			return
		}
	}
}

// judgeLost applies the rule LOST for items that are listed neither as completed nor as dead_letter when finishS is over, with its excuses.
func (s *site) judgeLost(jobs []*job) int {
	now := time.Now()
	taken, slots := 0, 0
	lastRun, lastFailure := map[string]time.Time{}, map[string]time.Time{}
	var lastFinished time.Time
	for _, r := range s.runners {
		taken, slots = taken+r.taken(), slots+r.slots
		for _, one := range r.copies() {
			end := one.ended
			if end.IsZero() {
				end = now
			}
			if end.After(lastRun[one.id]) {
				lastRun[one.id] = end
			}
			if one.status != 200 || one.aborted {
				lastFailure[one.id] = end
			} else if !one.ended.IsZero() && end.After(lastFinished) {
				lastFinished = end
			}
		}
	}
	var lost []string
	for _, next := range jobs {
		for _, item := range next.unlisted() {
			excused := now.Sub(lastRun[item]) < calm || now.Sub(lastFailure[item]) < failures
			if !excused {
				lost = append(lost, item)
			}
		}
		for _, one := range next.results {
			if one.State == "completed" && one.Text != wholeText(one.ID, s.runners[0].eventsOf(one.ID)) {
				s.record.say("%s is completed with another text", one.ID)
				return broken
			}
		}
	}
	s.record.say("%d jobs accepted; runners have %d of %d places taken; last item finished %.1f s ago", len(jobs), taken, slots, now.Sub(lastFinished).Seconds())
	if len(lost) == 0 {
		s.record.say("LOST holds: every item is listed")
		return held
	}
	if 2*taken >= slots || now.Sub(lastFinished) < quiet {
		s.record.say("not judged: the runners are busy")
		return held
	}
	s.record.say("LOST is broken: %d items of accepted jobs are not listed and nobody runs them: %s", len(lost), strings.Join(lost, " "))
	return broken
}
