package site

import (
	"runtime"
	"runtime/debug"

	"mallowlatch.example/mallowlatch/internal/sitesettings"
)

// heapShare is the part of a process's memory that the collector is told to stay under.
const heapShare = 0.75

// ApplyLimits fits the runtime to the machine.
func ApplyLimits(limits sitesettings.Limits) {
	runtime.GOMAXPROCS(max(limits.Cores, 1))
	debug.SetMemoryLimit(int64(float64(limits.MemoryMB) * heapShare * (1 << 20)))
}
