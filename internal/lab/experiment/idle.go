package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/prometheus/procfs"

	"mallowlatch.example/mallowlatch/internal/lab/fleet"
)

// Budgets for the control cost of one node: what it may use without any load.
const (
	processorBudget = 1.2  // percent of a core
	residentBudget  = 32.0 // megabytes
	bytesBudget     = 3e3  // bytes written per second
)

// idleTail is what the last reading leaves of the phase, so that the end of the phase cannot cut it.
const idleTail = 500 * time.Millisecond

// runIdle leaves a fleet without any load and measures what each node uses once the warm-up is over. What is over its
// budget is noted.
func runIdle(ctx context.Context, environment *environment) (Measurement, error) {
	watch := &idleWatch{settle: environment.options.Warmup, length: environment.options.Duration - environment.options.Warmup - idleTail}
	if watch.length <= 0 {
		return Measurement{}, fmt.Errorf("%w: the phase is not longer than its warm-up", ErrSetup)
	}
	if _, err := environment.runPhase(ctx, phase{name: "idle", nodes: true, during: watch.run}); err != nil {
		return Measurement{}, err
	}
	if len(watch.costs) == 0 {
		return Measurement{}, fmt.Errorf("%w: no node was measured", ErrSetup)
	}
	mean, worst := meanCost(watch.costs), worstCost(watch.costs)
	fields := Fields{}
	fields.idleCost("mean_node", mean)
	fields.idleCost("worst_node", worst)
	return Measurement{Fields: fields, Notes: worst.overBudget()}, nil
}

// idleWatch measures every node of a fleet over the same time.
type idleWatch struct {
	settle, length time.Duration
	costs          []idleCost
}

func (w *idleWatch) run(ctx context.Context, started *fleet.Fleet) error {
	if !sleep(ctx, w.settle) {
		return fmt.Errorf("%w: the phase ended in the warm-up", ErrSetup)
	}
	before, err := readProcesses(started)
	if err != nil {
		return err
	}
	if !sleep(ctx, w.length) {
		return fmt.Errorf("%w: the phase ended before the last reading", ErrSetup)
	}
	after, err := readProcesses(started)
	if err != nil {
		return err
	}
	for index := range after {
		w.costs = append(w.costs, costBetween(before[index], after[index]))
	}
	return nil
}

// processReading is the kernel's account of a process at one time.
type processReading struct {
	at time.Time
	// processor is user and system time in seconds.
	processor float64
	// wakeUps counts the times a thread went to sleep, over the threads alive.
	wakeUps uint64
	// resident and anonymous are bytes; the difference is mostly the program file, which the kernel can drop.
	resident, anonymous uint64
	// written counts bytes of write calls, to sockets and files.
	written uint64
}

func readProcesses(started *fleet.Fleet) ([]processReading, error) {
	readings := make([]processReading, len(started.Nodes))
	for index, node := range started.Nodes {
		reading, err := readProcess(node.PID())
		if err != nil {
			return nil, fmt.Errorf("reading the account of %s: %w", node.ID, err)
		}
		readings[index] = reading
	}
	return readings, nil
}

func readProcess(pid int) (processReading, error) {
	process, err := procfs.NewProc(pid)
	if err != nil {
		return processReading{}, fmt.Errorf("process %d: %w", pid, err)
	}
	stat, err := process.Stat()
	if err != nil {
		return processReading{}, fmt.Errorf("processor time: %w", err)
	}
	status, err := process.NewStatus()
	if err != nil {
		return processReading{}, fmt.Errorf("memory: %w", err)
	}
	transfers, err := process.IO()
	if err != nil {
		return processReading{}, fmt.Errorf("bytes written: %w", err)
	}
	wakeUps, err := threadWakeUps(pid)
	if err != nil {
		return processReading{}, err
	}
	return processReading{
		at:        time.Now(),
		processor: stat.CPUTime(),
		wakeUps:   wakeUps,
		resident:  status.VmRSS,
		anonymous: status.RssAnon,
		written:   transfers.WChar,
	}, nil
}

// threadWakeUps sums over the threads: the account of a process is that of its first thread alone.
func threadWakeUps(pid int) (uint64, error) {
	threads, err := procfs.AllThreads(pid)
	if err != nil {
		return 0, fmt.Errorf("threads of %d: %w", pid, err)
	}
	sum := uint64(0)
	for _, thread := range threads {
		status, err := thread.NewStatus()
		if err != nil {
			return 0, fmt.Errorf("wake-ups of thread %d: %w", thread.PID, err)
		}
		sum += status.VoluntaryCtxtSwitches
	}
	return sum, nil
}

// idleCost is what one node uses.
type idleCost struct {
	// processor is in percent of a core, wakeUps and written are per second, resident and anonymous megabytes.
	processor, wakeUps, resident, anonymous, written float64
}

func costBetween(before, after processReading) idleCost {
	seconds := after.at.Sub(before.at).Seconds()
	return idleCost{
		processor: 100 * (after.processor - before.processor) / seconds,
		wakeUps:   (float64(after.wakeUps) - float64(before.wakeUps)) / seconds,
		resident:  float64(after.resident) / megabyte,
		anonymous: float64(after.anonymous) / megabyte,
		written:   float64(after.written-before.written) / seconds,
	}
}

func meanCost(costs []idleCost) idleCost {
	var mean idleCost
	count := float64(len(costs))
	for _, cost := range costs {
		mean.processor += cost.processor / count
		mean.wakeUps += cost.wakeUps / count
		mean.resident += cost.resident / count
		mean.anonymous += cost.anonymous / count
		mean.written += cost.written / count
	}
	return mean
}

// worstCost takes the largest of each figure, which may be of different nodes.
func worstCost(costs []idleCost) idleCost {
	var worst idleCost
	for _, cost := range costs {
		worst.processor = max(worst.processor, cost.processor)
		worst.wakeUps = max(worst.wakeUps, cost.wakeUps)
		worst.resident = max(worst.resident, cost.resident)
		worst.anonymous = max(worst.anonymous, cost.anonymous)
		worst.written = max(worst.written, cost.written)
	}
	return worst
}

func (f Fields) idleCost(prefix string, cost idleCost) {
	f[prefix+"_core_percent"] = cost.processor
	f[prefix+"_core_of_budget"] = cost.processor / processorBudget
	f[prefix+"_wake_ups_per_s"] = cost.wakeUps
	f[prefix+"_resident_mb"] = cost.resident
	f[prefix+"_resident_of_budget"] = cost.resident / residentBudget
	f[prefix+"_anonymous_mb"] = cost.anonymous
	f[prefix+"_written_bytes_per_s"] = cost.written
	f[prefix+"_written_of_budget"] = cost.written / bytesBudget
}

// overBudget names each budget that the cost passes.
func (c idleCost) overBudget() []string {
	var over []string
	for _, figure := range []struct {
		name, unit    string
		value, budget float64
	}{
		{"processor", "percent of a core", c.processor, processorBudget},
		{"resident memory", "MB", c.resident, residentBudget},
		{"written", "bytes/s", c.written, bytesBudget},
	} {
		if figure.value > figure.budget {
			over = append(over, fmt.Sprintf("worst node over budget: %s %.2f %s, budget %g", figure.name, figure.value, figure.unit, figure.budget))
		}
	}
	return over
}
