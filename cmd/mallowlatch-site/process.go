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

	"mallowlatch.example/mallowlatch/internal/clock"
	"mallowlatch.example/mallowlatch/internal/connpool"
	"mallowlatch.example/mallowlatch/internal/endwatch"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/follower"
	"mallowlatch.example/mallowlatch/internal/heldbytes"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/poison"
	"mallowlatch.example/mallowlatch/internal/reach"
	"mallowlatch.example/mallowlatch/internal/refusal"
	"mallowlatch.example/mallowlatch/internal/routetable"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/site"
	"mallowlatch.example/mallowlatch/internal/sitesettings"
	"mallowlatch.example/mallowlatch/internal/storemeter"
	"mallowlatch.example/mallowlatch/platform"
)

// Connections to runners and to the store.
const (
	runnerDialTimeout = 400 * time.Millisecond
	runnerIdleTimeout = 4 * time.Second
	runnerIdle        = 32
	storeDialTimeout  = 500 * time.Millisecond
	storeIdleTimeout  = 10 * time.Second
	storeIdle         = 8
	// idleSweep is the time between closings of connections past their time.
	idleSweep = 2 * time.Second
	// figuresEvery is the time between two lines that sum up what was counted: rare enough to cost nothing.
	figuresEvery = 10 * time.Second
)

// process is what both roles share: the connections, what is known of the fleet, and the logs.
type process struct {
	path      string
	settings  sitesettings.Settings
	logs      *site.LogWriter
	logger    zerolog.Logger
	tomb      *tomb.Tomb
	store     *storemeter.Store
	heard     *reach.Watch
	storePool *connpool.Pool
	caller    *platform.RunnerCaller
	runners   *runnertable.Table
	routes    *routetable.Table
	lifecycle *site.Lifecycle
	ends      *endwatch.Watch
	// held bounds what the process holds for callers.
	held *heldbytes.OfNode
	// slept is how long the machine was suspended as of the last look; only the sweep of connections touches it.
	slept time.Duration
}

func newProcess(path string, settings sitesettings.Settings, role string) *process {
	site.ApplyLimits(settings.Limits)
	logs := site.NewLogWriter(os.Stdout, clock.Now)
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	logger := zerolog.New(logs).With().Timestamp().Str("node", settings.Node.Name).Logger()
	event.SiteStarting.Log(logger).Str("role", role).Str("zone", settings.Node.Zone).Int("memory_mb", settings.Limits.MemoryMB).Send()
	storePool := connpool.New(connpool.Options{
		DialTimeout: storeDialTimeout, IdleTimeout: storeIdleTimeout, MaximumIdle: storeIdle,
	})
	started := &process{
		path: path, settings: settings, logs: logs, logger: logger, tomb: new(tomb.Tomb),
		store:     storemeter.New(&platform.Store{Address: settings.Store.Address, Pool: storePool}),
		heard:     &reach.Watch{},
		storePool: storePool,
		caller: &platform.RunnerCaller{Pool: connpool.New(connpool.Options{
			DialTimeout: runnerDialTimeout, IdleTimeout: runnerIdleTimeout, MaximumIdle: runnerIdle,
		})},
		runners:   runnertable.New(ident.Zone(settings.Node.Zone)),
		routes:    &routetable.Table{},
		lifecycle: &site.Lifecycle{},
		held:      heldbytes.New[ident.Tenant, string](heldbytes.LimitsOf(settings.Limits.MemoryBytes())),
	}
	started.store.Heard = started.heard
	started.ends = &endwatch.Watch{
		Book: poison.NewBook(rand.Int64N(math.MaxInt32)), Runners: started.runners, Caller: started.caller, Tomb: started.tomb,
		Logger: logger, Now: clock.Now,
	}
	return started
}

const (
	// firstStartGrace is how long a process waits to be told of the fleet where all start together for the first time: each that
	// reads the store itself makes four calls, all of them a thousand on a site of 300 machines. Traffic comes ten seconds later.
	firstStartGrace = 1500 * time.Millisecond
	// startGrace is the same for a process that starts alone, or after a loss of power: callers wait for it. It is several times what the
	// telling takes where some hundred processes start at once.
	startGrace = 600 * time.Millisecond
)

// startGrace is how long this process waits to be told of the fleet before it reads the store; without seeds nobody can tell.
func (p *process) startGrace() time.Duration {
	switch {
	case len(p.settings.Seeds) == 0:
		return 0
	case p.settings.Node.FirstStart:
		return firstStartGrace
	}
	return startGrace
}

// records are the batch jobs in the store.
func (p *process) records() *jobrecord.Records {
	return &jobrecord.Records{
		Store: p.store, ValueBytes: p.settings.Store.ValueBytes, Retention: p.settings.Bounds.ResultRetention(), Now: clock.Date,
		Refused: func(key string, err error) { p.tellRefusal(key, err, 1) },
	}
}

// registry reads the runners and the operators' orders.
func (p *process) registry() *platform.Registry {
	return &platform.Registry{Store: p.store, Refusals: &refusal.Book{Tell: p.tellRefusal}}
}

// tellRefusal writes a line of a value that cannot be read, or can be read again.
func (p *process) tellRefusal(key string, err error, total int) {
	if err == nil {
		event.ValueReadable.Log(p.logger).Str("key", key).Int("refused", total).Send()
		return
	}
	event.ValueRefused.Log(p.logger).Str("key", key).Int("refused", total).Err(err).Send()
}

// follow keeps the runners and the configuration up to date. What the roles differ in is set in the follower given.
func (p *process) follow(role *follower.Follower) {
	role.Registry, role.Runners, role.Routes = p.registry(), p.runners, p.routes
	role.Options = follower.OptionsFor(p.settings.Bounds.Drain(), p.settings.Bounds.Heartbeat())
	role.Options.StartGrace = p.startGrace()
	role.Logger, role.Now, role.Forget = p.logger, clock.Now, p.caller.Pool.Forget
	role.Start(p.tomb)
	p.each(idleSweep, p.sweepConnections)
	p.each(figuresEvery, p.tellFigures)
}

// each calls a function again and again until the process ends.
func (p *process) each(interval time.Duration, do func()) {
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

func (p *process) sweepConnections() {
	p.tellSleep()
	p.caller.Pool.CloseExpired()
	p.storePool.CloseExpired()
}

// tellSleep writes a line where the machine was suspended since the last look.
func (p *process) tellSleep() {
	before := p.slept
	p.slept = clock.Slept()
	if p.slept > before {
		event.MachineSlept.Log(p.logger).Dur("slept_ms", p.slept-before).Dur("total_ms", p.slept).Send()
	}
}

// tellFigures writes the lines that sum up what was counted since the last ones.
func (p *process) tellFigures() {
	p.tellStoreCalls()
	p.tellHeld()
	p.tellSlowRunners()
}

func (p *process) tellStoreCalls() {
	if counts := p.store.Take(); len(counts) > 0 {
		event.StoreCalls.Log(p.logger).Interface("calls", counts).Send()
	}
}

// slowRunnersNamed bounds the names in a line on slow runners.
const slowRunnersNamed = 8

// tellSlowRunners writes a line of the runners that turned slow, and what the choices did with them.
func (p *process) tellSlowRunners() {
	counted, slow := p.runners.TakeSlowPhases(clock.Now())
	if counted == (runnertable.SlowPhases{}) && len(slow) == 0 {
		return
	}
	event.RunnersSlow.Log(p.logger).Int("begun", counted.Begun).Int("ended", counted.Ended).
		Int("slow", len(slow)).Strs("runners", slow[:min(len(slow), slowRunnersNamed)]).
		Int("choices", counted.Chosen).Int("at_slow", counted.Slow).Int("beyond_pause", counted.Beyond).Send()
}

// tellHeld writes a line of what is held for callers, where it is much or something was refused or cut for it.
func (p *process) tellHeld() {
	tally := p.held.Take()
	if !tally.Telling() {
		return
	}
	event.BytesHeld.Log(p.logger).Int64("held", tally.Held).Int64("most", tally.Most).Int64("of", tally.All).
		Int("requests_refused", tally.Refused[heldbytes.Request]).Int("jobs_refused", tally.Refused[heldbytes.Submission]).
		Int("results_refused", tally.Refused[heldbytes.Result]).Int("answers_refused", tally.Refused[heldbytes.Answer]).
		Int("jobs_not_taken", tally.Refused[heldbytes.Job]).Int("results_not_kept", tally.Refused[heldbytes.Kept]).
		Int("callers_cut", tally.Cut).Send()
}

// waitForStop returns when the process is asked to stop or a part of it failed. On a hang-up it reads the settings
// again.
func (p *process) waitForStop() {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for {
		select {
		case <-p.tomb.Dying():
			return
		case received := <-signals:
			if received != syscall.SIGHUP {
				event.SiteStopping.Log(p.logger).Str("signal", received.String()).Send()
				return
			}
			p.readSettingsAgain()
		}
	}
}

func (p *process) readSettingsAgain() {
	settings, err := sitesettings.Load(p.path)
	if err != nil {
		event.SettingsBad.Log(p.logger).Err(err).Send()
		return
	}
	site.ApplyLimits(settings.Limits)
	p.held.SetLimits(heldbytes.LimitsOf(settings.Limits.MemoryBytes()))
	event.SettingsAgain.Log(p.logger).Int("memory_mb", settings.Limits.MemoryMB).Send()
}

// end stops the process's parts and writes the last lines.
func (p *process) end() error {
	p.tomb.Kill(nil)
	err := p.tomb.Wait()
	event.SiteStopped.Log(p.logger).Err(err).Send()
	p.logs.Close()
	return err
}
