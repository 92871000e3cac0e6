package main

import (
	"os"
	"path/filepath"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/site"
)

// profileDuration is the length of a processor profile that is written on request.
const profileDuration = 10 * time.Second

// startProfile writes a processor profile in the background: below the data folder, or in the system's folder for temporary
// files on a machine without a disk.
func (p *process) startProfile() {
	folder := p.settings.Node.DataFolder
	if folder == "" {
		folder = os.TempDir()
	}
	path := filepath.Join(folder, "cpu-"+p.settings.Node.Name+".pprof")
	p.tomb.Go(func() error {
		err := site.WriteCPUProfile(path, profileDuration, p.tomb.Dying())
		if err != nil {
			event.ProfileFailed.Log(p.logger).Str("path", path).Err(err).Send()
			return nil
		}
		event.ProfileWritten.Log(p.logger).Str("path", path).Send()
		return nil
	})
}
