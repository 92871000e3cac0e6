package progress

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"mallowlatch.example/mallowlatch/internal/durable"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// ErrDisk means that an update could not be written to disk. It is still applied in memory.
const ErrDisk = failure.Kind("progress: disk failed")

const (
	journalName = "outputs"
	folderMode  = 0o700
	// maxLineBytes is the maximum length of a line that is read: at most the output of all items of one job.
	maxLineBytes = 16 << 20
)

// Journal is a Mirror whose outputs survive a restart of the process. Updates are appended to a file, which is
// rewritten from memory when it reaches its maximum size. It is safe for concurrent use.
type Journal struct {
	Mirror
	// maxBytes is the maximum size of the file.
	maxBytes int64
	file     *durable.LineFile
}

// OpenJournal opens the journal in the folder and loads the outputs that an earlier process stored there. It creates
// the folder if it does not exist.
func OpenJournal(folder string, maxBytes int64, now time.Time) (*Journal, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDisk, err)
	}
	j := &Journal{maxBytes: maxBytes}
	path := filepath.Join(folder, journalName)
	if err := durable.ReadLines(path, maxLineBytes, func(text []byte) bool { return j.read(text, now) }); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDisk, err)
	}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	var err error
	if j.file, err = durable.NewLineFile(path, maxBytes, j.content()); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDisk, err)
	}
	return j, nil
}

// read applies the update of a line, and reports whether it is one.
func (j *Journal) read(text []byte, now time.Time) bool {
	update := &Update{}
	if err := json.Unmarshal(text, update); err != nil {
		return false
	}
	j.Mirror.Apply(update, now)
	return true
}

// encodeUpdate returns an update as a line.
func encodeUpdate(update *Update) ([]byte, error) {
	text, err := json.Marshal(update)
	if err != nil {
		return nil, fmt.Errorf("encoding an update: %w", err)
	}
	return durable.EncodeLine(text), nil
}

// Store applies updates in memory and writes them to the file. Like Take, it returns the items whose output must be
// sent again from the beginning. If an error wraps ErrDisk, the updates are in memory only.
func (j *Journal) Store(updates []Update, now time.Time) (gaps []ident.Request, err error) {
	for index := range updates {
		gaps = append(gaps, j.Apply(&updates[index], now)...)
	}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return gaps, j.append(updates)
}

// append writes and syncs the updates. The caller holds the mutex.
func (j *Journal) append(updates []Update) error {
	var lines []byte
	for index := range updates {
		line, err := encodeUpdate(&updates[index])
		if err != nil {
			return err
		}
		lines = append(lines, line...)
	}
	if !j.file.Fits(lines) {
		if err := j.file.Rewrite(j.content()); err != nil {
			return fmt.Errorf("%w: %w", ErrDisk, err)
		}
		return nil
	}
	err := j.file.Append(lines)
	if err == nil {
		err = j.file.Sync()
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrDisk, err)
	}
	return nil
}

// content returns the outputs in memory as lines, up to half of the maximum file size, which leaves free space for
// updates. The caller holds the mutex.
func (j *Journal) content() []byte {
	var content []byte
	for id, job := range j.jobs {
		update := &Update{Job: id}
		for _, stored := range job.outputs {
			update.Pieces = append(update.Pieces, OutputPart{Item: stored.Item, Run: stored.Run, LastEvent: stored.LastEvent, Text: stored.Text, Origin: stored.Origin})
		}
		line, err := encodeUpdate(update)
		if err == nil && int64(len(content)+len(line)) <= j.maxBytes/2 {
			content = append(content, line...)
		}
	}
	return content
}

// Close closes the file.
func (j *Journal) Close() error {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if err := j.file.Close(); err != nil {
		return fmt.Errorf("%w: %w", ErrDisk, err)
	}
	return nil
}
