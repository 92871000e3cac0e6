// Package catalog holds the configuration resources operators manage and the immutable snapshot of them that every
// node serves from. It does no I/O.
package catalog

import (
	"mallowlatch.example/mallowlatch/internal/ident"
)

// Kind names a kind of resource, as it stands in the admin API's paths.
type Kind string

// The kinds of resource.
const (
	KindTenant  Kind = "tenants"
	KindKey     Kind = "keys"
	KindService Kind = "services"
	KindModel   Kind = "models"
	KindAdapter Kind = "adapters"
	KindPolicy  Kind = "policies"
	KindZone    Kind = "zones"
	KindDrain   Kind = "drains"
)

// Role grants the use of an API key.
type Role string

// The roles of an API key.
const (
	// RoleCaller may use the caller API of its tenant.
	RoleCaller Role = "caller"
	// RoleViewer may read the admin API.
	RoleViewer Role = "viewer"
	// RoleOperator may change configuration.
	RoleOperator Role = "operator"
	// RoleAdmin may also manage tenants and keys.
	RoleAdmin Role = "admin"
)

// Tenant is a team that shares the fleet. A zero limit means no limit.
type Tenant struct {
	Name ident.Tenant `json:"name"`
	// Weight is the tenant's share of contended capacity relative to others.
	Weight float64 `json:"weight"`
	// RequestsPerSecond and Burst limit online requests over the whole fleet.
	RequestsPerSecond float64 `json:"requests_per_second"`
	Burst             float64 `json:"burst"`
	// TokensPerSecond limits prompt and answer tokens of online requests over the whole fleet.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// MaxInFlight limits concurrent online requests over the whole fleet.
	MaxInFlight int `json:"max_in_flight"`
	// MaxJobs limits unfinished batch jobs.
	MaxJobs int `json:"max_jobs"`
	// MaxJobBytes limits the bytes of batch files and results the tenant keeps; zero sets no limit.
	MaxJobBytes int64 `json:"max_job_bytes,omitempty"`
	// JobRetentionHours is how long batch files and finished jobs are kept; zero means jobs.retention of the disk nodes.
	JobRetentionHours float64 `json:"job_retention_hours,omitempty"`
}

// Key is an API key. Only the digest of the secret is kept.
type Key struct {
	ID     string       `json:"id"`
	Tenant ident.Tenant `json:"tenant"`
	Role   Role         `json:"role"`
	// Digest is the hexadecimal SHA-256 of the secret, which has 256 random bits: a slow hash would add nothing.
	Digest string `json:"digest"`
}

// Service is what callers name as "model": a model or adapter under a policy.
type Service struct {
	Name    string `json:"name"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Policy  string `json:"policy,omitempty"`
	// Tenants that may use the service; empty means all.
	Tenants []ident.Tenant `json:"tenants,omitempty"`
	// Zones that may serve it; empty means all.
	Zones []ident.Zone `json:"zones,omitempty"`
	// MaxTokens is the default bound of an answer, in tokens.
	MaxTokens int `json:"max_tokens"`
	// RequestsPerSecond limits online requests to the service over the whole fleet; zero means no limit.
	RequestsPerSecond float64 `json:"requests_per_second"`
	// Repeatable is the default for requests that do not say; false means they run at most once.
	Repeatable bool `json:"repeatable"`
	// MinCopies is the least number of runners that keep the model loaded.
	MinCopies int `json:"min_copies"`
}

// Model is a set of weights in versions.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	// MemoryBytes is what a loaded copy needs.
	MemoryBytes int64 `json:"memory_bytes"`
}

// Adapter is a small set of weights on top of a model.
type Adapter struct {
	Name    string `json:"name"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Policy is a set of short checked programs. An empty program means the documented default.
type Policy struct {
	Name string `json:"name"`
	// Priority orders batch work: a number, larger goes first.
	Priority string `json:"priority,omitempty"`
	// MayWait says whether an online request may be queued rather than refused: a boolean.
	MayWait string `json:"may_wait,omitempty"`
	// WhenCutOff says what a site does while cut off from the others: "serve", "refuse_batch" or "refuse_all".
	WhenCutOff string `json:"when_cut_off,omitempty"`
}

// Zone is a site.
type Zone struct {
	Name   ident.Zone   `json:"name"`
	Region ident.Region `json:"region"`
	// Distance is the one-way delay in milliseconds to other zones, by name.
	Distance map[ident.Zone]float64 `json:"distance,omitempty"`
}

// Drain marks a runner or a node as leaving by an operator's order.
type Drain struct {
	// Name is "runner/ID" or "node/ID".
	Name   string `json:"name"`
	Reason string `json:"reason,omitempty"`
}

// Snapshot is the whole configuration at one revision. It is immutable once published.
type Snapshot struct {
	// Revision only ever grows on a node.
	Revision int64
	Tenants  map[ident.Tenant]Tenant
	// Keys is indexed by Digest.
	Keys     map[string]Key
	Services map[string]Service
	Models   map[string]Model
	Adapters map[string]Adapter
	Policies map[string]Policy
	Zones    map[ident.Zone]Zone
	Drains   map[string]Drain
	// Revisions tells the revision that last changed each resource.
	Revisions map[Reference]int64
}

// Empty returns a snapshot without resources at revision zero.
func Empty() *Snapshot {
	return &Snapshot{
		Tenants:  map[ident.Tenant]Tenant{},
		Keys:     map[string]Key{},
		Services: map[string]Service{},
		Models:   map[string]Model{},
		Adapters: map[string]Adapter{},
		Policies: map[string]Policy{},
		Zones:    map[ident.Zone]Zone{},
		Drains:   map[string]Drain{},

		Revisions: map[Reference]int64{},
	}
}

// Source publishes the newest snapshot a node has.
type Source interface {
	// Current never returns nil.
	Current() *Snapshot
	// Changed returns a channel that is closed when a snapshot newer than the given revision is published.
	Changed(afterRevision int64) <-chan struct{}
}
