package node

import "mallowlatch.example/mallowlatch/internal/settings"

const (
	// busyShare of the processors in use has the node take twice as many.
	busyShare = 0.5
	// quietShare of half the processors in use has the node give up that half, once it has lasted for quietLooks.
	quietShare = 0.25
	quietLooks = 20
)

const (
	defaultIdle = 1
	// defaultIdleWithDisk leaves one processor to the streams while a write to the disk holds up the other: the runtime
	// may take up to 20 ms to see that a processor is held up.
	defaultIdleWithDisk = 2
)

// idleProcessors returns the least processors of a node that has a disk or none.
func idleProcessors(stated int, hasDisk bool) int {
	switch {
	case stated > 0:
		return stated
	case hasDisk:
		return defaultIdleWithDisk
	default:
		return defaultIdle
	}
}

// processorScaler decides how many processors a node uses. It goes up at the first busy look and down slowly: a surge
// must find the processors it needs, and each change stops the program for a moment.
//
// Invariant: least <= current <= most.
type processorScaler struct {
	least, most, current int
	// quiet counts the looks in a row at which half the processors would do.
	quiet int
}

// newProcessorScaler returns a scaler between the settings' bounds on a machine that has some processors available.
func newProcessorScaler(config settings.Settings, available int) *processorScaler {
	most := available
	if config.Process.Processors > 0 {
		most = min(config.Process.Processors, available)
	}
	least := min(idleProcessors(config.Process.IdleProcessors, config.DataDir != ""), most)
	return &processorScaler{least: least, most: most, current: least}
}

// next takes how many processors were busy since the last look, and reports whether current has changed.
func (s *processorScaler) next(busy float64) bool {
	before := s.current
	half := max(s.least, s.current/2)
	switch {
	case busy > busyShare*float64(s.current):
		s.quiet = 0
		s.current = min(s.most, 2*s.current)
	case busy < quietShare*float64(half):
		s.quiet++
	default:
		s.quiet = 0
	}
	if s.quiet >= quietLooks {
		s.quiet = 0
		s.current = half
	}
	return s.current != before
}
