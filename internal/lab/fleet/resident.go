package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

const bytesPerKibibyte = 1024

// ResidentBytes returns the resident memory of the process, from the kernel's own account.
func (p *Process) ResidentBytes() (int64, error) {
	path := fmt.Sprintf("/proc/%d/status", p.PID())
	status, err := os.ReadFile(path)
	if err != nil {
		return 0, fmt.Errorf("read memory of %s: %w", p.Name, err)
	}
	for _, line := range strings.Split(string(status), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != "VmRSS:" {
			continue
		}
		kibibytes, err := strconv.ParseInt(fields[1], 10, 64)
		if err != nil {
			return 0, fmt.Errorf("read memory of %s: %w", p.Name, err)
		}
		return kibibytes * bytesPerKibibyte, nil
	}
	return 0, fmt.Errorf("memory of %s: %w", p.Name, ErrNotRunning)
}
