package jobworker

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// Holder says which worker holds a job, as one worker knows it.
type Holder struct {
	// Address is that of the worker that holds the job, or that held it last if the job is no longer open. It is empty if there
	// is none.
	Address string
	// Known means that this worker follows the jobs. Without it the address may be out of date, and an empty one says nothing.
	Known bool
}

// Holder returns which worker holds a job. While the store is away claims do not change, so that the last known holder is named
// then, too. A worker that holds the job itself, and was asked for results that it is not sure of, does not know a better one.
func (w *Worker) Holder(job ident.Job) Holder {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.Now()
	node := w.pastHolders.find(job, now)
	if state := w.open[job]; state != nil {
		node = state.holder
	}
	if node == w.Node {
		return Holder{}
	}
	return Holder{Address: w.workers[node].Address, Known: now.Sub(w.reconciled) <= w.maxLiveAge()}
}

// pastHolders are the workers that held the jobs that ended lately. Those workers have the results in memory for as long.
type pastHolders struct {
	byJob map[ident.Job]ident.Node
	// order contains the jobs, those that ended first in front.
	order []endedJob
}

type endedJob struct {
	id ident.Job
	at time.Time
}

// add records that a job ended that a node held.
func (p *pastHolders) add(job ident.Job, holder ident.Node, now time.Time) {
	if p.byJob == nil {
		p.byJob = map[ident.Job]ident.Node{}
	}
	p.removeExpired(now)
	p.byJob[job] = holder
	p.order = append(p.order, endedJob{id: job, at: now})
}

// find returns the node that held a job that ended lately, or an empty name.
func (p *pastHolders) find(job ident.Job, now time.Time) ident.Node {
	p.removeExpired(now)
	return p.byJob[job]
}

func (p *pastHolders) removeExpired(now time.Time) {
	for len(p.order) > 0 && now.Sub(p.order[0].at) > finishedTTL {
		delete(p.byJob, p.order[0].id)
		p.order = p.order[1:]
	}
}
