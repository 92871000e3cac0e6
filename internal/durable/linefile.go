package durable

import (
	"bufio"
	"bytes"
	"errors"
	"hash/crc32"
	"os"
	"strconv"
)

// EncodeLine returns a text without line feeds as a line of a LineFile: its checksum, a space and the text.
func EncodeLine(text []byte) []byte {
	line := strconv.AppendUint(nil, uint64(crc32.ChecksumIEEE(text)), 16)
	line = append(line, ' ')
	line = append(line, text...)
	return append(line, '\n')
}

// decodeLine returns the text of a line, or false if it is truncated or damaged.
func decodeLine(line []byte) ([]byte, bool) {
	sum, text, _ := bytes.Cut(line, []byte{' '})
	want, err := strconv.ParseUint(string(sum), 16, 32)
	return text, err == nil && uint32(want) == crc32.ChecksumIEEE(text)
}

// ReadLines passes the texts of the lines of a file to a function, up to the first line that is truncated, damaged or refused by the
// function, or longer than maxLineBytes. A file that does not exist has no lines.
func ReadLines(path string, maxLineBytes int, apply func(text []byte) bool) error {
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text, whole := decodeLine(scanner.Bytes())
		if !whole || !apply(text) {
			return nil
		}
	}
	return nil
}

// LineFile is a file that lines are appended to, and that is rewritten when it reaches its maximum size. It is not safe for concurrent use.
type LineFile struct {
	path string
	// maxBytes is the maximum size of the file, size the current one.
	maxBytes, size int64
	file           *os.File
}

// NewLineFile creates a LineFile with a content, in the place of a file that is there.
func NewLineFile(path string, maxBytes int64, content []byte) (*LineFile, error) {
	f := &LineFile{path: path, maxBytes: maxBytes}
	return f, f.Rewrite(content)
}

// Fits reports whether lines may be appended. If they may not, the file must be rewritten.
func (f *LineFile) Fits(lines []byte) bool { return f.size+int64(len(lines)) <= f.maxBytes }

// Append writes lines to the end of the file. After an error no lines fit, because lines behind a truncated one would not be read.
func (f *LineFile) Append(lines []byte) error {
	count, err := f.file.Write(lines)
	f.size += int64(count)
	if err != nil {
		f.size = f.maxBytes
	}
	return err
}

// Sync makes the appended lines outlive a loss of power. After an error no lines fit.
func (f *LineFile) Sync() error {
	err := f.file.Sync()
	if err != nil {
		f.size = f.maxBytes
	}
	return err
}

// Rewrite replaces the content of the file, and syncs it.
func (f *LineFile) Rewrite(content []byte) error {
	if err := Write(f.path, content); err != nil {
		return err
	}
	file, err := os.OpenFile(f.path, os.O_WRONLY|os.O_APPEND, filePerm)
	if err != nil {
		return err
	}
	if f.file != nil {
		_ = f.file.Close()
	}
	f.file, f.size = file, int64(len(content))
	return nil
}

// Close closes the file.
func (f *LineFile) Close() error { return f.file.Close() }
