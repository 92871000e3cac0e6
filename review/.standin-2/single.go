package main

import (
	"fmt"
	"time"
)

// playSingle: a service has two runners with one place each, and one of them is lost for good. Its jobs stand still beside the other one.
func playSingle(s *site) bool {
	const others, count = 10, 8
	batch := batchRoute()
	batch["service"] = shadow
	s.configure(batch, streamRoute())
	for i := range others {
		s.addRunner(fmt.Sprintf("i-%d", i+1), service, zones[i%3], 17, "--events", "20", "--interval", "50ms")
	}
	var single []*runnerProcess
	for i := range 2 {
		single = append(single, s.addRunner(fmt.Sprintf("i-%d", others+i+1), shadow, zones[0], 1, "--events", "20", "--interval", "50ms"))
	}
	s.startNodes(3, 3)
	s.awaitReady()
	time.Sleep(4 * time.Second)
	if s.trouble {
		s.note("runner %s is lost for good: SIGKILL", single[0].id)
		single[0].kill()
		time.Sleep(10 * time.Second)
	}
	return s.leftLying([]string{"single-1", "single-2", "single-3"}, count)
}
