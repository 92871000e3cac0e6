// Command standin-2 has the stand-ins of the second review and plays its scripted cases: a store, runners and clients of the users' platform, as
// PROTOCOL.md has them.
package main

import (
	"fmt"
	"os"
	"time"
)

// cases are the scripted cases. Each returns true if the rule was broken.
var cases = map[string]func(s *site) bool{
	"header":   playHeader,
	"result":   playResult,
	"unframed": playUnframed,
	"route":    playRoute,
	"idle":     playIdle,
	"split":    playSplit,
	"lines":    playLines,
	"single":   playSingle,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		runRunner(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// playLimit bounds a case.
const playLimit = 110 * time.Second

func play(run func(s *site) bool, folder string) (status int) {
	s := newSite(folder, os.Getenv("TROUBLE") != "0")
	defer s.close()
	time.AfterFunc(playLimit, func() {
		s.note("the case took too long")
		s.close()
		os.Exit(2)
	})
	defer func() {
		if failed := recover(); failed != nil {
			s.note("could not run: %v", failed)
			fmt.Println("could not run:", failed)
			status = 2
		}
	}()
	if run(s) {
		s.note("verdict: the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	s.note("verdict: the rule held")
	fmt.Println("the rule held")
	return 0
}
