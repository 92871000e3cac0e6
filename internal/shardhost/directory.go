package shardhost

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/shard"
)

// Record is a replica set as the key-value service holds it.
type Record struct {
	Configuration shard.Configuration
	Revision      int64
}

// Directory follows the replica sets of all shards and remembers who was last seen to lead. It serves nodes with and
// without a disk. Its zero value is not usable; it is safe for concurrent use.
type Directory struct {
	store  kv.Store
	prefix string
	logger zerolog.Logger

	mutex   sync.Mutex
	records map[ident.Shard]Record
	leaders map[ident.Shard]ident.Node
	listed  bool
	changed func(ident.Shard, Record)
}

// NewDirectory returns a directory that is empty until Follow runs.
func NewDirectory(store kv.Store, prefix string, logger zerolog.Logger) *Directory {
	return &Directory{
		store: store, prefix: prefix, logger: logger,
		records: map[ident.Shard]Record{}, leaders: map[ident.Shard]ident.Node{},
	}
}

// Members returns the nodes of the shard's newest known set.
func (d *Directory) Members(id ident.Shard) []ident.Node {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var nodes []ident.Node
	for _, member := range d.records[id].Configuration.Members {
		nodes = append(nodes, member.Node)
	}
	return nodes
}

// Leader returns the node to ask first: the one last seen to lead if it is still a member, else any member. It reports
// whether the shard is known at all.
func (d *Directory) Leader(id ident.Shard) (ident.Node, bool) {
	members := d.Members(id)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if leader := d.leaders[id]; slices.Contains(members, leader) {
		return leader, true
	}
	if len(members) == 0 {
		return "", false
	}
	return members[0], true
}

// Led tells the directory that a node was seen to lead, or with an empty name that the known one does not.
func (d *Directory) Led(id ident.Shard, leader ident.Node) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.leaders[id] = leader
}

// Shards returns the known shards in order.
func (d *Directory) Shards() []ident.Shard {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var shards []ident.Shard
	for id := range d.records {
		shards = append(shards, id)
	}
	slices.Sort(shards)
	return shards
}

// Known is what a directory knows of a shard.
type Known struct {
	Shard ident.Shard
	Record
	// Leader is the node last seen to lead; empty if unknown, as it is on nodes without a replica of the shard.
	Leader ident.Node
}

// Known returns what is known of every shard, and whether the sets were listed at least once.
func (d *Directory) Known() ([]Known, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := make([]Known, 0, len(d.records))
	for id, record := range d.records {
		known = append(known, Known{Shard: id, Record: record, Leader: d.leaders[id]})
	}
	return known, d.listed
}

func (d *Directory) record(id ident.Shard) (Record, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known, found := d.records[id]
	return known, found
}

// complete reports whether the sets were listed at least once, so that a missing one does not exist.
func (d *Directory) complete() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.listed
}

// Bounds of the wait before the sets are listed again after a failure.
const (
	followBackoffFirst = 500 * time.Millisecond
	followBackoffLast  = 30 * time.Second
	listTimeout        = 10 * time.Second
)

// Follow lists and watches the sets until the context ends. A watch that breaks is begun again with a new list.
func (d *Directory) Follow(ctx context.Context) error {
	wait := followBackoffFirst
	for ctx.Err() == nil {
		if d.followOnce(ctx) {
			wait = followBackoffFirst
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		wait = min(2*wait, followBackoffLast)
	}
	return nil
}

// followOnce lists and watches until the watch breaks, and reports whether the list succeeded.
func (d *Directory) followOnce(ctx context.Context) bool {
	listing, cancel := context.WithTimeout(ctx, listTimeout)
	pairs, revision, err := d.store.List(listing, d.prefix)
	cancel()
	if err != nil {
		if ctx.Err() == nil {
			event.ShardStoreUnavailable.Log(d.logger).Err(err).Send()
		}
		return false
	}
	for _, pair := range pairs {
		d.learn(pair)
	}
	d.mutex.Lock()
	d.listed = true
	d.mutex.Unlock()
	watching, stop := context.WithCancel(ctx)
	defer stop()
	responses, err := d.store.Watch(watching, d.prefix, revision)
	if err != nil {
		return true
	}
	for response := range responses {
		if response.Err != nil {
			return true
		}
		for _, change := range response.Events {
			if !change.Deleted {
				d.learn(change.Pair)
			}
		}
	}
	return true
}

func (d *Directory) learn(pair kv.Pair) {
	id, err := shardOfRecord(d.prefix, pair.Key)
	if err != nil {
		event.ShardRecordInvalid.Log(d.logger).Err(err).Send()
		return
	}
	configuration, err := decodeRecord(pair.Value)
	if err != nil {
		event.ShardRecordInvalid.Log(d.logger).Uint32("shard", uint32(id)).Err(err).Send()
		return
	}
	d.note(id, Record{Configuration: configuration, Revision: pair.ModRevision})
}

// note keeps the newest record.
func (d *Directory) note(id ident.Shard, record Record) {
	d.mutex.Lock()
	known, found := d.records[id]
	newer := !found || record.Revision > known.Revision
	if newer {
		d.records[id] = record
	}
	changed := d.changed
	d.mutex.Unlock()
	if newer && changed != nil {
		changed(id, record)
	}
}
