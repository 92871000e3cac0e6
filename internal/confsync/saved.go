package confsync

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowlatch.example/mallowlatch/internal/confsync/confsyncpb"
	"mallowlatch.example/mallowlatch/internal/event"
)

const (
	savedFolder = "confsync"
	savedFile   = "copy.pb"
	// checksumBytes is the length of the checksum that precedes the saved copy.
	checksumBytes = 8
	// savePeriod is the minimum interval between two saves; it combines a burst of changes into fewer writes.
	savePeriod = 1 * time.Second
)

// save writes the copy to disk whenever its revision increases, until ctx is done.
func (r *Replica) save(ctx context.Context) error {
	saved := r.State().Revision
	for ctx.Err() == nil {
		r.mutex.Lock()
		state := r.core.State()
		advanced := r.advanced
		r.mutex.Unlock()
		if state.Revision > saved {
			if err := writeSaved(r.options.DataDir, state); err != nil {
				event.ConfigSaveFailed.Log(r.options.Logger).Err(err).Send()
			}
			saved = state.Revision
			_ = sleepContext(ctx, savePeriod)
			continue
		}
		select {
		case <-advanced:
		case <-ctx.Done():
		}
	}
	return nil
}

// load installs the saved copy, if there is one. An outdated copy is safe: it catches up like any stale copy.
func (r *Replica) load() {
	if r.options.DataDir == "" {
		return
	}
	state, err := readSaved(r.options.DataDir)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err != nil {
		event.ConfigLoadFailed.Log(r.options.Logger).Err(err).Send()
		return
	}
	r.Install(state)
}

// writeSaved replaces the saved copy atomically. The new file is synced to disk before it is renamed over the old one, so that
// a crash leaves either the old or the new file complete.
func writeSaved(dataDir string, state *State) error {
	folder := filepath.Join(dataDir, savedFolder)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return fmt.Errorf("save configuration: %w", err)
	}
	body := encode(&confsyncpb.SavedCopy{
		Revision:  state.Revision,
		Chain:     state.Chain,
		Resources: resourcesToWire(state.Resources()),
	})
	content := append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(body)), body...)
	file, err := os.CreateTemp(folder, savedFile+".*")
	if err != nil {
		return fmt.Errorf("save configuration: %w", err)
	}
	defer os.Remove(file.Name())
	_, writeErr := file.Write(content)
	if err := errors.Join(writeErr, file.Sync(), file.Close()); err != nil {
		return fmt.Errorf("save configuration: %w", err)
	}
	if err := os.Rename(file.Name(), filepath.Join(folder, savedFile)); err != nil {
		return fmt.Errorf("save configuration: %w", err)
	}
	return nil
}

func readSaved(dataDir string) (*State, error) {
	content, err := os.ReadFile(filepath.Join(dataDir, savedFolder, savedFile))
	if err != nil {
		return nil, fmt.Errorf("load configuration: %w", err)
	}
	if len(content) < checksumBytes {
		return nil, fmt.Errorf("load configuration: %d bytes: %w", len(content), ErrCorrupt)
	}
	body := content[checksumBytes:]
	if binary.BigEndian.Uint64(content) != xxhash.Sum64(body) {
		return nil, fmt.Errorf("load configuration: checksum: %w", ErrCorrupt)
	}
	var wire confsyncpb.SavedCopy
	if err := decode(body, &wire); err != nil {
		return nil, fmt.Errorf("load configuration: %w", err)
	}
	return NewState(wire.GetRevision(), wire.GetChain(), resourcesFromWire(wire.GetResources())), nil
}
