package handoff

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"mallowlatch.example/mallowlatch/internal/durable"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
)

const (
	suffixEntry = ".job"
	// digestBytes is the length of the checksum at the beginning of a file.
	digestBytes = 8
	folderPerm  = 0o700
)

// Summary is the part of an entry that the log has in memory, without its file.
type Summary struct {
	Job    ident.Job
	Route  string
	Tenant ident.Tenant
	Tokens int
	Turn   int
	bytes  int64
}

// Queue returns the queue in which the job waits.
func (s Summary) Queue() jobrecord.Queue { return jobrecord.Queue{Route: s.Route, Tenant: s.Tenant} }

// Log is a folder with one file per entry. It is safe for concurrent use.
type Log struct {
	folder string
	// maxBytes is the limit of the total size of all files.
	maxBytes int64
	// reopened is true if the folder existed before.
	reopened bool

	mutex   sync.Mutex
	entries map[ident.Job]Summary
	bytes   int64
}

// Open reads the folder and creates it if it is missing. Files that are not complete entries are removed: their sync had
// not completed, so they were never acknowledged. The error wraps ErrDisk.
func Open(folder string, maxBytes int64) (*Log, error) {
	_, missing := os.Stat(folder)
	if err := os.MkdirAll(folder, folderPerm); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDisk, err)
	}
	files, err := os.ReadDir(folder)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDisk, err)
	}
	log := &Log{folder: folder, maxBytes: maxBytes, reopened: missing == nil, entries: map[ident.Job]Summary{}}
	for _, file := range files {
		if err := log.recover(file.Name()); err != nil {
			return nil, err
		}
	}
	return log, nil
}

// Reopened reports whether the folder existed before, which means that this process is a restart.
func (l *Log) Reopened() bool { return l.reopened }

// recover loads one file of an earlier process.
func (l *Log) recover(name string) error {
	path := filepath.Join(l.folder, name)
	content, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrDisk, err)
	}
	entry, err := decodeEntry(content)
	if err != nil || strings.HasSuffix(name, durable.SuffixPartial) {
		_ = os.Remove(path)
		return nil
	}
	l.add(entry, int64(len(content)))
	return nil
}

// add adds an entry to the index. The caller holds the mutex or is the only user.
func (l *Log) add(entry *Entry, size int64) {
	l.entries[entry.Job] = Summary{
		Job: entry.Job, Route: entry.Route, Tenant: entry.Tenant, Tokens: entry.Tokens(), Turn: entry.Turn, bytes: size,
	}
	l.bytes += size
}

// Put makes an entry durable. An entry that exists already is left unchanged. The error wraps ErrFull or ErrDisk.
func (l *Log) Put(entry *Entry) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, known := l.entries[entry.Job]; known {
		return nil
	}
	content, err := encodeEntry(entry)
	if err != nil {
		return err
	}
	size := int64(len(content))
	if l.bytes+size > l.maxBytes {
		return fmt.Errorf("%w: %d bytes are stored and the entry has %d, at most %d", ErrFull, l.bytes, size, l.maxBytes)
	}
	if err := durable.Write(l.path(entry.Job), content); err != nil {
		return fmt.Errorf("%w: %w", ErrDisk, err)
	}
	l.add(entry, size)
	return nil
}

// Load reads an entry. The error wraps ErrDisk or ErrDamaged.
func (l *Log) Load(job ident.Job) (*Entry, error) {
	content, err := os.ReadFile(l.path(job))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDisk, err)
	}
	return decodeEntry(content)
}

// Remove removes an entry. A file that reappears after a power loss is harmless: the job is delivered once more.
func (l *Log) Remove(job ident.Job) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known, found := l.entries[job]
	if !found {
		return
	}
	_ = os.Remove(l.path(job))
	delete(l.entries, job)
	l.bytes -= known.bytes
}

// Has reports whether the log has an entry of the job.
func (l *Log) Has(job ident.Job) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	_, known := l.entries[job]
	return known
}

// Entries returns the summaries of all entries, ordered by turn and job ID.
func (l *Log) Entries() []Summary {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	summaries := make([]Summary, 0, len(l.entries))
	for _, entry := range l.entries {
		summaries = append(summaries, entry)
	}
	slices.SortFunc(summaries, func(first, second Summary) int {
		if first.Turn != second.Turn {
			return first.Turn - second.Turn
		}
		return strings.Compare(string(first.Job), string(second.Job))
	})
	return summaries
}

// Tokens returns the total tokens of a queue's entries.
func (l *Log) Tokens(queue jobrecord.Queue) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	tokens := 0
	for _, entry := range l.entries {
		if queue.Contains(entry.Route, entry.Tenant) {
			tokens += entry.Tokens
		}
	}
	return tokens
}

// path returns the file name of a job. It is a digest, because job IDs are chosen by clients.
func (l *Log) path(job ident.Job) string {
	return filepath.Join(l.folder, fmt.Sprintf("%016x%s", xxhash.Sum64String(string(job)), suffixEntry))
}

func encodeEntry(entry *Entry) ([]byte, error) {
	encoded, err := json.Marshal(entry)
	if err != nil {
		return nil, fmt.Errorf("encoding the entry of job %s: %w", entry.Job, err)
	}
	content := make([]byte, digestBytes, digestBytes+len(encoded))
	binary.BigEndian.PutUint64(content, xxhash.Sum64(encoded))
	return append(content, encoded...), nil
}

func decodeEntry(content []byte) (*Entry, error) {
	if len(content) < digestBytes || binary.BigEndian.Uint64(content) != xxhash.Sum64(content[digestBytes:]) {
		return nil, ErrDamaged
	}
	entry := &Entry{}
	if err := json.Unmarshal(content[digestBytes:], entry); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return entry, nil
}
