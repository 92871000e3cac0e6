// Package fleetfeed forwards the runner list, the configuration and the workers known to one node to other nodes, over
// drpc. Each reading of the registry has a cost; with a feed, one node of a zone bears it on behalf of the others. Runner
// lists are sent as changes or compressed where possible. A snapshot carries its age, so that a node whose feed is stale,
// unresponsive or gone can read the registry itself.
package fleetfeed

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jsoncall"
	"mallowlatch.example/mallowlatch/internal/work"
)

// SnapshotRequest is a request: it states what the node already has.
type SnapshotRequest struct {
	// Reading is the number of the feed's reading that the node has; zero if it has none.
	Reading int64 `json:"reading"`
	// Incarnation identifies the process of the feed. Reading numbers of different processes are not comparable.
	Incarnation int64 `json:"incarnation"`
	// CatalogVersion is the version of the configuration in force.
	CatalogVersion int64 `json:"catalog_version"`
	// WaitMs is how long the answer may be delayed until there is a newer reading, in milliseconds.
	WaitMs int64 `json:"wait_ms"`
	// ListOf and List are the incarnation and the reading of the runner list that the node has, so that it receives
	// only the changes; zero if it has none. Unpacks states that the node accepts a compressed list. A node of an
	// older version sets none of them and receives the full list.
	ListOf  int64 `json:"list_of,omitempty"`
	List    int64 `json:"list,omitempty"`
	Unpacks bool  `json:"unpacks,omitempty"`
	// WorkersFingerprint is the fingerprint of the workers that the node received last; zero if it received none.
	WorkersFingerprint uint64 `json:"workers_print,omitempty"`
}

// Snapshot holds the newest readings of the feed.
type Snapshot struct {
	Incarnation int64 `json:"incarnation"`
	Reading     int64 `json:"reading"`
	// Runners is the registry's runner list at the revision. If the node stated that it has an earlier list, the
	// answer may instead contain the changes: Since is the reading of the earlier list, Changed and Gone are the
	// differences, and Length is the length of the new list. If the node accepts a compressed list, Packed may be set
	// instead. Copy.Complete restores the full list from either.
	Runners  []work.Runner       `json:"runners"`
	Since    int64               `json:"since,omitempty"`
	Changed  []work.Runner       `json:"changed,omitempty"`
	Gone     []ident.Incarnation `json:"gone,omitempty"`
	Length   int                 `json:"length,omitempty"`
	Packed   []byte              `json:"packed,omitempty"`
	Revision int64               `json:"revision"`
	// RunnersAgeMs is the time since the reading of the runners began, OrdersAgeMs the time since the newest answer
	// about the orders.
	RunnersAgeMs int64 `json:"runners_age_ms"`
	OrdersAgeMs  int64 `json:"orders_age_ms"`
	// Catalog is the configuration, or nil if the node already has this version.
	Catalog *work.Catalog `json:"catalog,omitempty"`
	// Retire lists the workers to be drained.
	Retire []work.Retirement `json:"retire,omitempty"`
	// Workers are the workers last seen by the feeding node. The list is empty if the feed does not know them, or if
	// the requesting node already has the list with this fingerprint. WorkersFingerprint is its fingerprint.
	Workers            []Worker `json:"workers,omitempty"`
	WorkersFingerprint uint64   `json:"workers_print,omitempty"`
	// HeldMs is how long the feed delayed the answer. The rest of the call's duration is transmission time.
	HeldMs int64 `json:"held_ms"`
}

// Worker is a node that runs batch jobs.
type Worker struct {
	Node ident.Node `json:"node"`
	Zone ident.Zone `json:"zone"`
	// Address is the address for calls from other nodes.
	Address string `json:"address"`
}

// Feed stores the newest readings of a node and serves them to other nodes. It is safe for concurrent use.
type Feed struct {
	Now func() time.Time
	// Workers returns the nodes that run batch jobs, in a list that is not changed afterwards; if it is nil, snapshots list no
	// workers.
	Workers func() []Worker
	// Refresh reads the orders anew and passes them to RecordOrders; if it is nil, Newest reports that it cannot read.
	Refresh func(ctx context.Context) error

	mutex       sync.Mutex
	incarnation int64
	reading     int64
	runners     []work.Runner
	revision    int64
	readAt      time.Time
	ordersAt    time.Time
	catalog     *work.Catalog
	retire      []work.Retirement
	changed     chan struct{}
	// history stores the changes of the last readings. compressed is the compressed list, or nil if it was not
	// requested yet.
	history    history
	compressed []byte
	// workers is the list of workers in the last snapshot, fingerprint its fingerprint.
	workers     []Worker
	fingerprint uint64
}

// New returns an empty feed.
func New(now func() time.Time) *Feed {
	// The incarnation is random: processes that start at the same time must not have the same one, or a node would
	// apply the changes of one feed to the list of another.
	return &Feed{Now: now, incarnation: rand.Int64N(math.MaxInt64) + 1, changed: make(chan struct{})}
}

// RecordRunners stores a reading of the runners that began at the given time. A reading older than the newest one is ignored.
func (f *Feed) RecordRunners(runners []work.Runner, revision int64, began time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if revision < f.revision || began.Before(f.readAt) {
		return
	}
	f.reading++
	f.history.record(f.reading, f.runners, runners)
	f.runners, f.revision, f.readAt, f.compressed = runners, revision, began, nil
	f.notifyWaiters()
}

// RecordOrders stores an answer about the orders, as of the given time.
func (f *Feed) RecordOrders(orders work.Orders, answered time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if answered.After(f.ordersAt) {
		f.ordersAt = answered
	}
	if catalog := orders.Catalog; catalog != nil && (f.catalog == nil || catalog.Version > f.catalog.Version) {
		f.catalog = catalog
		f.notifyWaiters()
	}
	for _, retirement := range orders.Retire {
		if !slices.Contains(f.retire, retirement) {
			f.retire = append(f.retire, retirement)
			f.reading++
			f.notifyWaiters()
		}
	}
}

// notifyWaiters wakes the calls that wait for a change. The caller holds the mutex.
func (f *Feed) notifyWaiters() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Snapshot answers a node: at once if the feed has something newer, otherwise at the next change or when the wait
// time is over.
func (f *Feed) Snapshot(ctx context.Context, known *SnapshotRequest) (*Snapshot, error) {
	began := f.Now()
	timer := time.NewTimer(min(time.Duration(known.WaitMs)*time.Millisecond, maxHold))
	defer timer.Stop()
	for waitExpired := false; ; {
		// HeldMs ends when the ages are computed. If the process freezes after that, the freeze counts as
		// transmission time.
		now := f.Now()
		snapshot, changed, err := f.compare(known, now, waitExpired)
		if err != nil {
			return nil, err
		}
		if snapshot != nil {
			snapshot.HeldMs = now.Sub(began).Milliseconds()
			f.addWorkers(snapshot, known)
			return snapshot, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			waitExpired = true
		case <-ctx.Done():
			return nil, fmt.Errorf("holding a call for a newer reading: %w", ctx.Err())
		}
	}
}

// maxHold is the maximum time that an answer is delayed.
const maxHold = 5 * time.Second

// compare returns the snapshot as of now if the feed has something newer or answerNow is set, otherwise nil. It also
// returns a channel that is closed at the next change.
func (f *Feed) compare(known *SnapshotRequest, now time.Time, answerNow bool) (*Snapshot, <-chan struct{}, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	newCatalog := f.catalog != nil && f.catalog.Version > known.CatalogVersion
	newer := known.Incarnation != f.incarnation || known.Reading != f.reading || newCatalog
	if !answerNow && (!newer || f.readAt.IsZero()) {
		return nil, f.changed, nil
	}
	snapshot := &Snapshot{
		Incarnation: f.incarnation, Reading: f.reading, Revision: f.revision,
		Retire:       slices.Clone(f.retire),
		RunnersAgeMs: ageMs(f.readAt, now), OrdersAgeMs: ageMs(f.ordersAt, now),
	}
	if newCatalog {
		snapshot.Catalog = f.catalog
	}
	return snapshot, f.changed, f.addRunners(snapshot, known)
}

// addWorkers adds the workers to a snapshot if they differ from those that the node received last.
func (f *Feed) addWorkers(snapshot *Snapshot, known *SnapshotRequest) {
	if f.Workers == nil {
		return
	}
	workers := f.Workers()
	snapshot.WorkersFingerprint = f.fingerprintOf(workers)
	if snapshot.WorkersFingerprint != known.WorkersFingerprint {
		snapshot.Workers = workers
	}
}

// fingerprintOf returns the fingerprint of a list of workers, which is made once for each list.
func (f *Feed) fingerprintOf(workers []Worker) uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !work.SameList(f.workers, workers) {
		f.workers, f.fingerprint = workers, workersFingerprint(workers)
	}
	return f.fingerprint
}

// workersFingerprint returns a hash of a list of workers that does not depend on their order; it is zero for an empty
// list.
func workersFingerprint(workers []Worker) uint64 {
	sum := uint64(0)
	for _, worker := range workers {
		sum += xxhash.Sum64String(string(worker.Node) + "\x00" + string(worker.Zone) + "\x00" + worker.Address)
	}
	return sum
}

// addRunners adds the runner list to a snapshot: as changes, compressed or as it is, depending on what the node
// accepts. The caller holds the mutex.
func (f *Feed) addRunners(snapshot *Snapshot, known *SnapshotRequest) (err error) {
	if known.ListOf == f.incarnation && known.List > 0 {
		merged, available := f.history.since(known.List)
		if available && merged.len() <= len(f.runners)/2 {
			snapshot.Since, snapshot.Changed, snapshot.Gone, snapshot.Length = known.List, merged.changed, merged.gone, len(f.runners)
			return nil
		}
	}
	if !known.Unpacks || len(f.runners) < compressMinRunners {
		snapshot.Runners = f.runners
		return nil
	}
	if f.compressed == nil {
		f.compressed, err = compress(f.runners)
	}
	snapshot.Packed = f.compressed
	return err
}

// MaxAge is the maximum age in a snapshot, and the age of a reading that was never made. It is older than any
// reading that is used, and can be added to without overflow, unlike the time since the zero time.
const MaxAge = 24 * time.Hour

// ageMs returns the time since a reading in milliseconds, at most MaxAge.
func ageMs(at, now time.Time) int64 {
	if at.IsZero() {
		return MaxAge.Milliseconds()
	}
	return min(now.Sub(at), MaxAge).Milliseconds()
}

// Newest is the result of reading the configuration on behalf of another node.
type Newest struct {
	// Catalog is the configuration, or nil if the node already has this version.
	Catalog *work.Catalog `json:"catalog,omitempty"`
	// Unread is the reason why the configuration could not be read; empty if it was read.
	Unread string `json:"unread,omitempty"`
}

// ErrCatalogUnreadable means that a node could not read the configuration on behalf of another node.
const ErrCatalogUnreadable = failure.Kind("fleet feed: the configuration could not be read")

// Newest answers a node that must not rely on anything read before its request: it reads the configuration anew.
func (f *Feed) Newest(ctx context.Context, known *SnapshotRequest) (*Newest, error) {
	if f.Refresh == nil {
		return &Newest{Unread: "this node reads for no other"}, nil
	}
	if err := f.Refresh(ctx); err != nil {
		return &Newest{Unread: err.Error()}, nil
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.catalog == nil || f.catalog.Version <= known.CatalogVersion {
		return &Newest{}, nil
	}
	return &Newest{Catalog: f.catalog}, nil
}

// Server serves snapshots and the configuration to other nodes.
type Server interface {
	Snapshot(ctx context.Context, known *SnapshotRequest) (*Snapshot, error)
	Newest(ctx context.Context, known *SnapshotRequest) (*Newest, error)
	KnownWorkers(ctx context.Context, request *WorkersRequest) (*WorkersAnswer, error)
}

const (
	methodSnapshot = "/mallowlatch.fleetfeed.Feed/Snapshot"
	methodNewest   = "/mallowlatch.fleetfeed.Feed/Newest"
	methodWorkers  = "/mallowlatch.fleetfeed.Feed/Workers"
)

// Description registers a Server with a drpc.Mux.
type Description struct{}

// NumMethods implements drpc.Description.
func (Description) NumMethods() int { return 3 }

// Method implements drpc.Description.
func (Description) Method(index int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	switch index {
	case 0:
		return methodSnapshot, jsoncall.Encoding{}, receiveSnapshot, Server.Snapshot, true
	case 1:
		return methodNewest, jsoncall.Encoding{}, receiveNewest, Server.Newest, true
	case 2:
		return methodWorkers, jsoncall.Encoding{}, receiveWorkers, Server.KnownWorkers, true
	}
	return "", nil, nil, nil, false
}

func receiveSnapshot(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
	return server.(Server).Snapshot(ctx, in.(*SnapshotRequest))
}

func receiveNewest(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
	return server.(Server).Newest(ctx, in.(*SnapshotRequest))
}

// FetchSnapshot requests a snapshot from the feed behind a connection.
func FetchSnapshot(ctx context.Context, connection drpc.Conn, known *SnapshotRequest) (*Snapshot, error) {
	snapshot := &Snapshot{}
	if err := connection.Invoke(ctx, methodSnapshot, jsoncall.Encoding{}, known, snapshot); err != nil {
		return nil, fmt.Errorf("asking a feed: %w", err)
	}
	return snapshot, nil
}

// FetchNewestCatalog requests that the node behind a connection read the configuration anew, and returns it if its version is
// newer than the given one.
func FetchNewestCatalog(ctx context.Context, connection drpc.Conn, version int64) (*work.Catalog, error) {
	newest := &Newest{}
	if err := connection.Invoke(ctx, methodNewest, jsoncall.Encoding{}, &SnapshotRequest{CatalogVersion: version}, newest); err != nil {
		return nil, fmt.Errorf("asking a feed for the newest configuration: %w", err)
	}
	if newest.Unread != "" {
		return nil, fmt.Errorf("%w: %s", ErrCatalogUnreadable, newest.Unread)
	}
	return newest.Catalog, nil
}
