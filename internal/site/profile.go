package site

import (
	"fmt"
	"os"
	"runtime/pprof"
	"time"
)

// WriteCPUProfile records for a while which functions of this process take processor time, and writes that to a file, for
// `go tool pprof`. It returns early when stop is closed. Only one profile can be recorded at a time.
func WriteCPUProfile(path string, lasting time.Duration, stop <-chan struct{}) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("creating the profile: %w", err)
	}
	defer func() {
		if closeErr := file.Close(); err == nil && closeErr != nil {
			err = fmt.Errorf("closing the profile: %w", closeErr)
		}
	}()
	if err := pprof.StartCPUProfile(file); err != nil {
		return fmt.Errorf("starting the profile: %w", err)
	}
	defer pprof.StopCPUProfile()
	timer := time.NewTimer(lasting)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-stop:
	}
	return nil
}
