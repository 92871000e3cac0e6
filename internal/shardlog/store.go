// Package shardlog keeps the logs and states of a node's shard replicas on its disk, in one embedded store with one
// write-ahead log. One store for all shards means that one fsync can make the writes of many shards durable, and that
// the order of writes is kept across a crash: whatever was written before a synced write is durable with it.
package shardlog

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/cockroachdb/pebble"
	"github.com/cockroachdb/pebble/vfs"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// Failures of the store.
const (
	// ErrCorrupt means that stored bytes make no sense.
	ErrCorrupt = failure.Kind("shard log: corrupt")
	// ErrDisk means that the disk failed a read or a write. The replica must stop.
	ErrDisk = failure.Kind("shard log: disk failed")
	// ErrCompacted means that an entry is no longer in the log.
	ErrCompacted = failure.Kind("shard log: entry compacted")
	// ErrClosed means that the store is closed, or waits for the last readings to close.
	ErrClosed = failure.Kind("shard log: store closed")
)

// Options bound the store's memory and choose its file system.
type Options struct {
	// CacheBytes and MemTableBytes bound the block cache and each write buffer; zero means the defaults, which suit
	// a node that has 32 MB for control.
	CacheBytes    int64
	MemTableBytes uint64
	// FS is the file system; nil means the operating system's.
	FS vfs.FS
}

const (
	defaultCacheBytes    = 2 << 20
	defaultMemTableBytes = 2 << 20
	memTableStop         = 4
	levelZeroStop        = 24
	openFiles            = 64
	bytesPerSync         = 512 << 10
	incarnationBytes     = 16
	folderMode           = 0o700
)

// Store is the disk of one node. It is safe for concurrent use.
type Store struct {
	db          *pebble.DB
	incarnation string
	syncs       *atomic.Int64
	// uses are the readings and writes that do not end with the goroutines of the replicas.
	uses uses
}

// Open opens the store in the folder, or creates it with a new incarnation. The incarnation stands in the store itself:
// a folder that lost its data has lost its identity with it, so it can never vote as if it remembered.
func Open(folder string, options Options) (*Store, error) {
	if options.FS == nil {
		options.FS = vfs.Default
	}
	if err := createFolder(options.FS, folder); err != nil {
		return nil, err
	}
	syncs := &atomic.Int64{}
	settings := pebbleOptions(options)
	settings.FS = countingFS{FS: options.FS, syncs: syncs}
	defer settings.Cache.Unref()
	db, err := pebble.Open(folder, settings)
	if err != nil {
		return nil, fmt.Errorf("opening %s: %w: %w", folder, ErrDisk, err)
	}
	store := &Store{db: db, syncs: syncs, uses: uses{idle: make(chan struct{})}}
	if err := store.identify(); err != nil {
		return nil, errors.Join(err, db.Close())
	}
	return store, nil
}

// createFolder makes the folder and its entry in the parent durable: else a crash could undo the folder with everything
// that was synced in it.
func createFolder(fs vfs.FS, folder string) error {
	if err := fs.MkdirAll(folder, folderMode); err != nil {
		return fmt.Errorf("creating %s: %w: %w", folder, ErrDisk, err)
	}
	parent, err := fs.OpenDir(fs.PathDir(folder))
	if err != nil {
		return fmt.Errorf("opening the parent of %s: %w: %w", folder, ErrDisk, err)
	}
	if err := errors.Join(parent.Sync(), parent.Close()); err != nil {
		return fmt.Errorf("syncing the parent of %s: %w: %w", folder, ErrDisk, err)
	}
	return nil
}

func pebbleOptions(options Options) *pebble.Options {
	if options.CacheBytes == 0 {
		options.CacheBytes = defaultCacheBytes
	}
	if options.MemTableBytes == 0 {
		options.MemTableBytes = defaultMemTableBytes
	}
	return &pebble.Options{
		Cache:                       pebble.NewCache(options.CacheBytes),
		MemTableSize:                options.MemTableBytes,
		MemTableStopWritesThreshold: memTableStop,
		L0StopWritesThreshold:       levelZeroStop,
		MaxOpenFiles:                openFiles,
		BytesPerSync:                bytesPerSync,
		WALBytesPerSync:             bytesPerSync,
		FormatMajorVersion:          pebble.FormatNewest,
		Logger:                      stopLogger{},
	}
}

// stopLogger drops the store's chatter. A fatal failure of the store stops the process: going on after a failed write
// could acknowledge what is not on disk.
type stopLogger struct{}

// Infof implements pebble.Logger.
func (stopLogger) Infof(string, ...any) {}

// Errorf implements pebble.Logger.
func (stopLogger) Errorf(string, ...any) {}

// Fatalf implements pebble.Logger.
func (stopLogger) Fatalf(format string, arguments ...any) { panic(fmt.Sprintf(format, arguments...)) }

func (s *Store) identify() error {
	known, err := s.get([]byte{spaceIdentity})
	if err != nil {
		return err
	}
	if known == nil {
		random := make([]byte, incarnationBytes)
		if _, err := io.ReadFull(rand.Reader, random); err != nil {
			return fmt.Errorf("drawing an incarnation: %w", err)
		}
		known = []byte(hex.EncodeToString(random))
		// Durable before anyone hears of it: a node must not forget the name it was added under.
		if err := s.db.Set([]byte{spaceIdentity}, known, pebble.Sync); err != nil {
			return fmt.Errorf("writing the incarnation: %w: %w", ErrDisk, err)
		}
	}
	s.incarnation = string(known)
	return nil
}

// Incarnation returns the random identity of this folder.
func (s *Store) Incarnation() string { return s.incarnation }

// Close waits for the end of the readings that are open, then flushes and closes the store. The replicas must have ended.
func (s *Store) Close() error {
	s.uses.close()
	if err := s.db.Close(); err != nil {
		return fmt.Errorf("closing the store: %w: %w", ErrDisk, err)
	}
	return nil
}

// Shards returns the shards that have a replica here.
func (s *Store) Shards() ([]ident.Shard, error) {
	var shards []ident.Shard
	prefix := []byte{spaceMeta}
	err := s.scan(s.db, prefix, after(prefix), func(key, _ []byte) bool {
		shards = append(shards, shardOfKey(key))
		return true
	})
	return shards, err
}

// Usage is what the store costs.
type Usage struct {
	DiskBytes uint64
	// MemoryBytes are the write buffers, the block cache and the table cache.
	MemoryBytes int64
	// WrittenBytes and Syncs count the write-ahead log since the start.
	WrittenBytes uint64
	Syncs        int64
}

// Usage measures the store.
func (s *Store) Usage() Usage {
	metrics := s.db.Metrics()
	memory := int64(metrics.MemTable.Size) + metrics.BlockCache.Size + metrics.TableCache.Size
	return Usage{
		DiskBytes: metrics.DiskSpaceUsage(), MemoryBytes: memory,
		WrittenBytes: metrics.WAL.BytesWritten, Syncs: s.syncs.Load(),
	}
}

// get returns a copy of the value, or nil.
func (s *Store) get(key []byte) ([]byte, error) { return get(s.db, key) }

func get(reader pebble.Reader, key []byte) ([]byte, error) {
	value, closer, err := reader.Get(key)
	if errors.Is(err, pebble.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("reading: %w: %w", ErrDisk, err)
	}
	copied := append([]byte{}, value...)
	if err := closer.Close(); err != nil {
		return nil, fmt.Errorf("reading: %w: %w", ErrDisk, err)
	}
	return copied, nil
}

func (s *Store) scan(reader pebble.Reader, start, end []byte, visit func(key, value []byte) bool) error {
	return scan(reader, start, end, visit)
}

func scan(reader pebble.Reader, start, end []byte, visit func(key, value []byte) bool) error {
	iterator, err := reader.NewIter(&pebble.IterOptions{LowerBound: start, UpperBound: end})
	if err != nil {
		return fmt.Errorf("scanning: %w: %w", ErrDisk, err)
	}
	for valid := iterator.First(); valid; valid = iterator.Next() {
		if !visit(iterator.Key(), iterator.Value()) {
			break
		}
	}
	if err := iterator.Close(); err != nil {
		return fmt.Errorf("scanning: %w: %w", ErrDisk, err)
	}
	return nil
}
