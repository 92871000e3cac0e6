// Package queueroom keeps account of the tokens that wait on a batch route, so that their bound holds whichever way a job is taken: by
// the metadata store, or on the disks of workers. A few workers keep the account of each route. A node that takes a job reserves its
// tokens at a majority of them before anything is written, and counts together what they hold: any two majorities have a keeper in common.
// The package makes no calls and reads no clock.
package queueroom

import (
	"mallowlatch.example/mallowlatch/internal/ident"
)

// Held is a job that takes room in a queue before the store is known to list it.
type Held struct {
	Job    ident.Job `json:"job"`
	Tokens int       `json:"tokens"`
}

// Question asks a keeper for room. Its job is noted there before the answer is made.
type Question struct {
	Route string `json:"route"`
	// Tenant is whose queue it is; empty means that of the whole route.
	Tenant ident.Tenant `json:"tenant,omitempty"`
	Held
	// Attempt names the asking node's try: a job that is handed in at two nodes is counted once, until neither needs its room.
	Attempt string `json:"attempt"`
}

// Answer is what a keeper knows of a queue.
type Answer struct {
	// Sure says that the keeper knows everything that it was told of a while ago; without, only what Unlisted names is certain.
	Sure bool `json:"sure"`
	// Revision is that of the list of open jobs which the keeper follows.
	Revision int64 `json:"revision"`
	// Taken says that the job is listed, or on a disk; Asked that another attempt needs room for it.
	Taken bool `json:"taken,omitempty"`
	Asked bool `json:"asked,omitempty"`
	// Open are the tokens that wait of the queue's listed jobs beside the one asked for.
	Open int `json:"open"`
	// Unlisted are the queue's jobs that hold room and are not listed yet, as far as they were noted before the one asked for.
	Unlisted []Held `json:"unlisted,omitempty"`
	// Lately are jobs that were listed a moment ago: another keeper may still count them among its unlisted ones.
	Lately []ident.Job `json:"lately,omitempty"`
	// Freed are the tokens of the queue that were finished in the last second, as a mean over some.
	Freed int `json:"freed,omitempty"`
}

// Release ends the need of one attempt for its room: the job was certainly not taken by it.
type Release struct {
	Job     ident.Job `json:"job"`
	Attempt string    `json:"attempt"`
}

// Kept is a job on a worker's disk.
type Kept struct {
	Route  string       `json:"route"`
	Tenant ident.Tenant `json:"tenant,omitempty"`
	Held
}

// Left is how many tokens of a job that a worker runs are not finished.
type Left struct {
	Job    ident.Job `json:"job"`
	Tokens int       `json:"tokens"`
}

// News is what a worker tells the keepers of a route.
type News struct {
	Kept []Kept `json:"kept,omitempty"`
	Left []Left `json:"left,omitempty"`
}

// Count is what the answers of several keepers say together.
type Count struct {
	// Answers is how many answered, Sure how many of those are sure.
	Answers, Sure int
	// Taken and Asked say that one of them knew the job so.
	Taken, Asked bool
	// Waiting are the tokens beside the job, Freed those finished in a second.
	Waiting, Freed int
	// Unlisted are those of the waiting that the store does not list yet.
	Unlisted int
}

// Sum counts what some keepers know together: the open jobs of the newest list, and what any of them holds beside it.
func Sum(answers []*Answer) Count {
	var count Count
	newest := newestOf(answers)
	if newest == nil {
		return count
	}
	counted := map[ident.Job]bool{}
	for _, listed := range newest.Lately {
		counted[listed] = true
	}
	for _, answer := range answers {
		count.Answers++
		count.Taken = count.Taken || answer.Taken
		count.Asked = count.Asked || answer.Asked
		count.Freed = max(count.Freed, answer.Freed)
		if answer.Sure {
			count.Sure++
		}
		for _, held := range answer.Unlisted {
			if !counted[held.Job] {
				counted[held.Job] = true
				count.Unlisted += held.Tokens
			}
		}
	}
	count.Waiting = newest.Open + count.Unlisted
	return count
}

// newestOf returns the answer with the newest list of open jobs; a sure one goes before one that is not.
func newestOf(answers []*Answer) *Answer {
	var newest *Answer
	for _, answer := range answers {
		if newest == nil || (answer.Sure && !newest.Sure) || (answer.Sure == newest.Sure && answer.Revision > newest.Revision) {
			newest = answer
		}
	}
	return newest
}

// Majority is how many of some keepers must be sure for a count to hold.
func Majority(keepers int) int { return keepers/2 + 1 }
