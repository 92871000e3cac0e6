package poisonwatch

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

// ErrUnreadable means that the records on disk cannot be read.
const ErrUnreadable = failure.Kind("end watch: records unreadable")

// writeInterval is the minimum time between two writes of the records: in a failure storm they change some ten times per
// second.
const writeInterval = 200 * time.Millisecond

// Persist loads the records from a file and rewrites it after changes. The records thus survive a simultaneous restart of
// all nodes; without them each request that ends its runners would end three more. Ages in the file do not advance while
// no process runs: the wall clock may step, and retaining a record for longer costs little. Records that cannot be read
// are obtained again from other nodes.
func (w *Watch) Persist(path string) {
	records, err := readRecords(path)
	if err != nil {
		event.EndsNotStored.Log(w.Logger).Err(err).Send()
	}
	w.ApplyRecords(records, false)
	w.Tomb.Go(func() error {
		for {
			select {
			case <-w.Tomb.Dying():
				return nil
			case <-w.Book.Changed():
			}
			if err := writeRecords(path, w.Book.All(w.Now())); err != nil {
				event.EndsNotStored.Log(w.Logger).Err(err).Send()
			}
			if !w.pause(writeInterval) {
				return nil
			}
		}
	})
}

// readRecords returns no records if there is no file. The error wraps ErrUnreadable.
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
