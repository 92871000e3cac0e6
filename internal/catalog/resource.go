package catalog

import "encoding/json"

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
