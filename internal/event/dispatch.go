package event

import "github.com/rs/zerolog"

// Events of routing, dispatch and admission: 2100 to 2199.
var (
	LedgerRecordFailed = register(2100, "ledger_record_failed", zerolog.ErrorLevel, "The outcome of a non-repeatable request could not be recorded; a resend will get outcome_unknown.", "check the tenant's home shard")
	RunnerLeaving      = register(2101, "runner_leaving", zerolog.InfoLevel, "A runner takes no new work; every dispatcher is notified.", "none")
	RunnerEjected      = register(2102, "runner_ejected", zerolog.WarnLevel, "A runner failed several times in a row and is not used until a probe succeeds.", "check the runner and the network to it")
	RunnerRecovered    = register(2103, "runner_recovered", zerolog.InfoLevel, "A probe of an ejected runner succeeded; its share of work increases gradually.", "none")
	PeerHintFailed     = register(2104, "peer_hint_failed", zerolog.DebugLevel, "A peer could not be notified of online work; its counts for this node expire by themselves.", "none unless it persists: check the link to the peer")
)
