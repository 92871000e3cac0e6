// Command standin plays the cases of the review: a store and runners that behave as the users' pages say, clients, and one disruption.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
)

const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

func main() {
	cases := map[string]func(*record, string, bool) (int, error){"split-jobs": splitJobs, "pinned-weights": pinnedWeights, "store-back": storeBack}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE PROGRAM RECORD")
		os.Exit(cannotRun)
	}
	record, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Println(err)
		os.Exit(cannotRun)
	}
	code, err := cases[os.Args[1]](record, os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.say("the case could not run: %v", err)
		code = cannotRun
	}
	os.Exit(code)
}
