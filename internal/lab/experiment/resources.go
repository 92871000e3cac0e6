package experiment

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"mallowlatch.example/mallowlatch/internal/lab/fleet"
)

const (
	// tick is the kernel's unit of processor time in /proc.
	tick = 10 * time.Millisecond
	// userTimeField and systemTimeField count from the field after the program's name in /proc/PID/stat.
	userTimeField, systemTimeField = 11, 12
	megabyte                       = 1e6
)

// usage is what the nodes of a phase have used.
type usage struct {
	// processor is the processor time of all nodes together.
	processor time.Duration
	// resident is the largest resident memory of one node, in bytes.
	resident int64
}

// nodeUsage reads the usage of the nodes that run. A node that cannot be read is noted.
func (e *environment) nodeUsage(started *fleet.Fleet) usage {
	var sum usage
	for _, node := range started.Nodes {
		if node.PID() == 0 {
			continue
		}
		processor, err := processorTime(node.PID())
		if err != nil {
			e.notes = append(e.notes, err.Error())
			continue
		}
		sum.processor += processor
		if resident, err := node.ResidentBytes(); err == nil {
			sum.resident = max(sum.resident, resident)
		}
	}
	return sum
}

func processorTime(pid int) (time.Duration, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("reading processor time: %w", err)
	}
	return parseProcessorTime(string(content))
}

// parseProcessorTime reads the user and system time of a line of /proc/PID/stat. The program's name, in brackets, may
// hold spaces.
func parseProcessorTime(line string) (time.Duration, error) {
	fields := strings.Fields(line[strings.LastIndexByte(line, ')')+1:])
	if len(fields) <= systemTimeField {
		return 0, fmt.Errorf("%w: processor time in %.60q", ErrSetup, line)
	}
	user, err := strconv.ParseInt(fields[userTimeField], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrSetup, err)
	}
	system, err := strconv.ParseInt(fields[systemTimeField], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrSetup, err)
	}
	return time.Duration(user+system) * tick, nil
}
