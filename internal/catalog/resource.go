package catalog

import (
	"encoding/json"
	"time"
)

// Reference names one resource.
type Reference struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns "kind/name", the form used in paths and messages.
func (r Reference) String() string { return string(r.Kind) + "/" + r.Name }

// Resource is one resource in its stored form.
type Resource struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Revision is the configuration revision that last changed the resource.
	Revision int64 `json:"revision,omitempty"`
	// Spec is the JSON object of the kind's type, for example Tenant.
	Spec json.RawMessage `json:"spec"`
}

// Reference returns the name of the resource.
func (r Resource) Reference() Reference { return Reference{Kind: r.Kind, Name: r.Name} }

// Edit is the change of one resource, with its state before and after. A nil state means that it does not exist.
type Edit struct {
	Kind   Kind            `json:"kind"`
	Name   string          `json:"name"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// Reference returns the name of the edited resource.
func (e Edit) Reference() Reference { return Reference{Kind: e.Kind, Name: e.Name} }

// Change is a set of edits that is accepted as a whole or not at all.
type Change struct {
	// ID is unique to the change. A writer whose answer was lost finds out by it whether the change was accepted.
	ID string `json:"id"`
	// Base is the configuration revision the change was checked against. It is accepted only if the configuration is
	// still at Base: otherwise references that were checked may dangle.
	Base int64 `json:"base"`
	// Author is the ID of the key that asked for the change.
	Author string `json:"author"`
	// Reason is free text, for example "rollback to revision 12".
	Reason string    `json:"reason,omitempty"`
	Time   time.Time `json:"time"`
	Edits  []Edit    `json:"edits"`
}

// Accepted is a change of the history.
type Accepted struct {
	Change
	// Revision is the configuration revision the change created.
	Revision int64 `json:"revision"`
}
