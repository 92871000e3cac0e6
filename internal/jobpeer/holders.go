package jobpeer

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// callSlack bounds a call beyond its wait.
	callSlack = 350 * time.Millisecond
	// lookupTimeout bounds the look for a job's holder in the records.
	lookupTimeout = 500 * time.Millisecond
	// avoidFor is how long a worker that did not answer is left alone.
	avoidFor = 1500 * time.Millisecond
	// cachedHolders bounds the jobs whose holder is remembered.
	cachedHolders = 512
)

// Holders reads results from the workers that hold the jobs. It is safe for concurrent use.
type Holders struct {
	Records *jobrecord.Records
	// Connect returns a connection to an address.
	Connect func(address string) (drpc.Conn, error)
	Now     func() time.Time

	mutex   sync.Mutex
	holders map[ident.Job]string
	avoided map[string]time.Time
}

// Results reads the results of a job from its holder. sure is false where no holder answered for certain.
func (h *Holders) Results(ctx context.Context, job ident.Job, from int, wait time.Duration) (total int, results []work.Result, sure bool) {
	address, known := h.find(ctx, job)
	if !known {
		return 0, nil, false
	}
	reply, err := h.ask(ctx, address, &Query{Job: job, From: from, WaitMs: wait.Milliseconds()}, wait)
	if err != nil {
		if ctx.Err() == nil {
			h.avoid(address)
		}
		return 0, nil, false
	}
	if !reply.Sure {
		h.forget(job)
		return 0, nil, false
	}
	return reply.Total, reply.Results, true
}

func (h *Holders) ask(ctx context.Context, address string, query *Query, wait time.Duration) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	connection, err := h.Connect(address)
	if err != nil {
		return nil, err
	}
	return call(ctx, connection, query)
}

// find returns the address of a job's holder, from memory or from the records.
func (h *Holders) find(ctx context.Context, job ident.Job) (string, bool) {
	h.mutex.Lock()
	address, known := h.holders[job]
	avoided := h.Now().Before(h.avoided[address])
	h.mutex.Unlock()
	if known {
		return address, !avoided
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	holder, err := h.Records.Holder(ctx, job)
	if err != nil || holder.Address == "" {
		return "", false
	}
	h.remember(job, holder.Address)
	return holder.Address, true
}

func (h *Holders) remember(job ident.Job, address string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.holders == nil {
		h.holders = map[ident.Job]string{}
	}
	if len(h.holders) >= cachedHolders {
		for id := range h.holders {
			delete(h.holders, id)
			break
		}
	}
	h.holders[job] = address
}

func (h *Holders) forget(job ident.Job) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.holders, job)
}

// avoid leaves a worker alone for a while and forgets its jobs: others may hold them by now.
func (h *Holders) avoid(address string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.avoided == nil {
		h.avoided = map[string]time.Time{}
	}
	h.avoided[address] = h.Now().Add(avoidFor)
	for job, holder := range h.holders {
		if holder == address {
			delete(h.holders, job)
		}
	}
}
