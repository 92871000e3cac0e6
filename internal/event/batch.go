package event

import "github.com/rs/zerolog"

// Events of batch workers and credits: 2200 to 2299.
var (
	BatchCommitFailed = register(2200, "batch_commit_failed", zerolog.WarnLevel, "A group of results could not be committed; the commit is retried while the lease is valid.", "check the job's shard if it persists")
	BatchLeaseLost    = register(2201, "batch_lease_lost", zerolog.WarnLevel, "A lease expired or its job was cancelled; its runs were aborted.", "none unless it persists: check the link to the job's shard")
	BatchFenced       = register(2202, "batch_fenced", zerolog.InfoLevel, "An engine refused batch work because another node owns the runner.", "none")
)
