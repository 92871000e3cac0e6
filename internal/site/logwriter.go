// Package site holds what every process on a platform's machine needs around its role: logs that never block, the
// order of a planned stop, and limits taken from the settings.
package site

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// queuedLines bounds the lines that wait to be written.
	queuedLines = 1024
	// linesEachSecond and bytesEachSecond bound what is written; beyond them only lines of failures pass.
	linesEachSecond = 200
	bytesEachSecond = 64 << 10
	// failureBudget is the budget of lines of failures, as a multiple.
	failureBudget = 2
)

// LogWriter writes lines in the background. A line that finds the queue full, or the budget of the second spent, is
// dropped and counted; the count is told with the next line that passes.
type LogWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	now     func() time.Time
	done    chan struct{}
	close   sync.Once

	mutex  sync.Mutex
	second int64
	count  int
	bytes  int
}

// NewLogWriter starts writing to destination until Close.
func NewLogWriter(destination io.Writer, now func() time.Time) *LogWriter {
	writer := &LogWriter{lines: make(chan []byte, queuedLines), now: now, done: make(chan struct{})}
	go writer.run(destination)
	return writer
}

// Write implements io.Writer for lines of unknown weight.
func (w *LogWriter) Write(line []byte) (int, error) {
	return w.write(line, 1)
}

// WriteLevel implements zerolog.LevelWriter. Lines of failures have twice the budget, so that they are kept before
// those of successes.
func (w *LogWriter) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	if level >= zerolog.WarnLevel {
		return w.write(line, failureBudget)
	}
	return w.write(line, 1)
}

func (w *LogWriter) write(line []byte, factor int) (int, error) {
	if !w.within(len(line), factor) {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// within charges a line to the budget of the present second.
func (w *LogWriter) within(size, factor int) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if second := w.now().Unix(); second != w.second {
		w.second, w.count, w.bytes = second, 0, 0
	}
	if w.count >= linesEachSecond*factor || w.bytes >= bytesEachSecond*factor {
		return false
	}
	w.count++
	w.bytes += size
	return true
}

func (w *LogWriter) run(destination io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		if dropped := w.dropped.Swap(0); dropped > 0 {
			_, _ = fmt.Fprintf(destination, "{\"name\":\"log_lines_dropped\",\"count\":%d}\n", dropped)
		}
		_, _ = destination.Write(line)
	}
}

// closeWait bounds the wait for the last lines when a reader has stopped.
const closeWait = 200 * time.Millisecond

// Close writes the queued lines and ends the writer. Nothing may be written after.
func (w *LogWriter) Close() {
	w.close.Do(func() { close(w.lines) })
	select {
	case <-w.done:
	case <-time.After(closeWait):
	}
}
