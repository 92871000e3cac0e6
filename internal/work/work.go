// Package work holds the types that pass between the dialects and the core: opaque requests, answers made of ordered
// events, runners, routes and batch items. It does no I/O and knows no wire format.
package work

import (
	"net/http"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/keyhash"
)

// Part is one piece of a prompt. Requests that share a part and all parts before it can share what a runner keeps.
type Part struct {
	// ID names the content of the part.
	ID string
	// Tokens is its length.
	Tokens int
}

// Request is one client attempt, or one run of a batch item. The core passes method, path, headers and body on
// unaltered.
type Request struct {
	// ID names the attempt; a runner's answer carries it back.
	ID      ident.Request
	Method  string
	Path    string
	Host    string
	Headers http.Header
	Body    []byte
	// Prefix is the prompt in order; the last part is the request's own.
	Prefix []Part
	// PromptTokens and MaximumTokens are the client's counts; zero when it gave none.
	PromptTokens, MaximumTokens int
	// Tenant is whose request it is; empty where the configuration names no tenants.
	Tenant ident.Tenant
	// Rank is that of the tenant; zero is the most urgent.
	Rank int
	// Connection names the caller's connection; empty where there is none.
	Connection string
	// Arrived is when the node received the request.
	Arrived time.Time
	// Deadline is when the client stops waiting; zero means that it did not say.
	Deadline time.Time
	// ResumeAfter is the id of the last event the caller already has; zero asks for the whole answer.
	ResumeAfter int64
}

// Head is the beginning of a runner's answer.
type Head struct {
	Status  int
	Headers http.Header
	// Load is what the runner said of itself, if it did.
	Load *Load
}

// Pace is how long work takes at a runner now, as a multiple of the usual: 1 is as usual, 2 takes twice as long. Zero is not known.
type Pace float64

// Known says whether the pace is.
func (p Pace) Known() bool { return p > 0 }

// Load is a runner's own count of its work.
type Load struct {
	Running, Waiting, Slots int
	// Memory is how many tokens of prompts and output the runner can hold; zero where it is not told.
	Memory int
	// Pace is told by runners that share their machine with others; zero where it is not told.
	Pace Pace
}

// State is what the registry says of a runner.
type State uint8

const (
	// Ready runners take work.
	Ready State = iota
	// Draining runners finish what they have.
	Draining
	// Unreadable entries name no runner. Whichever incarnation had the entry's name before takes no more work.
	Unreadable
)

// Runner is one incarnation of a model engine, as the registry lists it.
type Runner struct {
	// ID is the incarnation; a restart begins a new one, also under the same name. That of an unreadable entry is the name alone.
	ID      ident.Incarnation
	Service string
	Address string
	Zone    ident.Zone
	Slots   int
	State   State
	// WarmUp is how long the runner stays slow, counted from the reading of the registry.
	WarmUp time.Duration
	// Registered is the registry's revision at which the runner's entry was made. An entry that ran out and came back has
	// another one.
	Registered int64
}

// Kind says what a route allows.
type Kind uint8

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests are answered by events.
	Streaming
	// Batch routes take jobs of many items.
	Batch
)

// WeightedService is one part of a route's split.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route says which requests go to which service, and how.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Split holds the services that serve the route; one entry without a split.
	Split []WeightedService
	// Timeout is the longest time a client attempt is held; zero means no bound.
	Timeout time.Duration
	// Objective is the time to the first event (or the answer) that earns full credit.
	Objective time.Duration
	// Pause is the longest time between two events of a stream that earns full credit; zero names none.
	Pause time.Duration
	// CompletionObjective is when all results of a batch job are due, counted from its submission.
	CompletionObjective time.Duration
	// Retention is when items of a batch job may be given up, counted from its submission.
	Retention time.Duration
	// Priority is the rank; zero is the most urgent.
	Priority int
	// MaximumAttempts bounds the runners one client attempt may run on, and the failed runs of a batch item.
	MaximumAttempts int
	// Resumable says that another runner can go on after the last event.
	Resumable bool
	// MaximumQueuedTokens bounds the waiting tokens of a batch route over all nodes, of each tenant where there are tenants; zero
	// means no bound.
	MaximumQueuedTokens int
	// Public routes take requests without a key.
	Public bool `json:",omitempty"`
}

// Repeatable says whether a request of the route may run on a second runner after it may have run on a first.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Batch || (r.Kind == Streaming && r.Resumable)
}

// GoesTo says whether a service serves a part of the route.
func (r *Route) GoesTo(service string) bool {
	for _, part := range r.Split {
		if part.Service == service {
			return true
		}
	}
	return false
}

// Service is a set of runners that do the same work.
type Service struct {
	Name       string
	HealthPath string
	// MaximumConnections is what one runner takes from all callers together.
	MaximumConnections int
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Tenant is a team that shares the fleet.
type Tenant struct {
	Name ident.Tenant
	// Keys are the hashes of its keys. No other tenant has one of them.
	Keys []keyhash.Digest
	// Priority is the rank of its requests; zero is the most urgent.
	Priority int
	// Rate bounds its requests a second over all nodes, beside a Burst above that; zero means no bound.
	Rate, Burst float64
}

// CatalogForm numbers what this build reads of a configuration. A node passes on only what it read itself, so that one of an older
// build passes on less.
const CatalogForm = 1

// Catalog is one whole configuration.
type Catalog struct {
	// Version rises with each change, by uneven steps.
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Keyed says that requests carry the key of a tenant.
	Keyed   bool     `json:",omitempty"`
	Tenants []Tenant `json:",omitempty"`
	// Form is the CatalogForm of the build that read the configuration; builds before the first number say none.
	Form int `json:",omitempty"`
}

// Item is one request of a batch job.
type Item struct {
	ID      ident.Request     `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	// Tokens are the prompt and the most that may be made, summed.
	Tokens int    `json:"tokens"`
	Body   []byte `json:"-"`
}

// ResultState says how an item ended.
type ResultState string

const (
	// Completed items have their whole output.
	Completed ResultState = "completed"
	// DeadLetter items were given up.
	DeadLetter ResultState = "dead_letter"
)

// Result is the final state of one item, at a position of its job that never changes.
type Result struct {
	ID    ident.Request `json:"id"`
	State ResultState   `json:"state"`
	// Text is the data of all events in order, parted by line feeds.
	Text string `json:"text"`
}

// Held is what the worker that runs a job knows of it.
type Held struct {
	// Tenant is whose job it is, if anybody's.
	Tenant ident.Tenant
	// Total is the number of its items; Results are those from the position asked for on.
	Total   int
	Results []Result
}
