package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"path/filepath"
	"strconv"
	"time"

	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/lab/enginesim"
	"mallowlatch.example/mallowlatch/internal/lab/fleet"
	"mallowlatch.example/mallowlatch/internal/lab/load"
)

const (
	// startTimeout bounds the start of a fleet.
	startTimeout = 60 * time.Second
	callTimeout  = 20 * time.Second
	adminKey     = "lab-admin-key"
	callerKey    = "lab-caller-key"
	service      = "base"
)

// environment is what one run of an experiment works in.
type environment struct {
	options Options
	seed    uint64
	run     int
	phases  int
	notes   []string
}

// phase is one fleet under load. Each phase starts its processes afresh, so that none inherits another's backlog.
type phase struct {
	name string
	// engineArguments are further arguments of every engine.
	engineArguments []string
	// nodes says that the load goes through nodes.
	nodes bool
	// links puts a link in front of every node's peer listener.
	links bool
	// tls has the nodes' listeners speak TLS.
	tls  bool
	load load.Options
	// shape changes the load once the addresses are known.
	shape func(*load.Options, *fleet.Fleet)
	// during runs beside the load.
	during func(ctx context.Context, fleet *fleet.Fleet) error
}

// outcome is what a phase gave.
type outcome struct {
	report *load.Report
	// counters are the sum over the engines, from the start of the load to its end.
	counters enginesim.Counters
	engines  int
	// perEngine holds the counters of each engine.
	perEngine []enginesim.Counters
	// nodes is what the nodes used from the start of the load to the end of the last request.
	nodes     usage
	nodeCount int
	lasted    time.Duration
}

// coreShare returns the share of a core that one node used, on average.
func (o outcome) coreShare() float64 {
	return o.nodes.processor.Seconds() / o.lasted.Seconds() / float64(max(1, o.nodeCount))
}

// runPhase starts the processes of a phase, sends its load and stops them.
func (e *environment) runPhase(ctx context.Context, phase phase) (outcome, error) {
	started, err := e.start(ctx, phase)
	if err != nil {
		return outcome{}, fmt.Errorf("phase %s: %w", phase.name, err)
	}
	defer e.stop(phase.name, started)
	fmt.Fprintf(e.options.Progress, "run %d, phase %s\n", e.run+1, phase.name)
	options := e.loadOptions(phase, started)
	before, usedBefore, began := e.counters(ctx, started), e.nodeUsage(started), time.Now()
	report, err := e.underLoad(ctx, phase, started, options)
	if err != nil {
		return outcome{}, fmt.Errorf("phase %s: %w", phase.name, err)
	}
	lasted, used := time.Since(began), e.nodeUsage(started)
	used.processor -= usedBefore.processor
	each, sum := differences(before, e.counters(ctx, started))
	e.check(phase.name, report)
	return outcome{
		report:    report,
		counters:  sum,
		perEngine: each,
		engines:   len(started.Engines),
		nodes:     used,
		nodeCount: len(started.Nodes),
		lasted:    lasted,
	}, nil
}

func (e *environment) underLoad(ctx context.Context, phase phase, started *fleet.Fleet, options load.Options) (*load.Report, error) {
	var beside tomb.Tomb
	if phase.during != nil {
		beside.Go(func() error { return phase.during(beside.Context(ctx), started) })
	}
	report, err := load.Start(ctx, options)
	if phase.during != nil {
		beside.Kill(nil)
		if err := beside.Wait(); err != nil {
			e.notes = append(e.notes, phase.name+": "+err.Error())
		}
	}
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	return report, nil
}

func (e *environment) start(ctx context.Context, phase phase) (*fleet.Fleet, error) {
	plan, err := e.plan(phase)
	if err != nil {
		return nil, err
	}
	laidOut, err := fleet.New(plan)
	if err != nil {
		return nil, fmt.Errorf("laying out the fleet: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := e.startProcesses(ctx, phase, laidOut); err != nil {
		e.stop(phase.name, laidOut)
		return nil, err
	}
	return laidOut, nil
}

func (e *environment) startProcesses(ctx context.Context, phase phase, laidOut *fleet.Fleet) error {
	if !phase.nodes {
		return startEngines(ctx, laidOut)
	}
	if err := laidOut.Start(ctx); err != nil {
		return fmt.Errorf("starting the fleet: %w", err)
	}
	return provision(ctx, laidOut)
}

func startEngines(ctx context.Context, laidOut *fleet.Fleet) error {
	for _, engine := range laidOut.Engines {
		if err := engine.Start(); err != nil {
			return fmt.Errorf("starting engines: %w", err)
		}
	}
	for _, engine := range laidOut.Engines {
		if err := engine.WaitReady(ctx); err != nil {
			return fmt.Errorf("starting engines: %w", err)
		}
	}
	return nil
}

func (e *environment) stop(name string, started *fleet.Fleet) {
	if err := started.Stop(); err != nil {
		e.notes = append(e.notes, name+": stopping: "+err.Error())
	}
}

func (e *environment) plan(phase phase) (fleet.Plan, error) {
	plan, err := fleet.ByName(e.options.Plan)
	if err != nil {
		return plan, fmt.Errorf("choosing the plan: %w", err)
	}
	e.phases++
	plan.Directory = filepath.Join(e.options.Directory, fmt.Sprintf("run-%d-%d-%s", e.run+1, e.phases, phase.name))
	plan.Binaries = e.options.Binaries
	plan.BasePort = e.options.BasePort
	plan.Models = []string{service}
	plan.AdminKey = adminKey
	plan.Links = phase.links
	plan.TLS = phase.tls
	plan.NodeSettings = e.options.NodeSettings
	plan.EngineArguments = append([]string{
		"--max-sequences", strconv.Itoa(e.options.MaxSequences),
		"--max-waiting", strconv.Itoa(e.options.MaxWaiting),
		"--seed", strconv.FormatUint(e.seed, 10),
	}, phase.engineArguments...)
	return plan, nil
}

// loadOptions completes a phase's load with the addresses and the common settings.
func (e *environment) loadOptions(phase phase, started *fleet.Fleet) load.Options {
	options := phase.load
	options.Seed = e.seed
	options.Model = service
	options.Duration = e.options.Duration
	options.Warmup = e.options.Warmup
	if phase.nodes {
		options.Keys = []string{callerKey}
		options.Targets = nodeTargets(started)
	} else {
		options.LeastInFlight = true
		options.Targets = engineTargets(started.Engines)
	}
	for _, engine := range started.Engines {
		options.EngineFaults = append(options.EngineFaults, engine.Fault)
	}
	if phase.shape != nil {
		phase.shape(&options, started)
	}
	return options
}

func nodeTargets(started *fleet.Fleet) []string {
	var targets []string
	for _, node := range started.Nodes {
		targets = append(targets, started.CallerURL(node))
	}
	return targets
}

func engineTargets(engines []fleet.Engine) []string {
	var targets []string
	for _, engine := range engines {
		targets = append(targets, "http://"+engine.Address)
	}
	return targets
}

// counters reads the counters of every engine. An engine that does not answer is noted and counts as zero.
func (e *environment) counters(ctx context.Context, started *fleet.Fleet) []enginesim.Counters {
	readings := make([]enginesim.Counters, len(started.Engines))
	for index, engine := range started.Engines {
		if err := getJSON(ctx, "http://"+engine.Fault+"/counters", &readings[index]); err != nil {
			e.notes = append(e.notes, err.Error())
		}
	}
	return readings
}

// differences returns what each engine did between two readings, and the sum.
func differences(before, after []enginesim.Counters) (each []enginesim.Counters, sum enginesim.Counters) {
	for index := range after {
		done := after[index].Minus(before[index])
		each = append(each, done)
		sum = sum.Minus(enginesim.Counters{}.Minus(done))
	}
	return each, sum
}

// balance returns the tokens of the engine that generated fewest and of the one that generated most, each as a share of
// the mean.
func (o outcome) balance() (least, most float64) {
	total, fewest, largest := int64(0), int64(math.MaxInt64), int64(0)
	for _, counters := range o.perEngine {
		tokens := counters.Tokens[inference.Online] + counters.Tokens[inference.Batch]
		total += tokens
		fewest = min(fewest, tokens)
		largest = max(largest, tokens)
	}
	mean := float64(max(1, total)) / float64(max(1, len(o.perEngine)))
	return float64(fewest) / mean, float64(largest) / mean
}

func getJSON(ctx context.Context, url string, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("asking %s: %w", url, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("asking %s: %w", url, err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
		return fmt.Errorf("asking %s: %w", url, err)
	}
	return nil
}

// shownDetails bounds the failures quoted of one ledger of a phase.
const shownDetails = 5

func (e *environment) addDetails(name string, details []string) {
	for _, detail := range details[:min(len(details), shownDetails)] {
		e.notes = append(e.notes, name+": "+detail)
	}
}

// check notes everything in a report that is not a plain success, so that no figure hides lost work.
func (e *environment) check(name string, report *load.Report) {
	online, batch := report.Online, report.Batch
	if online.Completed != online.Planned {
		e.notes = append(e.notes, fmt.Sprintf("%s: online planned %d completed %d interrupted %d cut %d wrong %d failed %d unfinished %d refused %v",
			name, online.Planned, online.Completed, online.Interrupted, online.Cut, online.Wrong, online.Failed, online.Unfinished, online.Refused))
	}
	if online.DoubledRuns > 0 {
		e.notes = append(e.notes, fmt.Sprintf("%s: %d requests that must run once ran more often", name, online.DoubledRuns))
	}
	if batch.Unfinished > 0 {
		e.notes = append(e.notes, fmt.Sprintf("%s: batch accepted %d, unfinished at the end %d", name, batch.Accepted, batch.Unfinished))
	}
	if batch.Unknown > batch.Once || batch.Cancelled > 0 && report.Cancel.Asked == 0 {
		e.notes = append(e.notes, fmt.Sprintf("%s: outcome unknown of %d batch items with %d that must run once, cancelled %d", name, batch.Unknown, batch.Once, batch.Cancelled))
	}
	if batch.DoubledRuns > 0 {
		e.notes = append(e.notes, fmt.Sprintf("%s: %d batch items that must run once ran more often", name, batch.DoubledRuns))
	}
	if batch.Backwards+batch.Changed > 0 {
		e.notes = append(e.notes, fmt.Sprintf("%s: %d counts or states went back, %d result files changed", name, batch.Backwards, batch.Changed))
	}
	if cancel := report.Cancel; cancel.LateStarts+cancel.Misended > 0 || cancel.Ended < cancel.Accepted {
		e.notes = append(e.notes, fmt.Sprintf("%s: cancels accepted %d ended %d misended %d, late starts %d", name, cancel.Accepted, cancel.Ended, cancel.Misended, cancel.LateStarts))
	}
	if resend := report.Resend; resend.Doubled+resend.Foreign+resend.WrongRefusals+resend.OthersAccepted+resend.UntoldJobs > 0 {
		e.notes = append(e.notes, fmt.Sprintf("%s: resends answered with a second job %d, a foreign one %d, wrongly refused %d, another body accepted %d, jobs told to nobody %d",
			name, resend.Doubled, resend.Foreign, resend.WrongRefusals, resend.OthersAccepted, resend.UntoldJobs))
	}
	if batch.Lost+batch.Doubled+batch.Foreign+batch.Wrong+batch.Failed > 0 || len(batch.Refused) > 0 {
		e.notes = append(e.notes, fmt.Sprintf("%s: batch accepted %d completed %d failed %d lost %d doubled %d foreign %d wrong %d refused %v",
			name, batch.Accepted, batch.Completed, batch.Failed, batch.Lost, batch.Doubled, batch.Foreign, batch.Wrong, batch.Refused))
	}
	e.addDetails(name, batch.Details)
	e.addDetails(name, online.Details)
}
