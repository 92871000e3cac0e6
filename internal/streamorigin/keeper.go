package streamorigin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/durable"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

// ErrDisk means that origins or versions could not be read from the disk or written to it. They are still in memory.
const ErrDisk = failure.Kind("stream origins: disk failed")

const (
	folderMode   = 0o700
	originsName  = "streams"
	versionsName = "versions"
	// maxFileBytes is the size at which the file of origins is rewritten.
	maxFileBytes = 16 << 20
	maxLineBytes = 4 << 10
	// versionsInterval is the interval at which versions that are no longer remembered are removed from the disk.
	versionsInterval = time.Second
)

// Answer is what a Keeper knows of a stream.
type Answer struct {
	// Recorded means that the origin was recorded here. It is unknown all the same if it has no version.
	Recorded bool        `json:"recorded,omitempty"`
	Origin   work.Origin `json:"origin,omitzero"`
	// Versions are the software versions that the services asked for have or had within the time that streams take.
	Versions map[string][]work.Version `json:"versions,omitempty"`
	// Certain means that Versions lacks no version that a stream in progress may have begun at.
	Certain bool `json:"certain,omitempty"`
}

// Keeper is a worker's record of the origins of streams that other nodes began, and of the software versions that services had. With a
// folder it survives a restart of the process. Its exported fields are set before Open. It is safe for concurrent use.
type Keeper struct {
	Runners *runnertable.Table
	// FirstStart means that the whole site starts for the first time, so that no stream began before.
	FirstStart bool
	Logger     zerolog.Logger
	// Now is the time for ages, Date the one that outlives the process.
	Now  func() time.Time
	Date func() time.Time

	folder  string
	started time.Time
	// loaded means that the versions were read from the disk.
	loaded bool
	book   *Book
	mutex  sync.Mutex
	file   *durable.LineFile
}

// line is the text of a line in the file of origins.
type line struct {
	Record
	// Ms is when the record was kept, in Unix milliseconds.
	Ms int64 `json:"ms"`
}

// Open loads what an earlier process kept in the folder, and begins to keep. An empty folder keeps in memory only. What cannot be read
// is unknown.
func (k *Keeper) Open(folder string) error {
	k.folder, k.started, k.book = folder, k.Now(), NewBook()
	if folder == "" {
		return nil
	}
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return fmt.Errorf("%w: %w", ErrDisk, err)
	}
	if err := k.readVersions(); err != nil {
		return err
	}
	if err := durable.ReadLines(k.path(originsName), maxLineBytes, k.readOrigin); err != nil {
		return fmt.Errorf("%w: %w", ErrDisk, err)
	}
	file, err := durable.NewLineFile(k.path(originsName), maxFileBytes, k.content())
	if err != nil {
		return fmt.Errorf("%w: %w", ErrDisk, err)
	}
	k.file = file
	return nil
}

func (k *Keeper) path(name string) string { return filepath.Join(k.folder, name) }

// readVersions reads the versions that were known before a restart. Those no longer in use are forgotten after their time.
func (k *Keeper) readVersions() error {
	content, err := os.ReadFile(k.path(versionsName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrDisk, err)
	}
	versions := map[string][]work.Version{}
	if err := json.Unmarshal(content, &versions); err != nil {
		return fmt.Errorf("%w: %w", ErrDisk, err)
	}
	k.Runners.RememberVersions(versions, k.Now())
	k.loaded = true
	return nil
}

// readOrigin adds the record of a line unless it is too old, and reports whether it could be read. The date may have been stepped; a date
// in the future counts as now.
func (k *Keeper) readOrigin(text []byte) bool {
	var read line
	if json.Unmarshal(text, &read) != nil {
		return false
	}
	if age := k.Date().Sub(time.UnixMilli(read.Ms)); age <= retention {
		k.book.Add(read.Record, k.Now())
	}
	return true
}

// content returns all records as lines.
func (k *Keeper) content() []byte {
	return k.encode(k.book.All(k.Now()))
}

func (k *Keeper) encode(records []Record) []byte {
	var lines []byte
	ms := k.Date().UnixMilli()
	for _, record := range records {
		text, err := json.Marshal(line{Record: record, Ms: ms})
		if err == nil && len(text) < maxLineBytes/2 {
			lines = append(lines, durable.EncodeLine(text)...)
		}
	}
	return lines
}

// Keep keeps origins. They are written to the disk before it returns, and not synced: they outlive a kill of the process.
func (k *Keeper) Keep(records []Record) {
	now := k.Now()
	for _, record := range records {
		k.book.Add(record, now)
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.file == nil {
		return
	}
	if err := k.write(k.encode(records)); err != nil {
		event.OriginsNotStored.Log(k.Logger).Int("streams", len(records)).Err(err).Send()
	}
}

// write appends lines to the file. The caller holds the mutex.
func (k *Keeper) write(lines []byte) error {
	if k.file.Fits(lines) {
		return k.file.Append(lines)
	}
	return k.file.Rewrite(k.content())
}

// Find returns what is known of a stream, and of the versions of services.
func (k *Keeper) Find(stream ident.Request, services []string) Answer {
	now := k.Now()
	answer := Answer{Versions: map[string][]work.Version{}, Certain: k.certain(now)}
	answer.Origin, answer.Recorded = k.book.Find(stream, now)
	for _, service := range services {
		answer.Versions[service] = k.Runners.Versions(service, now)
	}
	return answer
}

// certain reports whether the remembered versions lack none that a stream in progress may have begun at.
func (k *Keeper) certain(now time.Time) bool {
	return k.Runners.Count() > 0 && (k.FirstStart || k.loaded || now.Sub(k.started) > retention)
}

// Start keeps the versions on the disk until the tomb dies.
func (k *Keeper) Start(parent *tomb.Tomb) {
	if k.folder == "" {
		return
	}
	parent.Go(func() error {
		ticker := time.NewTicker(versionsInterval)
		defer ticker.Stop()
		var written map[string][]work.Version
		for {
			select {
			case <-parent.Dying():
				return nil
			case <-k.Runners.NewVersion():
			case <-ticker.C:
			}
			versions := k.Runners.AllVersions(k.Now())
			if !k.certain(k.Now()) || maps.EqualFunc(written, versions, slices.Equal[[]work.Version]) {
				continue
			}
			if err := k.writeVersions(versions); err != nil {
				event.OriginsNotStored.Log(k.Logger).Err(err).Send()
				continue
			}
			written = versions
		}
	})
}

// writeVersions makes versions outlive a loss of power.
func (k *Keeper) writeVersions(versions map[string][]work.Version) error {
	content, err := json.Marshal(versions)
	if err != nil {
		return fmt.Errorf("encoding the versions of runners: %w", err)
	}
	if err := durable.Write(k.path(versionsName), content); err != nil {
		return fmt.Errorf("%w: %w", ErrDisk, err)
	}
	return nil
}
