package scale

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// The budgets of one node's control work, from the size the system is designed for.
const (
	// BudgetCore is the share of one core, BudgetMemory resident bytes, BudgetTraffic bytes a second.
	BudgetCore    = 0.012
	BudgetMemory  = 32 << 20
	BudgetTraffic = 3 << 10
)

// Measurement is what one phase of a run cost, for each node on average.
type Measurement struct {
	Phase string `json:"phase"`
	Nodes int    `json:"nodes"`
	// Seconds is the length of the phase.
	Seconds float64 `json:"seconds"`
	// CoreShare is the processor time of the whole process, the simulation's own included, over time and nodes.
	CoreShare float64 `json:"core_share"`
	// MemoryBytes is the process's memory over the nodes: live heap in simulated time, resident set on loopback.
	MemoryBytes float64 `json:"memory_bytes"`
	// MessagesOut, BytesOut and BytesIn are per second. PeakBytesOut is that of the node that sent most.
	MessagesOut  float64 `json:"messages_out"`
	BytesOut     float64 `json:"bytes_out"`
	BytesIn      float64 `json:"bytes_in"`
	PeakBytesOut float64 `json:"peak_bytes_out"`
	// Suspicions is how many members a second one node's own probes made suspect.
	Suspicions float64 `json:"suspicions"`
	// RunnersOwned is the number of runners that some node holds at the end, in a loopback run with runners.
	RunnersOwned int `json:"runners_owned,omitempty"`
	// Settled is the time until all nodes agreed again after the phase's event, or negative if they did not.
	Settled time.Duration `json:"settled_ns"`
}

// Within says whether the measurement keeps to the budgets, both directions of traffic together.
func (m Measurement) Within() bool {
	return m.CoreShare <= BudgetCore && m.MemoryBytes <= BudgetMemory && m.BytesOut+m.BytesIn <= BudgetTraffic
}

// WriteReport prints the measurements against the budgets.
func WriteReport(to io.Writer, measurements []Measurement) error {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "phase\tnodes\tseconds\tcore %\tMB\tmsg/s out\tB/s out\tB/s in\tpeak B/s out\tsuspicions/s\tsettled\tbudget\t")
	for _, m := range measurements {
		verdict := "within"
		if !m.Within() {
			verdict = "OVER"
		}
		settled := m.Settled.Round(100 * time.Millisecond).String()
		if m.Settled < 0 {
			settled = "not"
		}
		fmt.Fprintf(table, "%s\t%d\t%.0f\t%.3f\t%.2f\t%.2f\t%.0f\t%.0f\t%.0f\t%.4f\t%s\t%s\t\n", m.Phase, m.Nodes, m.Seconds,
			100*m.CoreShare, m.MemoryBytes/(1<<20), m.MessagesOut, m.BytesOut, m.BytesIn, m.PeakBytesOut, m.Suspicions, settled, verdict)
	}
	fmt.Fprintf(table, "budget\t\t\t%.3f\t%.2f\t\t%d\t(out + in)\t\t\t\t\t\n", 100*BudgetCore, float64(BudgetMemory)/(1<<20), BudgetTraffic)
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}
