package event

import "github.com/rs/zerolog"

// Events of the job store: 3000 to 3049.
var (
	JobShardLeading = register(3000, "job_shard_leading", zerolog.InfoLevel, "This node became the leader of a job shard and loaded its unfinished jobs.", "none")
	JobAccepted     = register(3001, "job_accepted", zerolog.InfoLevel, "A batch job was stored durably and accepted.", "none")
	JobEnded        = register(3002, "job_ended", zerolog.InfoLevel, "A batch job ended; every item has a result.", "none")
	JobTickFailed   = register(3003, "job_tick_failed", zerolog.WarnLevel, "Periodic work of a job shard failed; it is retried.", "if it persists, check the shard's replicas: the shard cannot commit")
	JobItemsLost    = register(3004, "job_items_lost", zerolog.WarnLevel, "Leases of non-repeatable items expired; the items end with outcome_unknown.", "check for workers that crashed or were paused")
	JobLeasesLapsed = register(3005, "job_leases_lapsed", zerolog.InfoLevel, "Leases expired; their repeatable items will be leased again.", "none")
	JobRequestLost  = register(3007, "job_request_lost", zerolog.WarnLevel, "A non-repeatable request was started by a process that no longer exists; its outcome is unknown and it does not run again.", "none; the caller's resend gets outcome_unknown")
	JobSwept        = register(3006, "job_swept", zerolog.DebugLevel, "Due deadlines and retention periods have been committed.", "none")
)
