package experiment

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"mallowlatch.example/mallowlatch/internal/lab/fleet"
)

// jobUsage is what the disk nodes have used, summed over them. Processor time and disk writes are the kernel's own
// account of each process, so other load on the machine does not count.
type jobUsage struct {
	at        time.Time
	processor time.Duration
	// written is the bytes written to disks: logs, state and compaction. log is the write-ahead logs' part.
	written, log float64
	syncs        float64
	commands     float64
	// calls and wire count the calls of the job store, and all bytes between processes by their server's side.
	calls, wire float64
	// resident is the largest resident memory of a node, in bytes.
	resident int64
}

func (e *environment) readJobUsage(ctx context.Context, started *fleet.Fleet) (jobUsage, error) {
	sum := jobUsage{at: time.Now()}
	used := e.nodeUsage(started)
	sum.processor, sum.resident = used.processor, used.resident
	for _, node := range started.Nodes {
		written, err := diskWrites(node.PID())
		if err != nil {
			return sum, err
		}
		sum.written += written
		families, err := scrape(ctx, started.AdminURL(node)+"/metrics")
		if err != nil {
			return sum, err
		}
		sum.syncs += total(families, "mallowlatch_shard_log_syncs_total", nil)
		sum.log += total(families, "mallowlatch_shard_log_written_bytes_total", nil)
		sum.commands += total(families, "mallowlatch_jobstore_commands_total", nil)
		serving := map[string]string{"side": "server"}
		sum.wire += total(families, "mallowlatch_transport_received_bytes", serving)
		sum.wire += total(families, "mallowlatch_transport_sent_bytes", serving)
		sum.calls += total(families, "mallowlatch_transport_finished_calls", map[string]string{"side": "server", "service": "mallowlatch.jobstore.JobStore"})
	}
	return sum, nil
}

// diskWrites returns the bytes a process caused to be written to disk.
func diskWrites(pid int) (float64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return 0, fmt.Errorf("reading disk writes: %w", err)
	}
	for line := range strings.Lines(string(content)) {
		if text, found := strings.CutPrefix(line, "write_bytes:"); found {
			bytes, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
			if err != nil {
				return 0, fmt.Errorf("%w: disk writes %q", ErrSetup, line)
			}
			return bytes, nil
		}
	}
	return 0, fmt.Errorf("%w: no disk writes of process %d", ErrSetup, pid)
}

func scrape(ctx context.Context, url string) (map[string]*dto.MetricFamily, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("reading metrics: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+adminKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("reading metrics: %w", err)
	}
	defer response.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return nil, fmt.Errorf("reading metrics: %w", err)
	}
	return families, nil
}

// total sums a family's counters that have the given labels.
func total(families map[string]*dto.MetricFamily, name string, labels map[string]string) float64 {
	sum := 0.0
	for _, metric := range families[name].GetMetric() {
		matching := 0
		for _, label := range metric.GetLabel() {
			if labels[label.GetName()] == label.GetValue() {
				matching++
			}
		}
		if matching == len(labels) {
			sum += metric.GetCounter().GetValue() + metric.GetUntyped().GetValue() + metric.GetGauge().GetValue()
		}
	}
	return sum
}

// addJobUsage writes the figures of an item between two readings.
func (f Fields) addJobUsage(name string, before, after jobUsage, items int) {
	count := float64(items)
	f[name+"_items_per_s"] = count / after.at.Sub(before.at).Seconds()
	f[name+"_processor_us_per_item"] = float64((after.processor - before.processor).Microseconds()) / count
	f[name+"_disk_bytes_per_item"] = (after.written - before.written) / count
	f[name+"_log_bytes_per_item"] = (after.log - before.log) / count
	f[name+"_syncs_per_1000"] = 1000 * (after.syncs - before.syncs) / count
	f[name+"_commands_per_1000"] = 1000 * (after.commands - before.commands) / count
	f[name+"_calls_per_1000"] = 1000 * (after.calls - before.calls) / count
	f[name+"_wire_bytes_per_item"] = (after.wire - before.wire) / count
	f[name+"_resident_mb"] = float64(after.resident) / megabyte
}
