package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/job"
	"mallowlatch.example/mallowlatch/internal/jobclient"
	"mallowlatch.example/mallowlatch/internal/lab/fleet"
	"mallowlatch.example/mallowlatch/internal/shardmap"
	"mallowlatch.example/mallowlatch/internal/transport"
)

const (
	// renewEvery is the share of leases that are renewed once before they are completed: one in so many.
	renewEvery = 4
	// waitingAtOnce bounds the jobs a worker is told of by each shard.
	waitingAtOnce = 64
	// idlePause is how long a worker rests when nothing waits.
	idlePause  = 5 * time.Millisecond
	workerNode = "lab-workers"
	// connectionsPerNode bounds the workers' calls to one node at a time.
	connectionsPerNode = 64
)

// jobWorkers lease items, renew and complete them through the real job client, and run no model.
type jobWorkers struct {
	client *jobclient.Client
	pool   *transport.Pool
	tomb   tomb.Tomb
	answer json.RawMessage
	seed   uint64

	finished, failures atomic.Int64
	mutex              sync.Mutex
	// firstLease is when the first items of a job were leased.
	firstLease map[ident.Job]time.Time
	lastError  error
}

// jobDirectory knows the number of shards, and their leaders from the disk nodes' own routes.
type jobDirectory struct {
	*shardmap.Client
	shards int
}

// Shards implements jobclient.Directory.
func (d jobDirectory) Shards() int { return d.shards }

func newJobWorkers(started *fleet.Fleet, shards int, seed uint64) *jobWorkers {
	addresses := map[ident.Node]string{}
	var peers []shardmap.Peer
	for _, node := range started.Nodes {
		addresses[ident.Node(node.ID)] = node.Peer
		peers = append(peers, shardmap.Peer{Node: ident.Node(node.ID), Zone: ident.Zone(node.Zone)})
	}
	pool := transport.NewPool(transport.PoolOptions{
		Lookup:      func(node ident.Node) (string, bool) { address, known := addresses[node]; return address, known },
		MaxPerNode:  connectionsPerNode,
		IdlePerNode: connectionsPerNode,
	})
	routes := shardmap.NewClient(shardmap.Options{
		Self:   workerNode,
		Zone:   "zone-0",
		Peers:  func() []shardmap.Peer { return peers },
		Dialer: pool,
		Jitter: rand.Float64,
		Logger: zerolog.Nop(),
	})
	workers := &jobWorkers{
		pool:       pool,
		answer:     json.RawMessage(`{"answer":"` + strings.Repeat("0", answerBytes) + `"}`),
		seed:       seed,
		firstLease: map[ident.Job]time.Time{},
	}
	workers.client = jobclient.New(jobclient.Options{
		Self:      workerNode,
		Dialer:    pool,
		Directory: jobDirectory{Client: routes, shards: shards},
		Missed:    routes.Missed,
		Logger:    zerolog.Nop(),
	})
	workers.tomb.Go(func() error { return routes.Run(workers.tomb.Context(context.Background())) })
	return workers
}

func (w *jobWorkers) close() error {
	w.tomb.Kill(nil)
	if err := w.tomb.Wait(); err != nil {
		return fmt.Errorf("stopping the workers' routes: %w", err)
	}
	if err := w.client.Close(); err != nil {
		return fmt.Errorf("closing the workers' client: %w", err)
	}
	return w.pool.Close()
}

// drain has a number of workers run until so many items are completed. It returns the context's failure if it ends first.
func (w *jobWorkers) drain(ctx context.Context, workers, leaseItems, items int) error {
	goal := w.finished.Load() + int64(items)
	var group sync.WaitGroup
	for number := range workers {
		random := rand.New(rand.NewPCG(w.seed, uint64(number)))
		group.Go(func() { w.work(ctx, random, leaseItems, goal) })
	}
	group.Wait()
	if ctx.Err() == nil {
		return nil
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return fmt.Errorf("%w: %d of %d items are left: %w: last failure: %v", ErrSetup, goal-w.finished.Load(), items, ctx.Err(), w.lastError)
}

func (w *jobWorkers) work(ctx context.Context, random *rand.Rand, leaseItems int, goal int64) {
	for turn := 0; w.finished.Load() < goal && ctx.Err() == nil; {
		waiting, err := w.client.Waiting(ctx, waitingAtOnce)
		w.note(err)
		if len(waiting) == 0 {
			sleep(ctx, idlePause)
			continue
		}
		chosen := waiting[random.IntN(len(waiting))]
		for more := true; more && ctx.Err() == nil; turn++ {
			more = w.turn(ctx, chosen, leaseItems, turn)
		}
	}
}

// turn runs one lease and reports whether the job gave a full one.
func (w *jobWorkers) turn(ctx context.Context, from job.Priority, leaseItems, turn int) bool {
	request := job.LeaseRequest{Worker: workerNode, Services: []string{service}, Max: leaseItems}
	lease, err := w.client.Lease(ctx, from.Shard, from.Job, request)
	if err != nil || len(lease.Items) == 0 {
		w.note(err)
		return false
	}
	w.noteFirst(from.Job)
	if turn%renewEvery == renewEvery-1 {
		_, err := w.client.Renew(ctx, from.Shard, workerNode, []string{lease.ID})
		w.note(err)
	}
	results := make([]job.Result, len(lease.Items))
	for position, item := range lease.Items {
		results[position] = job.Result{Index: item.Index, Status: 200, Body: w.answer}
	}
	for ctx.Err() == nil {
		err := w.client.Complete(ctx, lease, results)
		w.note(err)
		if err == nil {
			w.finished.Add(int64(len(results)))
			break
		}
	}
	return len(lease.Items) == leaseItems
}

func (w *jobWorkers) noteFirst(id ident.Job) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if _, known := w.firstLease[id]; !known {
		w.firstLease[id] = time.Now()
	}
}

func (w *jobWorkers) note(err error) {
	if err == nil {
		return
	}
	w.failures.Add(1)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.lastError = err
}

// lateness returns how long each job waited for its first lease after its submission was answered, in milliseconds,
// in order. A job that was not leased counts as zero.
func (w *jobWorkers) lateness(submitted map[ident.Job]time.Time) []float64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	waits := make([]float64, 0, len(submitted))
	for id, at := range submitted {
		waits = append(waits, max(0, float64(w.firstLease[id].Sub(at).Microseconds())/1000))
	}
	slices.Sort(waits)
	return waits
}
