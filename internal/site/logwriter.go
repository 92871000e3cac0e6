// Package site holds what every process on a platform's machine needs regardless of its role: a log writer that never
// blocks, the delay of requests during startup, the sequence of a planned stop, and the runtime limits taken from the
// settings.
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
	// maxQueuedLines is the capacity of the queue of lines to be written.
	maxQueuedLines = 1024
	// maxLinesPerSecond and maxBytesPerSecond limit the output. Beyond them only lines of warnings and errors are
	// written.
	maxLinesPerSecond = 200
	maxBytesPerSecond = 64 << 10
	// failureBudgetFactor multiplies the limits for lines of warnings and errors.
	failureBudgetFactor = 2
)

// LogWriter writes log lines in the background. A line is dropped and counted if the queue is full or the limit of
// the current second is reached. The count is written before the next line.
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

// NewLogWriter returns a LogWriter that writes to destination until Close is called.
func NewLogWriter(destination io.Writer, now func() time.Time) *LogWriter {
	writer := &LogWriter{lines: make(chan []byte, maxQueuedLines), now: now, done: make(chan struct{})}
	go writer.run(destination)
	return writer
}

// Write implements io.Writer for lines of unknown level.
func (w *LogWriter) Write(line []byte) (int, error) {
	return w.write(line, 1)
}

// WriteLevel implements zerolog.LevelWriter. Lines of warnings and errors have twice the limits, so that they are
// still written when other lines are dropped.
func (w *LogWriter) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	if level >= zerolog.WarnLevel {
		return w.write(line, failureBudgetFactor)
	}
	return w.write(line, 1)
}

func (w *LogWriter) write(line []byte, factor int) (int, error) {
	if !w.chargeBudget(len(line), factor) {
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

// chargeBudget counts a line against the limits of the current second and reports whether it may be written.
func (w *LogWriter) chargeBudget(size, factor int) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if second := w.now().Unix(); second != w.second {
		w.second, w.count, w.bytes = second, 0, 0
	}
	if w.count >= maxLinesPerSecond*factor || w.bytes >= maxBytesPerSecond*factor {
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

// closeTimeout is how long Close waits for the queued lines if the destination blocks.
const closeTimeout = 200 * time.Millisecond

// Close writes the queued lines and stops the writer. Write must not be called afterwards.
func (w *LogWriter) Close() {
	w.close.Do(func() { close(w.lines) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
