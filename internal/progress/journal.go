package progress

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"strconv"
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
	fileMode    = 0o600
	// maxLineBytes is the maximum length of a line that is read: at most the output of all items of one job.
	maxLineBytes = 16 << 20
)

// Journal is a Mirror whose outputs survive a restart of the process. Updates are appended to a file, which is
// rewritten from memory when it reaches its maximum size. Each line carries a checksum; reading stops at the first
// corrupt line. It is safe for concurrent use.
type Journal struct {
	Mirror
	folder string
	// maxBytes is the maximum size of the file.
	maxBytes int64

	file *os.File
	size int64
}

// OpenJournal opens the journal in the folder and loads the outputs that an earlier process stored there. It creates
// the folder if it does not exist.
func OpenJournal(folder string, maxBytes int64, now time.Time) (*Journal, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDisk, err)
	}
	j := &Journal{folder: folder, maxBytes: maxBytes}
	if err := j.read(now); err != nil {
		return nil, err
	}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if err := j.rewrite(); err != nil {
		return nil, err
	}
	return j, nil
}

func (j *Journal) path() string { return filepath.Join(j.folder, journalName) }

// read applies the lines of the file up to the first corrupt one.
func (j *Journal) read(now time.Time) error {
	file, err := os.Open(j.path())
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrDisk, err)
	}
	defer func() { _ = file.Close() }()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		update, err := decodeLine(scanner.Bytes())
		if err != nil {
			return nil
		}
		j.Mirror.Apply(update, now)
	}
	return nil
}

// errCorruptLine means that a line is truncated or its checksum does not match.
const errCorruptLine = failure.Kind("progress: damaged line")

// encodeLine returns an update as a line: the checksum of its JSON text, a space and the text.
func encodeLine(update *Update) ([]byte, error) {
	text, err := json.Marshal(update)
	if err != nil {
		return nil, fmt.Errorf("encoding an update: %w", err)
	}
	line := strconv.AppendUint(nil, uint64(crc32.ChecksumIEEE(text)), 16)
	line = append(line, ' ')
	line = append(line, text...)
	return append(line, '\n'), nil
}

func decodeLine(line []byte) (*Update, error) {
	sum, text, _ := bytes.Cut(line, []byte{' '})
	want, err := strconv.ParseUint(string(sum), 16, 32)
	if err != nil || uint32(want) != crc32.ChecksumIEEE(text) {
		return nil, errCorruptLine
	}
	update := &Update{}
	if err := json.Unmarshal(text, update); err != nil {
		return nil, fmt.Errorf("%w: %w", errCorruptLine, err)
	}
	return update, nil
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
		line, err := encodeLine(&updates[index])
		if err != nil {
			return err
		}
		lines = append(lines, line...)
	}
	if j.size+int64(len(lines)) > j.maxBytes {
		return j.rewrite()
	}
	count, err := j.file.Write(lines)
	j.size += int64(count)
	if err == nil {
		err = j.file.Sync()
	}
	if err != nil {
		// Lines behind a truncated one would not be read after a restart, so the next update rewrites the file.
		j.size = j.maxBytes
		return fmt.Errorf("%w: %w", ErrDisk, err)
	}
	return nil
}

// rewrite replaces the file by one with the outputs in memory, without those that exceed the size limit. The caller
// holds the mutex.
func (j *Journal) rewrite() error {
	content := j.content()
	if err := durable.Write(j.path(), content); err != nil {
		return fmt.Errorf("%w: %w", ErrDisk, err)
	}
	file, err := os.OpenFile(j.path(), os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrDisk, err)
	}
	if j.file != nil {
		_ = j.file.Close()
	}
	j.file, j.size = file, int64(len(content))
	return nil
}

// content returns the outputs in memory as lines, up to half of the maximum file size, which leaves free space for
// updates. The caller holds the mutex.
func (j *Journal) content() []byte {
	var content []byte
	for id, job := range j.jobs {
		update := &Update{Job: id}
		for _, stored := range job.outputs {
			update.Pieces = append(update.Pieces, OutputPart{Item: stored.Item, Run: stored.Run, LastEvent: stored.LastEvent, Text: stored.Text})
		}
		line, err := encodeLine(update)
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
