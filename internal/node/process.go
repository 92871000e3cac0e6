package node

import (
	"context"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"mallowlatch.example/mallowlatch/internal/settings"
)

// processorsPeriod is the time between looks at how busy the process is.
const processorsPeriod = 250 * time.Millisecond

// applyProcess sets what the settings say of the whole process. It belongs to a process with one node in it.
func applyProcess(process settings.Process) {
	debug.SetGCPercent(process.CollectorPercent)
	if process.MemoryTarget > 0 {
		debug.SetMemoryLimit(int64(process.MemoryTarget))
	}
}

// followLoad keeps the processors that run Go code at as many as the load needs, until ctx ends. Each one more is woken
// for work that another has already taken, which costs a quiet node more than its work does.
func (n *Node) followLoad(ctx context.Context) error {
	available := runtime.GOMAXPROCS(0)
	defer runtime.GOMAXPROCS(available)
	scaler := newProcessorScaler(n.settings, available)
	runtime.GOMAXPROCS(scaler.current)
	ticker := time.NewTicker(processorsPeriod)
	defer ticker.Stop()
	usedAt, used := time.Now(), processorTime()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now, usedNow := time.Now(), processorTime()
		busy := (usedNow - used).Seconds() / now.Sub(usedAt).Seconds()
		usedAt, used = now, usedNow
		if scaler.next(busy) {
			runtime.GOMAXPROCS(scaler.current)
		}
	}
}

// processorTime returns the user and system time of the process; zero if the kernel does not tell, which looks idle.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
