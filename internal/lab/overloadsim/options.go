// Package overloadsim runs a fleet of nodes and runners under more load than it can carry, in virtual time and from one
// seed. Admission, the table of runners, the choice of a runner, the retry budget and the engine's scheduler and cost
// model are the real ones; callers, links and clocks are simulated. So goodput, fairness, the delay of refusals and the
// time a limit takes to settle are exact figures without the noise of a machine.
package overloadsim

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/admission"
	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/lab/enginesim"
	"mallowlatch.example/mallowlatch/internal/lab/load"
)

// Stage is a rate of arrivals from an instant on, in requests per second over the fleet.
type Stage struct {
	From time.Duration
	Rate float64
}

// Tenant is one source of requests with its share of the arrivals.
type Tenant struct {
	catalog.Tenant
	Share float64
	// Nodes bounds the nodes the tenant's callers use, from the first; zero means all.
	Nodes int
}

// Loss takes a runner away for a while: its sequences break off and calls to it fail.
type Loss struct {
	Runner  int
	At, For time.Duration
}

// Options describe a run.
type Options struct {
	Seed           uint64
	Nodes, Runners int
	// Zones hold equal shares of nodes and runners. The distance between zones is not known, as in the lab.
	Zones int
	// MaxSequences and MaxWaiting shape the runners.
	MaxSequences, MaxWaiting int
	// Stages are in order of their beginnings.
	Stages  []Stage
	Tenants []Tenant
	Losses  []Loss
	// Duration and Warmup bound the arrivals that are counted.
	Duration, Warmup time.Duration
	// Returns is how often a refused caller comes back, each time when it was told to.
	Returns int
	Bounds  admission.Bounds
}

// Figures of the simulated network and callers.
const (
	// leastLinkDelay and meanLinkExcess give the one-way delay between any two processes: the first, and an exponentially
	// distributed time beyond it.
	leastLinkDelay = 300 * time.Microsecond
	meanLinkExcess = 700 * time.Microsecond
	// tellDelay is how long a change of a count waits for others before it is told to the runner's owner.
	tellDelay = 20 * time.Millisecond
	// renewEvery is the time between renewals of counts above zero.
	renewEvery = 2 * time.Second
	// pollEvery and reportLag are the time between load reports and their age on arrival.
	pollEvery = 250 * time.Millisecond
	reportLag = 200 * time.Millisecond
	// demandEvery is the time between exchanges of demand.
	demandEvery = 2 * time.Second
	// FirstTokenGoal is the delay up to which a completed request counts as good.
	FirstTokenGoal = load.DefaultFirstTokenGoal
	service        = "base"
)

func (o Options) withDefaults() Options {
	fill := func(value *int, byDefault int) {
		if *value <= 0 {
			*value = byDefault
		}
	}
	fill(&o.Nodes, 4)
	fill(&o.Runners, 4)
	fill(&o.Zones, 1)
	fill(&o.MaxSequences, 32)
	fill(&o.MaxWaiting, 64)
	if o.Duration <= 0 {
		o.Duration = 30 * time.Second
	}
	if len(o.Tenants) == 0 {
		o.Tenants = []Tenant{{Tenant: catalog.Tenant{Name: "tenant"}, Share: 1}}
	}
	return o
}

// Capacity is the rate that full runners carry by the cost model, without hits of the prefix cache, in requests per
// second. It is a yardstick for offered loads, not a bound.
func Capacity(runners, maxSequences int) float64 {
	perToken := enginesim.DefaultStepBase.Seconds()/float64(maxSequences) + enginesim.DefaultStepPerSequence.Seconds()
	prompt := load.DefaultPromptTokens + load.DefaultPrefixTokens
	needed := load.DefaultAnswerTokens*perToken + float64(prompt)*enginesim.DefaultStepPerPrefill.Seconds()
	return float64(runners) / needed
}
