package shardlog

import (
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/pebble/vfs"
)

// countingFS counts the syncs of the write-ahead log: the cost that group commit is there to share.
type countingFS struct {
	vfs.FS
	syncs *atomic.Int64
}

const logSuffix = ".log"

// Create implements vfs.FS.
func (f countingFS) Create(name string) (vfs.File, error) {
	file, err := f.FS.Create(name)
	return f.count(name, file, err)
}

// ReuseForWrite implements vfs.FS.
func (f countingFS) ReuseForWrite(oldName, newName string) (vfs.File, error) {
	file, err := f.FS.ReuseForWrite(oldName, newName)
	return f.count(newName, file, err)
}

func (f countingFS) count(name string, file vfs.File, err error) (vfs.File, error) {
	if err != nil || !strings.HasSuffix(name, logSuffix) {
		return file, err
	}
	return countingFile{File: file, syncs: f.syncs}, nil
}

type countingFile struct {
	vfs.File
	syncs *atomic.Int64
}

// Sync implements vfs.File.
func (f countingFile) Sync() error {
	f.syncs.Add(1)
	return f.File.Sync()
}

// SyncData implements vfs.File.
func (f countingFile) SyncData() error {
	f.syncs.Add(1)
	return f.File.SyncData()
}
