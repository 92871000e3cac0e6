// Package queuecapacity accounts for the tokens queued on a batch route, so that their bound holds whether jobs are accepted by
// the metadata store or on the disks of workers. Several workers hold the account of each route. A node that accepts a job
// reserves its tokens at a majority of them before anything is written, and combines their answers; any two majorities have an
// account holder in common. The package also decides whether a job fits, estimates when a refused caller may retry, and ranks
// the workers that hold an account. It makes no calls and reads no clock.
package queuecapacity

import (
	"mallowlatch.example/mallowlatch/internal/ident"
)

// ReservedJob is a job that takes queue capacity before the store is known to list it.
type ReservedJob struct {
	Job    ident.Job `json:"job"`
	Tokens int       `json:"tokens"`
}

// CapacityRequest asks an account holder for capacity. The job is recorded there before the answer is made.
type CapacityRequest struct {
	Route string `json:"route"`
	// Tenant owns the queue; empty stands for the queue of the whole route.
	Tenant ident.Tenant `json:"tenant,omitempty"`
	ReservedJob
	// Attempt identifies the asking node's attempt. A job that is submitted at two nodes is counted once, until neither
	// attempt needs its capacity.
	Attempt string `json:"attempt"`
}

// Answer is an account holder's view of a queue.
type Answer struct {
	// Sure means that the account holder has held the account long enough to know every job that takes capacity. Otherwise the
	// jobs in Unlisted are certain, but others may be missing.
	Sure bool `json:"sure"`
	// Revision is that of the list of open jobs that the account holder follows.
	Revision int64 `json:"revision"`
	// Taken means that the job is listed or on a disk, Asked that another attempt needs capacity for it.
	Taken bool `json:"taken,omitempty"`
	Asked bool `json:"asked,omitempty"`
	// Open is the number of unfinished tokens of the queue's listed jobs, without the job of the question.
	Open int `json:"open"`
	// Unlisted are the queue's jobs that take capacity, are not listed yet and were recorded before the job of the question.
	Unlisted []ReservedJob `json:"unlisted,omitempty"`
	// RecentlyListed are recently listed jobs: another account holder may still count them as unlisted.
	RecentlyListed []ident.Job `json:"lately,omitempty"`
	// Freed is the recent rate of finished tokens of the queue, in tokens per second.
	Freed int `json:"freed,omitempty"`
}

// Release releases the capacity of one attempt, which definitely did not submit the job.
type Release struct {
	Job     ident.Job `json:"job"`
	Attempt string    `json:"attempt"`
}

// DiskJob is a job on a worker's disk.
type DiskJob struct {
	Route  string       `json:"route"`
	Tenant ident.Tenant `json:"tenant,omitempty"`
	ReservedJob
}

// UnfinishedJob is the number of unfinished tokens of a job that a worker runs.
type UnfinishedJob struct {
	Job    ident.Job `json:"job"`
	Tokens int       `json:"tokens"`
}

// Report is a worker's report to the holders of a route's account.
type Report struct {
	Kept []DiskJob       `json:"kept,omitempty"`
	Left []UnfinishedJob `json:"left,omitempty"`
}

// Count combines the answers of several account holders.
type Count struct {
	// Answers is the number of answers, Sure the number of definite ones.
	Answers, Sure int
	// Taken and Asked are set if any answer sets them.
	Taken, Asked bool
	// Waiting is the number of queued tokens without the job itself, Freed the tokens finished per second.
	Waiting, Freed int
	// Unlisted is the part of Waiting that the store does not list yet.
	Unlisted int
}

// Combine combines answers: the open jobs of the newest list, plus the unlisted jobs of any answer.
func Combine(answers []*Answer) Count {
	var count Count
	newest := newestOf(answers)
	if newest == nil {
		return count
	}
	counted := map[ident.Job]bool{}
	for _, listed := range newest.RecentlyListed {
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

// newestOf returns the answer with the newest list of open jobs; definite answers take precedence.
func newestOf(answers []*Answer) *Answer {
	var newest *Answer
	for _, answer := range answers {
		if newest == nil || (answer.Sure && !newest.Sure) || (answer.Sure == newest.Sure && answer.Revision > newest.Revision) {
			newest = answer
		}
	}
	return newest
}

// Majority returns how many of the account holders must give a definite answer for a count to be valid.
func Majority(holders int) int { return holders/2 + 1 }
