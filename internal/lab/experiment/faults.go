package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/kv/etcdhttp"
	"mallowlatch.example/mallowlatch/internal/lab/enginesim"
	"mallowlatch.example/mallowlatch/internal/lab/fleet"
	"mallowlatch.example/mallowlatch/internal/lab/kvsim"
	"mallowlatch.example/mallowlatch/internal/lab/linksim"
	"mallowlatch.example/mallowlatch/internal/lab/load"
	"mallowlatch.example/mallowlatch/internal/shard"
	"mallowlatch.example/mallowlatch/internal/shardhost"
)

const (
	// faultRate is low: the experiment counts answers and does not measure speed.
	faultRate          = 8
	faultHeapEvery     = 8 * time.Second
	faultHeapItems     = 160
	faultNotRepeatable = 0.25
	faultDrain         = 120 * time.Second
	// faultLease is the lease of batch items; faultHold is longer.
	faultLease      = 4 * time.Second
	faultHold       = 6 * time.Second
	engineFaultHold = 3 * time.Second
	faultPauseAfter = 500 * time.Millisecond
	// wholeBound is how long the replica sets may take to be whole after a fault.
	wholeBound      = 90 * time.Second
	wholeLook       = 250 * time.Millisecond
	streamFaultRate = 0.3
	ledMetric       = "mallowlatch_shard_led_replicas"
)

// runFaults strikes a fleet under load with a seeded schedule of faults and counts, by a ledger that trusts no node,
// what was accepted, completed, lost and doubled. It goes on to the next fault once every replica set is whole again.
func runFaults(ctx context.Context, environment *environment) (Measurement, error) {
	measured, struck, err := environment.underFaults(ctx, faultKinds, phase{
		name: "faults",
		load: load.Options{
			Rate:          environment.rate(faultRate),
			NotRepeatable: faultNotRepeatable,
			Retry:         true,
			BatchEvery:    faultHeapEvery,
			BatchItems:    faultHeapItems,
			Drain:         faultDrain,
		},
	})
	if err != nil {
		return Measurement{}, err
	}
	fields := faultFields(measured.report)
	maps.Copy(fields, struck)
	return Measurement{Fields: fields}, nil
}

// underFaults runs a phase through nodes and links under a seeded schedule of faults of some kinds, and returns what the
// load gave and the counts of the faults.
func (e *environment) underFaults(ctx context.Context, kinds []faultKind, struck phase) (outcome, Fields, error) {
	striking := &striker{
		planned:  planFaults(kinds, e.seed, e.options.Faults),
		progress: e.options.Progress,
		struck:   map[faultKind]int{},
	}
	settings := map[string]string{"jobs.lease_ttl": faultLease.String()}
	maps.Copy(settings, e.options.NodeSettings)
	e.options.NodeSettings = settings
	struck.nodes, struck.links, struck.during = true, true, striking.run
	measured, err := e.runPhase(ctx, struck)
	if err != nil {
		return outcome{}, nil, err
	}
	fields := Fields{"faults": float64(striking.done), "slowest_whole_s": striking.slowest.Seconds()}
	for kind, count := range striking.struck {
		fields["fault_"+string(kind)] = float64(count)
	}
	return measured, fields, nil
}

func faultFields(report *load.Report) Fields {
	online, batch := report.Online, report.Batch
	return Fields{
		"online_planned":      float64(online.Planned),
		"online_completed":    float64(online.Completed),
		"online_interrupted":  float64(online.Interrupted),
		"online_cut":          float64(online.Cut),
		"online_wrong":        float64(online.Wrong),
		"online_doubled_runs": float64(online.DoubledRuns),
		"batch_accepted":      float64(batch.Accepted),
		"batch_completed":     float64(batch.Completed),
		"batch_failed":        float64(batch.Failed),
		"batch_lost":          float64(batch.Lost),
		"batch_cancelled":     float64(batch.Cancelled),
		"batch_unknown":       float64(batch.Unknown),
		"batch_once":          float64(batch.Once),
		"batch_doubled_runs":  float64(batch.DoubledRuns),
		"batch_backwards":     float64(batch.Backwards),
		"batch_changed":       float64(batch.Changed),
		"batch_doubled":       float64(batch.Doubled),
		"batch_foreign":       float64(batch.Foreign),
		"batch_wrong":         float64(batch.Wrong),
		"batch_unfinished":    float64(batch.Unfinished),
	}
}

// striker does the faults of a schedule one after the other.
type striker struct {
	planned []plannedFault
	// progress gets a line for each fault.
	progress io.Writer
	struck   map[faultKind]int
	done     int
	slowest  time.Duration
}

func (s *striker) run(ctx context.Context, started *fleet.Fleet) error {
	store, err := etcdhttp.New([]string{"http://" + started.KV.Address})
	if err != nil {
		return fmt.Errorf("reading replica sets: %w", err)
	}
	if err := waitWhole(ctx, store, started); err != nil {
		return err
	}
	for _, fault := range s.planned {
		if err := strike(ctx, started, fault); err != nil {
			return fmt.Errorf("fault %d, %s: %w", s.done+1, fault.Kind, err)
		}
		began := time.Now()
		if err := waitWhole(ctx, store, started); err != nil {
			return fmt.Errorf("after fault %d, %s: %w", s.done+1, fault.Kind, err)
		}
		lasted := time.Since(began)
		fmt.Fprintf(s.progress, "%s fault %d, %s: whole %s after its end\n", began.Format(time.TimeOnly), s.done+1, fault.Kind, lasted.Round(time.Millisecond))
		s.slowest = max(s.slowest, lasted)
		s.struck[fault.Kind]++
		s.done++
		if !sleep(ctx, faultPauseAfter) {
			return nil
		}
	}
	return nil
}

// strike does one fault and takes it back.
func strike(ctx context.Context, started *fleet.Fleet, fault plannedFault) error {
	disks := diskNodes(started)
	first, second := fault.two(len(disks))
	engine := started.Engines[fault.First%len(started.Engines)]
	switch fault.Kind {
	case faultKill:
		return restart(ctx, started.Nodes[fault.First%len(started.Nodes)], false)
	case faultPause:
		return paused(ctx, started.Nodes[fault.First%len(started.Nodes)], nil)
	case faultWipe:
		return restart(ctx, disks[first], true)
	case faultWipeTwo:
		return wipeTwo(ctx, disks[first], disks[second])
	case faultKillPaused:
		return paused(ctx, disks[first], func() error { return restart(ctx, disks[second], false) })
	case faultKeyValueOutage:
		return keyValue(ctx, started, kvsim.Faults{Outage: kvsim.OutageRefuse}, nil)
	case faultKeyValueOutageKill:
		return keyValue(ctx, started, kvsim.Faults{Outage: kvsim.OutageRefuse}, func() error { return restart(ctx, disks[first], false) })
	case faultLostAnswersKill:
		return keyValue(ctx, started, kvsim.Faults{LoseAnswers: 0.5}, func() error { return restart(ctx, disks[first], false) })
	case faultCutNode:
		return linkFault(ctx, disks[first:first+1], linksim.Faults{Cut: true})
	case faultCutZone:
		return linkFault(ctx, zoneOf(started, fault.First), linksim.Faults{Cut: true})
	case faultCutBorder:
		return cutBorder(ctx, started, fault.First, false)
	case faultCutAway:
		return cutBorder(ctx, started, fault.First, true)
	case faultFreezeLink:
		return linkFault(ctx, disks[first:first+1], linksim.Faults{Freeze: true})
	case faultEngineFreeze:
		return engineFault(ctx, engine, enginesim.Faults{Freeze: true})
	case faultEngineCut:
		return engineFault(ctx, engine, enginesim.Faults{CutProbability: streamFaultRate, CutAfterTokens: 5})
	case faultEngineDie:
		return engineFault(ctx, engine, enginesim.Faults{DieProbability: streamFaultRate, DieAfterTokens: 5})
	case faultEngineDrop:
		return engineFault(ctx, engine, enginesim.Faults{DropAfter: streamFaultRate})
	default:
		return engineFault(ctx, engine, enginesim.Faults{Duplicate: streamFaultRate, Reorder: streamFaultRate})
	}
}

func diskNodes(started *fleet.Fleet) []fleet.Node {
	var disks []fleet.Node
	for _, node := range started.Nodes {
		if node.DataDirectory != "" {
			disks = append(disks, node)
		}
	}
	return disks
}

// restart kills a node, wipes its disk if asked to, and starts it again.
func restart(ctx context.Context, node fleet.Node, wipe bool) error {
	if err := crash(node, wipe); err != nil {
		return err
	}
	sleep(ctx, faultPauseAfter)
	return revive(ctx, node)
}

func crash(node fleet.Node, wipe bool) error {
	if err := node.Kill(); err != nil {
		return err
	}
	if !wipe {
		return nil
	}
	if err := os.RemoveAll(node.DataDirectory); err != nil {
		return fmt.Errorf("wiping the disk: %w", err)
	}
	return nil
}

func revive(ctx context.Context, node fleet.Node) error {
	if err := node.Start(); err != nil {
		return err
	}
	return node.WaitReady(ctx)
}

func wipeTwo(ctx context.Context, first, second fleet.Node) error {
	if err := errors.Join(crash(first, true), crash(second, true)); err != nil {
		return err
	}
	sleep(ctx, faultPauseAfter)
	return errors.Join(revive(ctx, first), revive(ctx, second))
}

// paused stops a node from running for longer than any lease, and meanwhile does something else.
func paused(ctx context.Context, node fleet.Node, meanwhile func() error) error {
	if err := node.Pause(); err != nil {
		return err
	}
	var failed error
	if meanwhile != nil {
		failed = meanwhile()
	}
	sleep(ctx, faultHold)
	return errors.Join(failed, node.Resume())
}

// keyValue sets faults of the key-value service, meanwhile does something else, and takes them back.
func keyValue(ctx context.Context, started *fleet.Fleet, faults kvsim.Faults, meanwhile func() error) error {
	if err := setFaults(ctx, started.KV.Fault, faults); err != nil {
		return err
	}
	var failed error
	if meanwhile != nil {
		failed = meanwhile()
	}
	sleep(ctx, faultHold)
	return errors.Join(failed, setFaults(context.WithoutCancel(ctx), started.KV.Fault, kvsim.Faults{}))
}

func engineFault(ctx context.Context, engine fleet.Engine, faults enginesim.Faults) error {
	if err := setFaults(ctx, engine.Fault, faults); err != nil {
		return err
	}
	sleep(ctx, engineFaultHold)
	return setFaults(context.WithoutCancel(ctx), engine.Fault, enginesim.Faults{})
}

func setFaults(ctx context.Context, address string, faults any) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return fmt.Errorf("encoding faults: %w", err)
	}
	return send(ctx, http.MethodPut, "http://"+address+"/faults", string(body), "")
}

// waitWhole waits until every shard has its full number of members and a leader that serves. A leader serves once all
// members have elected it and hold its first entry, so they hold every committed entry too.
func waitWhole(ctx context.Context, store kv.Store, started *fleet.Fleet) error {
	deadline := time.Now().Add(wholeBound)
	for {
		whole, err := isWhole(ctx, store, started)
		if whole {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%w: replica sets not whole after %s: %w", ErrSetup, wholeBound, err)
		}
		if !sleep(ctx, wholeLook) {
			return fmt.Errorf("%w: the load ended before the replica sets were whole", ErrSetup)
		}
	}
}

func isWhole(ctx context.Context, store kv.Store, started *fleet.Fleet) (bool, error) {
	pairs, _, err := store.List(ctx, shardhost.DefaultPrefix)
	if err != nil {
		return false, err
	}
	if len(pairs) < started.Plan.Shards {
		return false, ErrSetup
	}
	for _, pair := range pairs {
		var set shard.Configuration
		if err := json.Unmarshal(pair.Value, &set); err != nil {
			return false, fmt.Errorf("reading %s: %w", pair.Key, err)
		}
		if len(set.Members) < started.Plan.Replicas {
			return false, ErrSetup
		}
	}
	led, err := ledShards(ctx, started)
	return led == started.Plan.Shards, err
}

// ledShards sums the shards that nodes say they lead and serve. A node that does not answer counts none.
func ledShards(ctx context.Context, started *fleet.Fleet) (int, error) {
	sum := 0
	for _, node := range diskNodes(started) {
		led, err := gauge(ctx, node.Admin, ledMetric)
		if err != nil {
			return 0, err
		}
		sum += int(led)
	}
	return sum, nil
}

// gauge reads one metric without labels from a node's admin listener.
func gauge(ctx context.Context, address, name string) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return 0, fmt.Errorf("reading metrics of %s: %w", address, err)
	}
	request.Header.Set("Authorization", "Bearer "+adminKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, fmt.Errorf("reading metrics of %s: %w", address, err)
	}
	defer response.Body.Close()
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return 0, fmt.Errorf("reading metrics of %s: %w", address, err)
	}
	family := families[name]
	if family == nil || len(family.GetMetric()) == 0 {
		return 0, fmt.Errorf("metric %s of %s: %w", name, address, ErrSetup)
	}
	return family.GetMetric()[0].GetGauge().GetValue(), nil
}
