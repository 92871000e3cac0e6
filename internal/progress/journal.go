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

// ErrDisk means that an update could not be written. It is kept in memory all the same.
const ErrDisk = failure.Kind("progress: disk failed")

const (
	journalName = "outputs"
	folderPerm  = 0o700
	filePerm    = 0o600
	// longestLine bounds a line that is read back: the output of all items of one job at most.
	longestLine = 16 << 20
)

// Journal is a Mirror whose outputs outlive its process: updates are appended to a file, which is written anew from memory
// when it has grown to its bound. Each line carries a checksum; what follows a damaged one is not read. It is safe for
// concurrent use.
type Journal struct {
	Mirror
	folder string
	// most bounds the file, in bytes.
	most int64

	file    *os.File
	written int64
}

// OpenJournal reads what an earlier process left in the folder, and makes it where it is missing.
func OpenJournal(folder string, most int64, now time.Time) (*Journal, error) {
	if err := os.MkdirAll(folder, folderPerm); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDisk, err)
	}
	j := &Journal{folder: folder, most: most}
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

// read takes over the lines of the file up to the first damaged one.
func (j *Journal) read(now time.Time) error {
	file, err := os.Open(j.path())
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrDisk, err)
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, longestLine)
	for lines.Scan() {
		update, err := decodeLine(lines.Bytes())
		if err != nil {
			return nil
		}
		j.Mirror.Take(update, now)
	}
	return nil
}

// errDamaged means that a line is not whole.
const errDamaged = failure.Kind("progress: damaged line")

// encodeLine is an update with the checksum of its text before it.
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
		return nil, errDamaged
	}
	update := &Update{}
	if err := json.Unmarshal(text, update); err != nil {
		return nil, fmt.Errorf("%w: %w", errDamaged, err)
	}
	return update, nil
}

// Keep takes over updates and writes them. It returns the items that are to be sent from the beginning, as Take does. An
// error wraps ErrDisk: the updates are in memory alone.
func (j *Journal) Keep(updates []Update, now time.Time) (gaps []ident.Request, err error) {
	for index := range updates {
		gaps = append(gaps, j.Take(&updates[index], now)...)
	}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return gaps, j.append(updates)
}

// append writes the updates and has them synced. The caller holds the mutex.
func (j *Journal) append(updates []Update) error {
	var lines []byte
	for index := range updates {
		line, err := encodeLine(&updates[index])
		if err != nil {
			return err
		}
		lines = append(lines, line...)
	}
	if j.written+int64(len(lines)) > j.most {
		return j.rewrite()
	}
	count, err := j.file.Write(lines)
	j.written += int64(count)
	if err == nil {
		err = j.file.Sync()
	}
	if err != nil {
		// Nothing behind a line that is cut short would be read again: the next update has the file written anew.
		j.written = j.most
		return fmt.Errorf("%w: %w", ErrDisk, err)
	}
	return nil
}

// rewrite writes what is in memory to a new file in the place of the old one. What does not fit is left out. The caller
// holds the mutex.
func (j *Journal) rewrite() error {
	content := j.content()
	if err := durable.Write(j.path(), content); err != nil {
		return fmt.Errorf("%w: %w", ErrDisk, err)
	}
	file, err := os.OpenFile(j.path(), os.O_WRONLY|os.O_APPEND, filePerm)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrDisk, err)
	}
	if j.file != nil {
		_ = j.file.Close()
	}
	j.file, j.written = file, int64(len(content))
	return nil
}

// content is what is in memory, as lines, half of the bound at most so that room is left for updates.
func (j *Journal) content() []byte {
	var content []byte
	for id, job := range j.jobs {
		update := &Update{Job: id}
		for _, kept := range job.outputs {
			update.Pieces = append(update.Pieces, Piece{Item: kept.Item, Run: kept.Run, LastEvent: kept.LastEvent, Text: kept.Text})
		}
		line, err := encodeLine(update)
		if err == nil && int64(len(content)+len(line)) <= j.most/2 {
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
