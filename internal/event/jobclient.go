package event

import "github.com/rs/zerolog"

// Events of the job client: 3050 to 3099.
var (
	JobCallRetried = register(3050, "job_call_retried", zerolog.DebugLevel, "A call to a job shard's leader was retried.", "none")
	JobCallFailed  = register(3051, "job_call_failed", zerolog.WarnLevel, "A call to a job shard failed after its retries.", "check the shard's replicas and the links to its leader")
)
