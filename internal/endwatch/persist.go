package endwatch

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"

	"mallowlatch.example/mallowlatch/internal/durable"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/poison"
)

// ErrUnreadable means that the records on the disk cannot be read.
const ErrUnreadable = failure.Kind("end watch: records unreadable")

// keepEvery parts two writings of the records: in a storm they change some ten times a second.
const keepEvery = 200 * time.Millisecond

// Keep takes over the records of a file and writes it anew with each change. What is known outlives a loss of power of all nodes
// then, which would have each request that ends its runners end three more. The ages in the file stand still while no process
// runs: the time of day may step, and a record that is kept for longer costs little.
// What cannot be read is learned anew from others.
func (w *Watch) Keep(path string) {
	records, err := readRecords(path)
	if err != nil {
		event.EndsNotKept.Log(w.Logger).Err(err).Send()
	}
	w.Learn(records, false)
	w.Tomb.Go(func() error {
		for {
			select {
			case <-w.Tomb.Dying():
				return nil
			case <-w.Book.Changed():
			}
			if err := writeRecords(path, w.Book.All(w.Now())); err != nil {
				event.EndsNotKept.Log(w.Logger).Err(err).Send()
			}
			if !w.pause(keepEvery) {
				return nil
			}
		}
	})
}

// readRecords returns none where there is no file. The error wraps ErrUnreadable.
func readRecords(path string) ([]poison.Record, error) {
	content, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	var records []poison.Record
	if err := json.Unmarshal(content, &records); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return records, nil
}

func writeRecords(path string, records []poison.Record) error {
	content, err := json.Marshal(records)
	if err != nil {
		return fmt.Errorf("encoding the records of ended runners: %w", err)
	}
	if err := durable.Write(path, content); err != nil {
		return fmt.Errorf("writing the records of ended runners: %w", err)
	}
	return nil
}
