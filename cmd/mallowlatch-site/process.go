package main

import (
	"math"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/callmeter"
	"mallowlatch.example/mallowlatch/internal/clock"
	"mallowlatch.example/mallowlatch/internal/connlimit"
	"mallowlatch.example/mallowlatch/internal/connpool"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/follower"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/memorybudget"
	"mallowlatch.example/mallowlatch/internal/poison"
	"mallowlatch.example/mallowlatch/internal/poisonwatch"
	"mallowlatch.example/mallowlatch/internal/reachability"
	"mallowlatch.example/mallowlatch/internal/refusal"
	"mallowlatch.example/mallowlatch/internal/routetable"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/site"
	"mallowlatch.example/mallowlatch/internal/sitesettings"
	"mallowlatch.example/mallowlatch/internal/storemeter"
	"mallowlatch.example/mallowlatch/platform"
)

// Limits of the connections to runners and to the store.
const (
	runnerDialTimeout        = 400 * time.Millisecond
	runnerIdleTimeout        = 4 * time.Second
	maxIdleRunnerConnections = 32
	storeDialTimeout         = 500 * time.Millisecond
	storeIdleTimeout         = 10 * time.Second
	maxIdleStoreConnections  = 8
	// idleSweepInterval is the interval at which expired idle connections are closed.
	idleSweepInterval = 2 * time.Second
	// counterLogInterval is the interval at which counters are logged; it is long enough that the cost is negligible.
	counterLogInterval = 10 * time.Second
)

// process holds what both roles share: the connections, the view of the fleet, and the logs.
type process struct {
	path     string
	settings sitesettings.Settings
	logs     *site.LogWriter
	logger   zerolog.Logger
	tomb     *tomb.Tomb
	store    *storemeter.Store
	// registry reads the runners and the operators' orders.
	registry     *platform.Registry
	reachability *reachability.Watch
	storePool    *connpool.Pool
	caller       *platform.RunnerCaller
	runners      *runnertable.Table
	routes       *routetable.Table
	lifecycle    *site.Lifecycle
	ends         *poisonwatch.Watch
	// peerCalls counts the calls to other nodes.
	peerCalls *callmeter.Meter
	// heldBytes limits the memory used for the requests and answers of clients.
	heldBytes *memorybudget.NodeBudget
	// callers limits the connections of clients. A worker has none.
	callers *connlimit.Limiter
	// suspended is the total time the machine was suspended, as of the last check. Only closeExpiredConnections
	// accesses it.
	suspended time.Duration
}

func newProcess(path string, settings sitesettings.Settings, role string) *process {
	site.ApplyLimits(settings.Limits)
	logs := site.NewLogWriter(os.Stdout, clock.Now)
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	logger := zerolog.New(logs).With().Timestamp().Str("node", settings.Node.Name).Logger()
	event.SiteStarting.Log(logger).Str("role", role).Str("zone", settings.Node.Zone).Int("memory_mb", settings.Limits.MemoryMB).Send()
	storePool := connpool.New(connpool.Options{
		DialTimeout: storeDialTimeout, IdleTimeout: storeIdleTimeout, MaxIdlePerAddress: maxIdleStoreConnections,
	})
	started := &process{
		path: path, settings: settings, logs: logs, logger: logger, tomb: new(tomb.Tomb),
		store:        storemeter.New(&platform.Store{Address: settings.Store.Address, Pool: storePool}),
		reachability: &reachability.Watch{},
		storePool:    storePool,
		caller: &platform.RunnerCaller{Pool: connpool.New(connpool.Options{
			DialTimeout: runnerDialTimeout, IdleTimeout: runnerIdleTimeout, MaxIdlePerAddress: maxIdleRunnerConnections,
		})},
		runners:   runnertable.New(ident.Zone(settings.Node.Zone)),
		routes:    &routetable.Table{},
		lifecycle: site.NewLifecycle(),
		peerCalls: &callmeter.Meter{Zone: ident.Zone(settings.Node.Zone)},
		heldBytes: memorybudget.New[ident.Tenant, string](memorybudget.LimitsOf(settings.Limits.MemoryBytes())),
	}
	started.callers = connlimit.New(callerLimits(settings.Limits), started.routes.HeadLimit, clock.Now)
	started.store.Heard = started.reachability
	started.registry = platform.NewRegistry(started.store, &refusal.Tracker{OnChange: started.logRefusal})
	started.ends = &poisonwatch.Watch{
		Book: poison.NewBook(rand.Int64N(math.MaxInt32)), Runners: started.runners, Caller: started.caller, Tomb: started.tomb,
		Logger: logger, Now: clock.Now,
	}
	return started
}

const (
	// firstStartGrace is how long a process waits for the fleet from its peers when all processes start together for
	// the first time. Each process that reads the store itself makes four calls, about a thousand in total on a site
	// of 300 machines. Client traffic starts only ten seconds later.
	firstStartGrace = 1500 * time.Millisecond
	// restartGrace is the same for a process that starts alone or after a loss of power, when clients are already
	// waiting. It is several times as long as peers take to answer when some hundred processes start at once.
	restartGrace = 600 * time.Millisecond
)

// startGrace returns how long this process waits for the fleet from its peers before it reads the store; zero without
// seeds, because no peer can be queried then.
func (p *process) startGrace() time.Duration {
	switch {
	case len(p.settings.Seeds) == 0:
		return 0
	case p.settings.Node.FirstStart:
		return firstStartGrace
	}
	return restartGrace
}

// records returns the batch jobs in the store.
func (p *process) records() *jobrecord.Records {
	return &jobrecord.Records{
		Store: p.store, ValueBytes: p.settings.Store.ValueBytes, Retention: p.settings.Bounds.ResultRetention(), Now: clock.Date,
		Refused: func(key string, err error) { p.logRefusal(key, err, 1) },
	}
}

// logRefusal logs that a stored value cannot be read, or is readable again.
func (p *process) logRefusal(key string, err error, total int) {
	if err == nil {
		event.ValueReadable.Log(p.logger).Str("key", key).Int("refused", total).Send()
		return
	}
	event.ValueRefused.Log(p.logger).Str("key", key).Int("refused", total).Err(err).Send()
}

// follow starts keeping the runners and the configuration up to date, and the periodic tasks. The caller sets the
// fields of the follower that differ between roles.
func (p *process) follow(role *follower.Follower) {
	role.Registry, role.Runners, role.Routes = p.registry, p.runners, p.routes
	role.Options = follower.OptionsFor(p.settings.Bounds.Drain(), p.settings.Bounds.Heartbeat())
	role.Options.StartGrace = p.startGrace()
	role.Logger, role.Now, role.Forget = p.logger, clock.Now, p.caller.Pool.Forget
	role.Start(p.tomb)
	p.runPeriodically(idleSweepInterval, p.closeExpiredConnections)
	p.runPeriodically(counterLogInterval, p.logCounters)
}

// runPeriodically calls a function at an interval until the process stops.
func (p *process) runPeriodically(interval time.Duration, do func()) {
	p.tomb.Go(func() error {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-p.tomb.Dying():
				return nil
			case <-ticker.C:
				do()
			}
		}
	})
}

func (p *process) closeExpiredConnections() {
	p.logSuspension()
	p.caller.Pool.CloseExpired()
	p.storePool.CloseExpired()
	p.registry.Release()
}

// logSuspension logs if the machine was suspended since the last check.
func (p *process) logSuspension() {
	before := p.suspended
	p.suspended = clock.Slept()
	if p.suspended > before {
		event.MachineSlept.Log(p.logger).Dur("slept_ms", p.suspended-before).Dur("total_ms", p.suspended).Send()
	}
}

// logCounters logs what was counted since the last call.
func (p *process) logCounters() {
	p.logStoreCalls()
	p.logPeerCalls()
	p.logHeldBytes()
	p.logCallers()
	p.logSlowRunners()
}

func (p *process) logStoreCalls() {
	if counts := p.store.Take(); len(counts) > 0 {
		event.StoreCalls.Log(p.logger).Interface("calls", counts).Send()
	}
}

func (p *process) logPeerCalls() {
	if counts := p.peerCalls.Take(); len(counts) > 0 {
		event.PeerCalls.Log(p.logger).Interface("calls", counts).Send()
	}
}

// maxSlowRunnersLogged is the maximum number of runner names in a log line on slow runners.
const maxSlowRunnersLogged = 8

// logSlowRunners logs which runners became slow, and how often they were chosen.
func (p *process) logSlowRunners() {
	counted, slow := p.runners.TakeSlowPhases(clock.Now())
	if counted == (runnertable.SlowPhases{}) && len(slow) == 0 {
		return
	}
	event.RunnersSlow.Log(p.logger).Int("begun", counted.Begun).Int("ended", counted.Ended).
		Int("slow", len(slow)).Strs("runners", slow[:min(len(slow), maxSlowRunnersLogged)]).
		Int("choices", counted.Chosen).Int("at_slow", counted.Slow).Int("beyond_pause", counted.PauseExceeded).Send()
}

// logHeldBytes logs the memory used for clients if it is large or if something was refused or cut off because of it.
func (p *process) logHeldBytes() {
	tally := p.heldBytes.TakeTally()
	if !tally.Reportable() {
		return
	}
	event.BytesHeld.Log(p.logger).Int64("held", tally.Held).Int64("most", tally.Peak).Int64("of", tally.All).
		Int("requests_refused", tally.Refused[memorybudget.Request]).Int("jobs_refused", tally.Refused[memorybudget.Submission]).
		Int("results_refused", tally.Refused[memorybudget.Result]).Int("answers_refused", tally.Refused[memorybudget.Answer]).
		Int("jobs_not_taken", tally.Refused[memorybudget.Job]).Int("results_not_kept", tally.Refused[memorybudget.Kept]).
		Int("callers_cut", tally.Disconnected).Send()
}

// logCallers logs which connections of clients were closed or refused.
func (p *process) logCallers() {
	tally := p.callers.TakeTally()
	if !tally.Reportable() {
		return
	}
	event.CallersLimited.Log(p.logger).Int("open", tally.Open).Int("most", tally.Most).Int("of", tally.Limit).Int64("heads", tally.HeadBytes).
		Int("unfinished_closed", tally.Unfinished).Int("idle_closed", tally.Idle).Int("refused", tally.Refused).
		Int("late_bodies_closed", tally.Late).Int("heads_too_large", tally.TooLarge).Send()
}

// waitForStop returns when the process is asked to stop or a part of it failed. On SIGHUP it reloads the settings, on SIGUSR1 it
// writes a processor profile.
func (p *process) waitForStop() {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1)
	for {
		select {
		case <-p.tomb.Dying():
			return
		case received := <-signals:
			switch received {
			case syscall.SIGHUP:
				p.reloadSettings()
			case syscall.SIGUSR1:
				p.startProfile()
			default:
				event.SiteStopping.Log(p.logger).Str("signal", received.String()).Send()
				return
			}
		}
	}
}

// callerLimits returns the limits on the connections of clients.
func callerLimits(limits sitesettings.Limits) connlimit.Limits {
	return connlimit.LimitsOf(limits.MemoryBytes(), limits.Descriptors)
}

func (p *process) reloadSettings() {
	settings, err := sitesettings.Load(p.path)
	if err != nil {
		event.SettingsUnreadable.Log(p.logger).Err(err).Send()
		return
	}
	site.ApplyLimits(settings.Limits)
	p.heldBytes.SetLimits(memorybudget.LimitsOf(settings.Limits.MemoryBytes()))
	p.callers.SetLimits(callerLimits(settings.Limits))
	event.SettingsReloaded.Log(p.logger).Int("memory_mb", settings.Limits.MemoryMB).Send()
}

// shutdown stops the parts of the process and writes the remaining log lines.
func (p *process) shutdown() error {
	p.tomb.Kill(nil)
	err := p.tomb.Wait()
	event.SiteStopped.Log(p.logger).Err(err).Send()
	p.logs.Close()
	return err
}
