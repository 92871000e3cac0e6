// Package work defines the types and interfaces shared by the dialects and the core: opaque requests, attempts and replies,
// runners and their load, the registry, the configuration (routes, services, limits and tenants), and batch items with their
// results. It does no I/O and is independent of the wire formats.
package work

import (
	"net/http"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/keyhash"
)

// Part is one piece of a prompt. Requests with the same part and the same parts before it can share a runner's prompt cache.
type Part struct {
	// ID identifies the content of the part.
	ID string
	// Tokens is the length of the part in tokens.
	Tokens int
}

// Request is one client attempt, or one run of a batch item. The core forwards method, path, headers and body
// unchanged.
type Request struct {
	// ID identifies the attempt; the runner returns it in its answer.
	ID      ident.Request
	Method  string
	Path    string
	Host    string
	Headers http.Header
	Body    []byte
	// Prefix is the prompt in order; the last part is specific to the request.
	Prefix []Part
	// PromptTokens and MaximumTokens are the client's counts; zero if it gave none.
	PromptTokens, MaximumTokens int
	// Tenant is the tenant that sent the request; empty if the configuration has no tenants.
	Tenant ident.Tenant
	// Rank is the priority of the tenant; zero is the most urgent.
	Rank int
	// Connection identifies the caller's connection; empty if there is none.
	Connection string
	// Arrived is when the node received the request.
	Arrived time.Time
	// Deadline is when the client stops waiting; zero if it is not known.
	Deadline time.Time
	// ResumeAfter is the id of the last event that the caller already has; zero requests the whole answer.
	ResumeAfter int64
	// Resumes is the id of the client attempt that brought the first event of the stream that this one resumes, also if there were
	// further attempts in between; empty if it resumes none, or if the client does not say which.
	Resumes ident.Request
}

// Head is the beginning of a runner's answer.
type Head struct {
	Status  int
	Headers http.Header
	// Load is the load that the runner reported, or nil.
	Load *Load
}

// Pace is the current duration of work at a runner, as a multiple of the usual one: 1 is normal, 2 takes twice as long. Zero
// means unknown.
type Pace float64

// Known reports whether the pace is known.
func (p Pace) Known() bool { return p > 0 }

// Load is a runner's report of its work.
type Load struct {
	Running, Waiting, Slots int
	// Memory is the number of tokens of prompts and output that fit in the runner's memory; zero if not reported.
	Memory int
	// Pace is reported by runners that share their machine with others; zero if not reported.
	Pace Pace
}

// State is the state of a runner in the registry.
type State uint8

const (
	// Ready runners accept work.
	Ready State = iota
	// Draining runners finish the work that they have.
	Draining
	// Unreadable entries could not be decoded. The incarnation that the entry listed before gets no more work.
	Unreadable
)

// Version is a version of the software of runners. Versions have no order; the empty one is unknown.
type Version string

// Runner is one incarnation of a model engine, as the registry lists it.
type Runner struct {
	// ID is the incarnation; each restart begins a new one, even under the same name. The ID of an unreadable entry is the name
	// alone.
	ID      ident.Incarnation
	Service string
	Address string
	Zone    ident.Zone
	Slots   int
	State   State
	// WarmUp is how long the runner stays slow, counted from the read of the registry.
	WarmUp time.Duration
	// Version is the version of the runner's software, not of its weights; empty means unknown. Nodes of earlier builds pass lists on
	// without it.
	Version Version `json:",omitempty"`
	// Registered is the registry's revision at which the runner's entry was created. An entry that expired and was created
	// again has another one.
	Registered int64
}

// Kind is how requests of a route may run and how they are answered.
type Kind uint8

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests are answered with a stream of events.
	Streaming
	// Batch routes accept jobs of many items.
	Batch
)

// WeightedService is a service and its weight in a route's split.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route maps requests to services and sets how they are served.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Split lists the services that serve the route; one entry if the traffic is not split.
	Split []WeightedService
	// Timeout is the maximum duration of a client attempt; zero means no limit.
	Timeout time.Duration
	// Objective is the longest time to the first event (or the answer) that earns full credit.
	Objective time.Duration
	// Pause is the longest time between two events of a stream that earns full credit; zero means no limit.
	Pause time.Duration
	// CompletionObjective is when all results of a batch job are due, counted from its submission.
	CompletionObjective time.Duration
	// Retention is the time after which items of a batch job may be given up, counted from its submission.
	Retention time.Duration
	// Priority is the rank; zero is the most urgent.
	Priority int
	// MaximumAttempts limits the runners that one client attempt may run on, and the failed runs of a batch item.
	MaximumAttempts int
	// Resumable means that another runner can resume a stream after the last event.
	Resumable bool
	// MaximumQueuedTokens limits the waiting tokens of a batch route over all nodes, for each tenant if there are tenants; zero
	// means no limit.
	MaximumQueuedTokens int
	// Public routes accept requests without a key.
	Public bool `json:",omitempty"`
}

// Repeatable reports whether a request that may already have run on one runner may run on another.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Batch || (r.Kind == Streaming && r.Resumable)
}

// Serves reports whether the service is in the route's split.
func (r *Route) Serves(service string) bool {
	for _, part := range r.Split {
		if part.Service == service {
			return true
		}
	}
	return false
}

// Services returns the names of the services in the route's split, each once.
func (r *Route) Services() []string {
	var names []string
	for _, part := range r.Split {
		if !slices.Contains(names, part.Service) {
			names = append(names, part.Service)
		}
	}
	return names
}

// ServiceAt returns the service at a position of the route's split, from 0 up to 1, where each has a share by its weight; the last one if no
// part has a weight.
func (r *Route) ServiceAt(position float64) string {
	total := 0.0
	for _, part := range r.Split {
		total += part.Weight
	}
	left := position * total
	for _, part := range r.Split {
		left -= part.Weight
		if left < 0 {
			return part.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// Service is a set of runners that do the same work.
type Service struct {
	Name       string
	HealthPath string
	// MaximumConnections is the maximum number of connections that one runner accepts from all callers together.
	MaximumConnections int
}

// Limits are the size and time limits for client requests.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Tenant is a team that shares the fleet.
type Tenant struct {
	Name ident.Tenant
	// Keys are the hashes of the tenant's keys. A key belongs to one tenant only.
	Keys []keyhash.Digest
	// Priority is the rank of the tenant's requests; zero is the most urgent.
	Priority int
	// Rate limits the tenant's requests per second over all nodes, and Burst is allowed in addition; zero means no limit.
	Rate, Burst float64
}

// CatalogForm is the version of the configuration format that this build reads. A node relays only the fields that it decodes, so
// a node of an older build relays fewer.
const CatalogForm = 1

// Catalog is one complete configuration.
type Catalog struct {
	// Version increases with each change, not always by one.
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Keyed means that requests must have the key of a tenant.
	Keyed   bool     `json:",omitempty"`
	Tenants []Tenant `json:",omitempty"`
	// Form is the CatalogForm of the build that read the configuration; zero for builds older than CatalogForm.
	Form int `json:",omitempty"`
}

// Item is one request of a batch job.
type Item struct {
	ID      ident.Request     `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	// Tokens is the sum of the prompt's tokens and the maximum output tokens.
	Tokens int    `json:"tokens"`
	Body   []byte `json:"-"`
}

// ResultState is the outcome of an item.
type ResultState string

const (
	// Completed items have their complete output.
	Completed ResultState = "completed"
	// DeadLetter items were given up.
	DeadLetter ResultState = "dead_letter"
)

// Result is the final state of one item, at a position of its job that never changes.
type Result struct {
	ID    ident.Request `json:"id"`
	State ResultState   `json:"state"`
	// Text is the data of all events in order, separated by line feeds.
	Text string `json:"text"`
}

// Held is the state of a job at the worker that runs it.
type Held struct {
	// Tenant is the tenant that submitted the job, if any.
	Tenant ident.Tenant
	// Total is the number of items of the job; Results are the results from the requested position on.
	Total   int
	Results []Result
}
