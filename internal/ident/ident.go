// Package ident names the identifiers that travel between packages, so that one kind is never passed for another.
package ident

// Node identifies a mallowlatch process's place in the fleet. It survives restarts; the incarnation does not.
type Node string

// Zone identifies a zone: a set of machines that fail and are cut off together.
type Zone string

// Region identifies a group of zones.
type Region string

// Runner identifies one engine (a back end).
type Runner string

// Tenant identifies a team that shares the fleet.
type Tenant string

// Shard numbers a job shard, from zero.
type Shard uint32

// Request identifies one caller request across all its attempts.
type Request string

// Job identifies a batch job.
type Job string

// File identifies an uploaded or generated file.
type File string
