// Package jobstore keeps files, batch jobs, their items and results, and the ledger of non-repeatable requests of the
// tenants of one shard. The state machine (NewMachine) is deterministic and applies committed commands; the Server runs
// beside the shard's leader, proposes commands, and holds the leases, which live in its memory only.
//
// Invariants, and where they are kept:
//   - the first committed result of an item is its result for good: recordResults (results.go);
//   - a job ends only when every item has a result: recordResults and endJob;
//   - one submission key names one job: applyAccept (machine_jobs.go);
//   - a non-repeatable item is started under at most one lease unless that lease released it: applyStart (machine_items.go);
//   - a ledger key has one attempt at a time, and a new one only after the last was abandoned: applyBegin (machine_ledger.go).
package jobstore

import (
	"mallowlatch.example/mallowlatch/internal/failure"
)

// ErrCorrupt means that a command or a stored record cannot be decoded. It stops the replica.
const ErrCorrupt = failure.Kind("jobstore: corrupt record")

// MaxCommandBytes bounds the payload of one command, in bytes.
const MaxCommandBytes = 1 << 20
