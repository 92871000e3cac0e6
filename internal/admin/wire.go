package admin

import (
	"encoding/json"
	"time"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/confsync"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// ResourceList answers a listing.
type ResourceList struct {
	// Revision is the configuration revision the list was read at, on the node that answered.
	Revision int64              `json:"revision"`
	Items    []catalog.Resource `json:"items"`
}

// Action is what a change does to one resource.
type Action string

// The actions.
const (
	ActionCreate    Action = "create"
	ActionUpdate    Action = "update"
	ActionDelete    Action = "delete"
	ActionUnchanged Action = "unchanged"
)

// EditResult is the part of a change that touches one resource.
type EditResult struct {
	Kind   catalog.Kind `json:"kind"`
	Name   string       `json:"name"`
	Action Action       `json:"action"`
}

// ChangeResult answers a change.
type ChangeResult struct {
	// Accepted is false for a dry run, and if there was nothing to change.
	Accepted bool `json:"accepted"`
	DryRun   bool `json:"dry_run"`
	// ChangeID identifies the change in the history and in the audit events.
	ChangeID string `json:"change_id,omitempty"`
	// Revision is the one the change created, or the one it was checked against if it was not accepted.
	Revision int64        `json:"revision"`
	Edits    []EditResult `json:"edits"`
	// InForce is given if the request waited: every node of every reachable zone has the revision.
	InForce *bool                 `json:"in_force,omitempty"`
	Zones   []confsync.ZoneStatus `json:"zones,omitempty"`
}

// HistoryEdit is one resource of a change in the history.
type HistoryEdit struct {
	EditResult
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// HistoryEntry is one accepted change.
type HistoryEntry struct {
	Revision int64         `json:"revision"`
	ChangeID string        `json:"change_id"`
	Author   string        `json:"author"`
	Comment  string        `json:"comment,omitempty"`
	Time     time.Time     `json:"time"`
	Edits    []HistoryEdit `json:"edits"`
}

// HistoryList answers a request for the history, newest first.
type HistoryList struct {
	Items []HistoryEntry `json:"items"`
}

// ConfigurationStatus tells where a revision is in force.
type ConfigurationStatus struct {
	// Current is the revision in force on the node that answered.
	Current int64 `json:"current"`
	// Revision is the one that was asked about.
	Revision int64                 `json:"revision"`
	InForce  bool                  `json:"in_force"`
	Zones    []confsync.ZoneStatus `json:"zones"`
}

// NodeStatus is the state of a node as the answering node knows it.
type NodeStatus struct {
	Name   ident.Node   `json:"name"`
	Zone   ident.Zone   `json:"zone"`
	Region ident.Region `json:"region,omitempty"`
	// State is a state of membership, for example "alive" or "suspect".
	State    string `json:"state"`
	Address  string `json:"address,omitempty"`
	Storage  bool   `json:"storage"`
	Draining bool   `json:"draining"`
	Version  string `json:"version,omitempty"`
	// Shards is the number of job shards with a copy on the node's disk; SoleShards of them have no copy on another node
	// that stays, and are away while the node is stopped.
	Shards     int `json:"shards"`
	SoleShards int `json:"sole_shards"`
	// StorageBytes is the disk space of the job shards, LeftoverBytes that of copies no shard needs any more, which are
	// removed in time. Only the answering node knows its own.
	StorageBytes  uint64 `json:"storage_bytes,omitempty"`
	LeftoverBytes uint64 `json:"leftover_bytes,omitempty"`
}

// NodeList answers a request for the state of nodes.
type NodeList struct {
	Items []NodeStatus `json:"items"`
}

// RunnerStatus is the state of a runner as the answering node knows it.
type RunnerStatus struct {
	Name ident.Runner `json:"name"`
	Zone ident.Zone   `json:"zone"`
	// State is for example "ready", "loading", "leaving" or "unreachable".
	State    string     `json:"state"`
	Owner    ident.Node `json:"owner,omitempty"`
	Model    string     `json:"model,omitempty"`
	Version  string     `json:"version,omitempty"`
	Adapters []string   `json:"adapters,omitempty"`
	Draining bool       `json:"draining"`
	// Running and Waiting count requests by the runner's last report.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// RunnerList answers a request for the state of runners.
type RunnerList struct {
	Items []RunnerStatus `json:"items"`
}

// ErrorBody is the answer to a request that failed.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what failed. docs/ERRORS.md lists the codes.
type ErrorDetail struct {
	Code    failure.Code `json:"code"`
	Message string       `json:"message"`
	// Param names the field or parameter at fault.
	Param string `json:"param,omitempty"`
	// Line is the one-based line of the manifest at fault.
	Line int `json:"line,omitempty"`
	// NotRun is "true" if the change was definitely not accepted, otherwise "unknown".
	NotRun string `json:"not_run"`
	// Problems lists everything wrong with the configuration that was asked for.
	Problems []catalog.Problem `json:"problems,omitempty"`
}
