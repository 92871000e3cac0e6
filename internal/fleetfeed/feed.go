// Package fleetfeed passes what one node read of the runners and the configuration on to nodes of its zone, over drpc.
// Each reading of the registry has its price; with a feed one node of a zone pays it for all. A snapshot carries its
// age, so that a node whose feed is old, silent or gone reads for itself.
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

// Known is what a node already has.
type Known struct {
	// Reading numbers the feed's readings; zero has none.
	Reading int64 `json:"reading"`
	// Incarnation tells feeds of different processes apart: their numbers mean nothing to each other.
	Incarnation int64 `json:"incarnation"`
	// CatalogVersion is that of the configuration in force.
	CatalogVersion int64 `json:"catalog_version"`
	// WaitMs is how long the answer may be held for a newer reading, in milliseconds.
	WaitMs int64 `json:"wait_ms"`
	// ListOf and List are the incarnation and the reading of the list that the node has, to be told the changes to it alone; zero has none.
	// Unpacks says that it takes a packed list. A node of an older build says neither, and is told the list whole.
	ListOf  int64 `json:"list_of,omitempty"`
	List    int64 `json:"list,omitempty"`
	Unpacks bool  `json:"unpacks,omitempty"`
	// WorkersPrint is the print of the workers that the node was told last; zero was told none.
	WorkersPrint uint64 `json:"workers_print,omitempty"`
}

// Snapshot is what the feeding node read last.
type Snapshot struct {
	Incarnation int64 `json:"incarnation"`
	Reading     int64 `json:"reading"`
	// Runners are those of the registry at the revision. Where the node said that it has an earlier list, Since is the reading of that, and
	// Changed and Gone what changed, and Length how many there are then; where it takes a packed list, Packed may be there instead.
	// Copy.Complete makes either whole.
	Runners  []work.Runner       `json:"runners"`
	Since    int64               `json:"since,omitempty"`
	Changed  []work.Runner       `json:"changed,omitempty"`
	Gone     []ident.Incarnation `json:"gone,omitempty"`
	Length   int                 `json:"length,omitempty"`
	Packed   []byte              `json:"packed,omitempty"`
	Revision int64               `json:"revision"`
	// RunnersAgeMs is the time since the reading began, OrdersAgeMs since the newest answer about the orders.
	RunnersAgeMs int64 `json:"runners_age_ms"`
	OrdersAgeMs  int64 `json:"orders_age_ms"`
	// Catalog is the configuration, or nil where the node has this version.
	Catalog *work.Catalog `json:"catalog,omitempty"`
	// Retire holds the workers to be emptied.
	Retire []work.Retirement `json:"retire,omitempty"`
	// Workers are those that run batch jobs, as the node last saw them; none means that it does not know, or that they are those of the
	// print that the asking node has. WorkersPrint is their print.
	Workers      []Worker `json:"workers,omitempty"`
	WorkersPrint uint64   `json:"workers_print,omitempty"`
	// HeldMs is how long the answer was held; what is left of the call's time was its way.
	HeldMs int64 `json:"held_ms"`
}

// Worker is a node that runs batch jobs.
type Worker struct {
	Node ident.Node `json:"node"`
	Zone ident.Zone `json:"zone"`
	// Address is where other nodes call it.
	Address string `json:"address"`
}

// Feed holds the newest readings of a node and answers others. It is safe for concurrent use.
type Feed struct {
	Now func() time.Time
	// Workers returns the nodes that run batch jobs; nil tells none.
	Workers func() []Worker
	// Refresh reads the orders anew and notes them here; nil cannot.
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
	// history is what the last readings changed. packed is the list in its packed form once it was asked for, or nil.
	history history
	packed  []byte
}

// New returns an empty feed.
func New(now func() time.Time) *Feed {
	// Drawn: nodes that start at the same moment must not take each other's lists for their own.
	return &Feed{Now: now, incarnation: rand.Int64N(math.MaxInt64) + 1, changed: make(chan struct{})}
}

// Read notes a reading of the runners that began at the time. One older than the newest is passed over.
func (f *Feed) Read(runners []work.Runner, revision int64, began time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if revision < f.revision || began.Before(f.readAt) {
		return
	}
	f.reading++
	f.history.note(f.reading, f.runners, runners)
	f.runners, f.revision, f.readAt, f.packed = runners, revision, began, nil
	f.wake()
}

// Orders notes an answer about the orders as of the time.
func (f *Feed) Orders(orders work.Orders, answered time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if answered.After(f.ordersAt) {
		f.ordersAt = answered
	}
	if catalog := orders.Catalog; catalog != nil && (f.catalog == nil || catalog.Version > f.catalog.Version) {
		f.catalog = catalog
		f.wake()
	}
	for _, retirement := range orders.Retire {
		if !slices.Contains(f.retire, retirement) {
			f.retire = append(f.retire, retirement)
			f.reading++
			f.wake()
		}
	}
}

// wake tells those that wait. The caller holds the mutex.
func (f *Feed) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Snapshot answers a node: at once where it lacks something, otherwise when something comes or the wait is over.
func (f *Feed) Snapshot(ctx context.Context, known *Known) (*Snapshot, error) {
	began := f.Now()
	timer := time.NewTimer(min(time.Duration(known.WaitMs)*time.Millisecond, longestHold))
	defer timer.Stop()
	for over := false; ; {
		// The time held ends where the ages are told: a freeze after that is the answer's way.
		now := f.Now()
		snapshot, changed, err := f.compare(known, now, over)
		if err != nil {
			return nil, err
		}
		if snapshot != nil {
			snapshot.HeldMs = now.Sub(began).Milliseconds()
			f.tellWorkers(snapshot, known)
			return snapshot, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-ctx.Done():
			return nil, fmt.Errorf("holding a call for a newer reading: %w", ctx.Err())
		}
	}
}

// longestHold bounds how long an answer is held.
const longestHold = 5 * time.Second

// compare returns the snapshot as of now where the node lacks something or is to be answered anyway, nil otherwise, and what is closed at
// the next change.
func (f *Feed) compare(known *Known, now time.Time, anyway bool) (*Snapshot, <-chan struct{}, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	newCatalog := f.catalog != nil && f.catalog.Version > known.CatalogVersion
	newer := known.Incarnation != f.incarnation || known.Reading != f.reading || newCatalog
	if !anyway && (!newer || f.readAt.IsZero()) {
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
	return snapshot, f.changed, f.tellRunners(snapshot, known)
}

// tellWorkers gives a snapshot the workers, where they are not those that the node was told.
func (f *Feed) tellWorkers(snapshot *Snapshot, known *Known) {
	if f.Workers == nil {
		return
	}
	workers := f.Workers()
	snapshot.WorkersPrint = print(workers)
	if snapshot.WorkersPrint != known.WorkersPrint {
		snapshot.Workers = workers
	}
}

// print tells lists of workers apart, in whatever order they are; zero is that of none.
func print(workers []Worker) uint64 {
	sum := uint64(0)
	for _, worker := range workers {
		sum += xxhash.Sum64String(string(worker.Node) + "\x00" + string(worker.Zone) + "\x00" + worker.Address)
	}
	return sum
}

// tellRunners gives a snapshot the list in the shortest form that the node takes. The caller holds the mutex.
func (f *Feed) tellRunners(snapshot *Snapshot, known *Known) (err error) {
	if known.ListOf == f.incarnation && known.List > 0 {
		made, kept := f.history.since(known.List)
		if kept && made.len() <= len(f.runners)/2 {
			snapshot.Since, snapshot.Changed, snapshot.Gone, snapshot.Length = known.List, made.changed, made.gone, len(f.runners)
			return nil
		}
	}
	if !known.Unpacks || len(f.runners) < packFrom {
		snapshot.Runners = f.runners
		return nil
	}
	if f.packed == nil {
		f.packed, err = pack(f.runners)
	}
	snapshot.Packed = f.packed
	return err
}

// LongestAge is what is told of a reading that was never made. It is older than any that is used, and can be added to: the time since
// the zero time can't.
const LongestAge = 24 * time.Hour

// ageMs is how long ago a reading was, in milliseconds.
func ageMs(at, now time.Time) int64 {
	if at.IsZero() {
		return LongestAge.Milliseconds()
	}
	return min(now.Sub(at), LongestAge).Milliseconds()
}

// Newest is what a reading of the configuration for another node brought.
type Newest struct {
	// Catalog is the configuration, or nil where the node has this version.
	Catalog *work.Catalog `json:"catalog,omitempty"`
	// Unread says why the configuration could not be read; empty where it was.
	Unread string `json:"unread,omitempty"`
}

// ErrUnread means that a node could not read the configuration for another one.
const ErrUnread = failure.Kind("fleet feed: the configuration could not be read")

// Newest answers a node that must not go by what was read before its question: the configuration is read anew.
func (f *Feed) Newest(ctx context.Context, known *Known) (*Newest, error) {
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

// Server answers nodes.
type Server interface {
	Snapshot(ctx context.Context, known *Known) (*Snapshot, error)
	Newest(ctx context.Context, known *Known) (*Newest, error)
}

const (
	methodSnapshot = "/mallowlatch.fleetfeed.Feed/Snapshot"
	methodNewest   = "/mallowlatch.fleetfeed.Feed/Newest"
)

// Description registers a Server with a drpc.Mux.
type Description struct{}

// NumMethods implements drpc.Description.
func (Description) NumMethods() int { return 2 }

// Method implements drpc.Description.
func (Description) Method(index int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	switch index {
	case 0:
		return methodSnapshot, jsoncall.Encoding{}, receiveSnapshot, Server.Snapshot, true
	case 1:
		return methodNewest, jsoncall.Encoding{}, receiveNewest, Server.Newest, true
	}
	return "", nil, nil, nil, false
}

func receiveSnapshot(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
	return server.(Server).Snapshot(ctx, in.(*Known))
}

func receiveNewest(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
	return server.(Server).Newest(ctx, in.(*Known))
}

// Ask asks the feed behind a connection.
func Ask(ctx context.Context, connection drpc.Conn, known *Known) (*Snapshot, error) {
	snapshot := &Snapshot{}
	if err := connection.Invoke(ctx, methodSnapshot, jsoncall.Encoding{}, known, snapshot); err != nil {
		return nil, fmt.Errorf("asking a feed: %w", err)
	}
	return snapshot, nil
}

// AskNewest has the node behind a connection read the configuration anew, and returns it where its version is newer than the given one.
func AskNewest(ctx context.Context, connection drpc.Conn, version int64) (*work.Catalog, error) {
	newest := &Newest{}
	if err := connection.Invoke(ctx, methodNewest, jsoncall.Encoding{}, &Known{CatalogVersion: version}, newest); err != nil {
		return nil, fmt.Errorf("asking a feed for the newest configuration: %w", err)
	}
	if newest.Unread != "" {
		return nil, fmt.Errorf("%w: %s", ErrUnread, newest.Unread)
	}
	return newest.Catalog, nil
}
