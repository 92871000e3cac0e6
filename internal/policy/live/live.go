// Package live evaluates the policies of the current configuration on a node. It adds the stateful parts to package policy:
// access to the current configuration, the cache of compiled policies, and rate-limited logging of failed programs.
package live

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/policy"
)

// logPeriod is the minimum time between two log lines about one service: a program may fail thousands of times a second.
const logPeriod = time.Minute

// Evaluator evaluates the policy of a service, or the default if the service has none or its policy fails. Its methods
// never fail and are safe for concurrent use.
type Evaluator struct {
	source catalog.Source
	logger zerolog.Logger
	now    func() time.Time
	cache  *policy.Cache

	mu sync.Mutex
	// lastLogged is the time of the last log line about a service.
	lastLogged map[string]time.Time
}

// New returns an evaluator of the policies in the current snapshot of source. now returns the current time; it is time.Now
// outside tests.
func New(source catalog.Source, logger zerolog.Logger, now func() time.Time) *Evaluator {
	return &Evaluator{
		source:     source,
		logger:     logger,
		now:        now,
		cache:      policy.NewCache(),
		lastLogged: map[string]time.Time{},
	}
}

// Priorities returns the priorities of waiting work of one service: larger values run first, across
// all services.
func (e *Evaluator) Priorities(service string, works []policy.Work) []float64 {
	priorities, err := e.compiled(service).Priorities(works)
	e.report(event.PolicyFailed, service, err)
	return priorities
}

// MayWait reports whether an online request may be queued instead of being refused.
func (e *Evaluator) MayWait(request policy.Request) bool {
	mayWait, err := e.compiled(request.Service).MayWait(request)
	e.report(event.PolicyFailed, request.Service, err)
	return mayWait
}

// WhenCutOff returns the action of a partitioned site for a service.
func (e *Evaluator) WhenCutOff(site policy.Site) policy.CutOffAction {
	action, err := e.compiled(site.Service).WhenCutOff(site)
	e.report(event.PolicyFailed, site.Service, err)
	return action
}

func (e *Evaluator) compiled(service string) *policy.Compiled {
	compiled, err := e.cache.ForService(e.source.Current(), service)
	e.report(event.PolicyNotCompiling, service, err)
	return compiled
}

// report logs an error unless a line about the service was logged within logPeriod.
func (e *Evaluator) report(kind event.Event, service string, err error) {
	if err == nil || !e.shouldLog(service) {
		return
	}
	kind.Log(e.logger).Str("service", service).Err(err).Send()
}

func (e *Evaluator) shouldLog(service string) bool {
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	last, found := e.lastLogged[service]
	if found && now.Sub(last) < logPeriod {
		return false
	}
	e.lastLogged[service] = now
	return true
}
