// Package live evaluates the policies in force on a node. It adds to package policy what is not pure: the newest
// configuration, the cache of compiled policies, and the log lines of programs that failed.
package live

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/policy"
)

// logPeriod is the least time between two log lines about one service: a program may fail thousands of times a second.
const logPeriod = time.Minute

// Evaluator answers by the policy of a service, or by the default where there is none or it fails. Its methods never
// fail and are safe for concurrent use.
type Evaluator struct {
	source catalog.Source
	logger zerolog.Logger
	now    func() time.Time
	cache  *policy.Cache

	mu sync.Mutex
	// logged is when a service was last written about.
	logged map[string]time.Time
}

// New returns an evaluator of the policies that source has. now is the clock, time.Now outside tests.
func New(source catalog.Source, logger zerolog.Logger, now func() time.Time) *Evaluator {
	return &Evaluator{
		source: source,
		logger: logger,
		now:    now,
		cache:  policy.NewCache(),
		logged: map[string]time.Time{},
	}
}

// Priorities returns the priorities of waiting work of one service: larger goes first, over all services.
func (e *Evaluator) Priorities(service string, works []policy.Work) []float64 {
	priorities, err := e.compiled(service).Priorities(works)
	e.report(event.PolicyFailed, service, err)
	return priorities
}

// MayWait says whether an online request may be queued rather than refused.
func (e *Evaluator) MayWait(request policy.Request) bool {
	mayWait, err := e.compiled(request.Service).MayWait(request)
	e.report(event.PolicyFailed, request.Service, err)
	return mayWait
}

// WhenCutOff says what a site that is cut off does with a service.
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

// report logs an error, unless the service was written about a short while ago.
func (e *Evaluator) report(kind event.Event, service string, err error) {
	if err == nil || !e.due(service) {
		return
	}
	kind.Log(e.logger).Str("service", service).Err(err).Send()
}

func (e *Evaluator) due(service string) bool {
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	last, written := e.logged[service]
	if written && now.Sub(last) < logPeriod {
		return false
	}
	e.logged[service] = now
	return true
}
