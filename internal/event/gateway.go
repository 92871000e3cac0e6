package event

import "github.com/rs/zerolog"

// Events of the caller API: 2000 to 2099.
var (
	CallerRequestFailed = register(2000, "caller_request_failed", zerolog.WarnLevel, "A request ended with an internal error or an interrupted stream.", "read the code and error fields to find the failing engine or shard")
	CallerPanic         = register(2001, "caller_request_panicked", zerolog.ErrorLevel, "The handler of one request panicked; other requests are not affected.", "report the stack field as a bug")
	CallerSlow          = register(2002, "caller_too_slow", zerolog.InfoLevel, "A caller did not read its answer in time; the request was aborted.", "none; raise limits.write_timeout if callers are on slow links")
	CallerGivenUp       = register(2003, "caller_request_given_up", zerolog.WarnLevel, "A request exceeded its deadline and the dispatcher did not end it; the caller got its final answer.", "check for a stuck dispatcher; report it as a bug if it repeats")
	CallerDraining      = register(2004, "caller_api_draining", zerolog.InfoLevel, "The caller API refuses new work and finishes what is in progress.", "none")
	CallerDrained       = register(2005, "caller_api_drained", zerolog.InfoLevel, "No caller request is in progress any more.", "none")
	CallerDrainCut      = register(2006, "caller_api_drain_cut", zerolog.WarnLevel, "The drain timed out with requests in progress; they were ended with an error.", "raise limits.drain_timeout if answers take longer")
)
