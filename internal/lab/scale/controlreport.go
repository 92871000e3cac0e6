package scale

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// ServiceTraffic is the traffic of one service, for each node on average, each second. Bytes include drpc and TLS.
type ServiceTraffic struct {
	Service     string  `json:"service"`
	MessagesOut float64 `json:"messages_out"`
	BytesOut    float64 `json:"bytes_out"`
	BytesIn     float64 `json:"bytes_in"`
}

// ControlMeasurement is what one phase of a control run cost, for each node on average, and what came of it.
type ControlMeasurement struct {
	Measurement
	// Services is the traffic between nodes by service; that to engines comes last and is in no sum.
	Services []ServiceTraffic `json:"services"`
	// BytesWithHeaders is both directions with the headers of TCP and IP.
	BytesWithHeaders float64 `json:"bytes_with_headers"`
	// Owned is the time until every runner had one owner for good, or negative if one had none or two at the end.
	Owned time.Duration `json:"owned_ns"`
	// NoneMost and TwoMost are the most runners that at once had no owner, or two; NoneMean and TwoMean their means.
	NoneMost int     `json:"runners_without_owner_most"`
	TwoMost  int     `json:"runners_with_two_owners_most"`
	NoneMean float64 `json:"runners_without_owner_mean"`
	TwoMean  float64 `json:"runners_with_two_owners_mean"`
	// Under and Over are the parts of the online work that owners did not know of, and knew of wrongly.
	Under float64 `json:"online_unknown_to_owner"`
	Over  float64 `json:"online_ended_unknown_to_owner"`
	// Requests counts online requests; Refused those without a runner; Met the refusals by a leaving engine.
	Requests int64 `json:"requests"`
	Refused  int64 `json:"refused"`
	Met      int64 `json:"met_leaving_engine"`
	// LastWork is the time from a runner's mark as leaving to the last new work it got, in a phase that marks one.
	LastWork time.Duration `json:"last_work_ns"`
	// Elapsed is the length of the phase by the wall clock.
	Elapsed time.Duration `json:"elapsed_ns"`
}

// measure plays one phase and keeps what it cost.
func (f *controlFleet) measure(phase string, length time.Duration, begin func()) {
	before, start, processor, wall := f.traffic(), f.fleet.now, processorTime(), time.Now()
	f.owners, f.requests, f.loadTime = ownerSamples{}, requestCounts{}, 0
	begin()
	settled := f.settle(length)
	spent := processorTime() - processor - f.loadTime
	seconds, nodes := f.fleet.now.Sub(start).Seconds(), float64(len(f.running("")))
	result := ControlMeasurement{
		Measurement: Measurement{
			Phase: phase, Nodes: int(nodes), Seconds: seconds, Settled: settled,
			CoreShare: spent.Seconds() / seconds / nodes, MemoryBytes: liveHeap() / nodes,
		},
		Owned:    f.owners.settled(start, f.fleet.now),
		NoneMost: f.owners.noneMost, TwoMost: f.owners.twoMost,
		NoneMean: float64(f.owners.noneSum) / float64(max(1, f.owners.samples)),
		TwoMean:  float64(f.owners.twoSum) / float64(max(1, f.owners.samples)),
		Under:    float64(f.owners.under) / float64(max(1, f.owners.online)),
		Over:     float64(f.owners.over) / float64(max(1, f.owners.online)),
		Requests: f.requests.started, Refused: f.requests.refused, Met: f.requests.met,
	}
	f.addTraffic(&result, before, seconds, nodes)
	result.Elapsed = time.Since(wall)
	f.results = append(f.results, result)
}

// settled returns the time from the phase's start to the last sample with a runner without one owner.
func (o *ownerSamples) settled(start, end time.Time) time.Duration {
	switch {
	case o.lastBad.IsZero():
		return 0
	case end.Sub(o.lastBad) <= time.Second:
		return -1
	default:
		return o.lastBad.Sub(start)
	}
}

// settle lets a phase pass and returns the time until all nodes agreed on the members, or a negative one.
func (f *controlFleet) settle(length time.Duration) time.Duration {
	start := f.fleet.now
	settled := time.Duration(-1)
	for f.fleet.now.Before(start.Add(length)) {
		f.fleet.Run(time.Second)
		switch {
		case !f.fleet.Agree():
			settled = -1
		case settled < 0:
			settled = f.fleet.now.Sub(start)
		}
	}
	return settled
}

func (f *controlFleet) addTraffic(result *ControlMeasurement, before map[ident.Node]map[string]account, seconds, nodes float64) {
	sums := map[string]*ServiceTraffic{}
	for node, services := range f.traffic() {
		peak := 0.0
		for service, after := range services {
			held := before[node][service]
			out := float64(after.bytesOut-held.bytesOut) / seconds
			sum, known := sums[service]
			if !known {
				sum = &ServiceTraffic{Service: service}
				sums[service] = sum
			}
			sum.MessagesOut += float64(after.messagesOut-held.messagesOut) / seconds / nodes
			sum.BytesOut += out / nodes
			sum.BytesIn += float64(after.bytesIn-held.bytesIn) / seconds / nodes
			if service != serviceEngine {
				peak += out
			}
		}
		result.PeakBytesOut = max(result.PeakBytesOut, peak)
	}
	for _, service := range []string{serviceMembership, serviceOnline, serviceShare, serviceLeaving, serviceEngine} {
		if sum, known := sums[service]; known {
			result.Services = append(result.Services, *sum)
		}
	}
	for _, sum := range result.Services {
		if sum.Service == serviceEngine {
			continue
		}
		result.MessagesOut += sum.MessagesOut
		result.BytesOut += sum.BytesOut
		result.BytesIn += sum.BytesIn
	}
	result.BytesWithHeaders = result.BytesOut + result.BytesIn + 2*segmentOverhead*result.MessagesOut
}

// traffic copies the counters of all nodes.
func (f *controlFleet) traffic() map[ident.Node]map[string]account {
	traffic := map[ident.Node]map[string]account{}
	for id, node := range f.nodes {
		services := map[string]account{serviceMembership: {
			messagesOut: node.hollow.Traffic.MessagesOut, bytesOut: node.hollow.Traffic.BytesOut, bytesIn: node.hollow.Traffic.BytesIn,
		}}
		for service, counted := range node.accounts {
			services[service] = *counted
		}
		traffic[id] = services
	}
	return traffic
}

// WriteControlReport prints the measurements against the budgets.
func WriteControlReport(to io.Writer, measurements []ControlMeasurement) error {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "phase\tnodes\tseconds\tcore %\tMB\tmsg/s out\tB/s out\tB/s in\twith TCP\tpeak out\tagree\towned\tno owner\ttwo owners\tunknown\tended\trequests\trefused\tmet\tlast work\twall\t")
	for _, m := range measurements {
		fmt.Fprintf(table, "%s\t%d\t%.0f\t%.3f\t%.2f\t%.2f\t%.0f\t%.0f\t%.0f\t%.0f\t%s\t%s\t%d (%.1f)\t%d (%.1f)\t%.1f%%\t%.1f%%\t%d\t%d\t%d\t%s\t%.1fs\t\n",
			m.Phase, m.Nodes, m.Seconds, 100*m.CoreShare, m.MemoryBytes/(1<<20), m.MessagesOut, m.BytesOut, m.BytesIn,
			m.BytesWithHeaders, m.PeakBytesOut, settledText(m.Settled), settledText(m.Owned), m.NoneMost, m.NoneMean, m.TwoMost, m.TwoMean,
			100*m.Under, 100*m.Over, m.Requests, m.Refused, m.Met, m.LastWork.Round(10*time.Millisecond), m.Elapsed.Seconds())
	}
	fmt.Fprintf(table, "budget\t\t\t%.3f\t%.2f\t\t\t\t%d\t\n", 100*BudgetCore, float64(BudgetMemory)/(1<<20), BudgetTraffic)
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return writeServices(to, measurements)
}

func writeServices(to io.Writer, measurements []ControlMeasurement) error {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "\nsteady service\tnodes\tmsg/s out\tB/s out\tB/s in\twith TCP, both ways\t")
	steady := slices.DeleteFunc(slices.Clone(measurements), func(m ControlMeasurement) bool { return m.Phase != "steady" })
	for _, m := range steady {
		for _, sum := range m.Services {
			fmt.Fprintf(table, "%s\t%d\t%.2f\t%.0f\t%.0f\t%.0f\t\n", sum.Service, m.Nodes, sum.MessagesOut, sum.BytesOut, sum.BytesIn,
				sum.BytesOut+sum.BytesIn+2*segmentOverhead*sum.MessagesOut)
		}
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

func settledText(settled time.Duration) string {
	if settled < 0 {
		return "not"
	}
	return settled.Round(100 * time.Millisecond).String()
}
