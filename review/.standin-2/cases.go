package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// finish is finishS of the settings, settle a time in which nothing is disrupted before.
const finish = 18 * time.Second

// small starts a site of two fronts, three workers and three runners.
func (s *site) small(flags ...string) {
	for i := range 3 {
		s.addRunner(fmt.Sprintf("i-%d", i+1), service, zones[i], 17, flags...)
	}
	s.startNodes(3, 3)
	s.awaitReady()
	time.Sleep(4 * time.Second)
}

// playHeader: a job is taken whose items have headers with quotation marks, and never runs. What is handed in afterwards, while the store is
// away for a moment, is taken and never runs either.
func playHeader(s *site) bool {
	s.configure(batchRoute(), streamRoute())
	s.small()
	sign := "x"
	if s.trouble {
		sign = `"`
	}
	value := strings.Repeat(sign+"donor"+sign+":1,", 440)
	list := items("a-large", 200, map[string]string{"X-Context": value})
	s.note("an item has a header of %d bytes, %d of them quotation marks", len(value), strings.Count(value, `"`))
	if !s.submit("a-large", list) {
		return false
	}
	found, status := s.results("a-large", len(list), completionTarget+finish)
	s.note("job a-large: %d of %d items are listed, the last status was %d", len(found), len(list), status)
	broken := len(found) < len(list)
	if s.trouble {
		s.note("the platform's store answers 503")
		s.store.setDown(true)
	}
	away := time.Now()
	var later []string
	for i := range 3 {
		if job := fmt.Sprintf("later-%d", i+1); s.submit(job, items(job, 4, nil)) {
			later = append(later, job)
		}
	}
	if s.trouble {
		time.Sleep(time.Until(away.Add(outage)))
		s.store.setDown(false)
		s.note("the platform's store answers again")
	}
	end := time.Now().Add(completionTarget + finish)
	for _, job := range later {
		found, status := s.results(job, 4, max(time.Until(end), 2*time.Second))
		s.note("job %s: %d of 4 items are listed, the last status was %d", job, len(found), status)
		broken = broken || len(found) < 4
	}
	return broken
}

const (
	// completionTarget is that of the batch route, outage for_s of platform_down in the site file.
	completionTarget = 20 * time.Second
	outage           = 4500 * time.Millisecond
)

// playResult: an item whose output is markup takes more than a value of the store, and is never listed, nor is any after it.
func playResult(s *site) bool {
	const events, size = 27, 20000
	s.configure(batchRoute(), streamRoute())
	flags := []string{"--events", fmt.Sprint(events), "--event-bytes", fmt.Sprint(size), "--interval", "60ms"}
	if s.trouble {
		flags = append(flags, "--markup")
	}
	s.small(flags...)
	s.note("the output of an item has %d bytes", events*size)
	list := items("out", 3, map[string]string{"X-Mallowlatch-Token-Count": "540,135000"})
	for i := range list {
		list[i].Tokens = 135540
	}
	if !s.submit("out", list) {
		return false
	}
	found, status := s.results("out", len(list), completionTarget+finish)
	s.note("job out: %d of %d items are listed, the last status was %d", len(found), len(list), status)
	return len(found) < len(list)
}

// playUnframed: a runner crashes while one of its answers, which would end with its connection, is between two events.
func playUnframed(s *site) bool {
	const events, interval, count, jobs = 20, 100 * time.Millisecond, 100, 3
	s.configure(batchRoute(), streamRoute())
	for i := range 6 {
		flags := []string{"--events", fmt.Sprint(events), "--interval", interval.String()}
		if i < 3 {
			flags = append(flags, "--unframed-of", "34")
		}
		s.addRunner(fmt.Sprintf("i-%d", i+1), service, zones[i%3], 17, flags...)
	}
	s.startNodes(3, 3)
	s.awaitReady()
	time.Sleep(4 * time.Second)
	for i := range jobs {
		if job := fmt.Sprintf("cut-%d", i+1); !s.submit(job, items(job, count, nil)) {
			s.fail("job %s was not taken", job)
		}
	}
	if crashed := s.awaitUnframed(15 * time.Second); s.trouble {
		time.Sleep(events/2*interval + interval/2)
		s.note("runner %s crashes: SIGKILL", crashed.id)
		crashed.kill()
	}
	broken := false
	for i := range jobs {
		job := fmt.Sprintf("cut-%d", i+1)
		found, _ := s.results(job, count, completionTarget+finish)
		s.note("job %s: %d of %d items are listed", job, len(found), count)
		for _, listed := range found {
			var whole []string
			for position := 1; position <= events; position++ {
				whole = append(whole, eventData(listed.ID, position, 0, false))
			}
			if listed.State == "completed" && listed.Text != strings.Join(whole, "\n") {
				s.note("item %s is completed with %d of %d events: %q", listed.ID, strings.Count(listed.Text, "\n")+1, events, listed.Text)
				broken = true
			}
		}
	}
	return broken
}

// awaitUnframed waits until a runner has begun an answer that ends with its connection.
func (s *site) awaitUnframed(limit time.Duration) *runnerProcess {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, r := range s.runners {
			if r.count("run unframed") > 0 {
				return r
			}
		}
	}
	s.fail("no answer ended with its connection")
	return nil
}

// playRoute: while items of a job wait, a route is added whose prefix begins their paths too.
func playRoute(s *site) bool {
	s.configure(batchRoute(), streamRoute())
	s.small("--interval", "400ms", "--events", "30")
	list := items("way", 12, nil)
	if !s.submit("way", list) {
		s.fail("the job was not taken")
	}
	if s.trouble {
		added := streamRoute()
		added["name"], added["pathPrefix"] = "r-new", "/pule252/3/"
		s.configure(batchRoute(), streamRoute(), added)
	}
	found, _ := s.results("way", len(list), 40*time.Second)
	broken := false
	for _, listed := range found {
		if listed.State != "completed" {
			s.note("item %s: %s", listed.ID, listed.State)
			broken = true
		}
	}
	return broken || len(found) < len(list)
}

// playIdle: one of six runners of a service is lost for good, and the usual traffic takes all places of the others for a minute. When it has ended,
// the jobs of the service are left lying.
func playIdle(s *site) bool {
	const runners, slots, perSecond, traffic = 6, 4, 21.5, 68 * time.Second
	batch, online := batchRoute(), streamRoute()
	batch["service"], online["service"] = "segreteria", "segreteria"
	s.configure(batch, online)
	for i := range runners {
		s.addRunner(fmt.Sprintf("i-%d", i+1), "segreteria", zones[0], slots, "--events", "10", "--interval", "100ms")
	}
	s.startNodes(3, 3)
	s.awaitReady()
	time.Sleep(4 * time.Second)
	s.note("clients ask %.1f times a second for %v; the runners can take %d requests of a second each", perSecond, traffic, runners*slots)
	ended := make(chan struct{})
	go s.ask(perSecond, time.Now().Add(traffic), ended)
	time.Sleep(3 * time.Second)
	if s.trouble {
		s.note("runner i-1 is lost for good: SIGKILL")
		s.runners[0].kill()
	}
	time.Sleep(5 * time.Second)
	var taken []string
	for i := range 4 {
		if job := fmt.Sprintf("left-%d", i+1); s.submit(job, items(job, 4, nil)) {
			taken = append(taken, job)
		}
	}
	<-ended
	s.note("the traffic has ended; the jobs have %v more", finish)
	time.Sleep(finish)
	broken := false
	for _, job := range taken {
		found, status := s.results(job, 4, time.Second)
		s.note("job %s: %d of 4 items are listed, the last status was %d", job, len(found), status)
		broken = broken || len(found) < 4
	}
	return broken
}

// ask sends requests at a rate until an end, and waits for their answers. A client comes again once after a refusal.
func (s *site) ask(perSecond float64, end time.Time, ended chan<- struct{}) {
	var asked sync.WaitGroup
	var mutex sync.Mutex
	statuses := map[int]int{}
	for i := 0; time.Now().Before(end); i++ {
		asked.Go(func() {
			for try := range 2 {
				got := s.call(s.fronts()[(i+try)%3], http.MethodPost, "/lohu930/2f", []byte(fmt.Sprint("question ", i)), "X-Mallowlatch-Request-Id", fmt.Sprintf("ask-%d-%d", i, try),
					"X-Mallowlatch-Deadline-Ms", "5000", "X-Mallowlatch-Model", "m", "X-Mallowlatch-Token-Count", "491,80")
				mutex.Lock()
				statuses[got.status]++
				mutex.Unlock()
				if got.status != http.StatusServiceUnavailable && got.status != http.StatusTooManyRequests {
					return
				}
				time.Sleep(500 * time.Millisecond)
			}
		})
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
	}
	asked.Wait()
	s.note("answers to requests by status: %v", statuses)
	close(ended)
}
