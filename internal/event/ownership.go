package event

import "github.com/rs/zerolog"

// Events of ownership and placement: 5100 to 5199.
var (
	RunnerClaimed      = register(5100, "runner_claimed", zerolog.InfoLevel, "This node owns a runner's batch capacity.", "none")
	RunnerLost         = register(5101, "runner_lost", zerolog.InfoLevel, "Another node has claimed the runner, or its engine cannot be reached; this node sends it no more batch work.", "none; if it repeats, check for a network partition between the zones")
	RunnerClaimFailed  = register(5102, "runner_claim_failed", zerolog.WarnLevel, "The engine could not be reached or refused the claim; the claim is retried.", "check the engine if it persists")
	PlacementOrdered   = register(5110, "placement_ordered", zerolog.InfoLevel, "An engine was ordered to load or unload weights.", "none")
	PlacementRefused   = register(5111, "placement_refused", zerolog.WarnLevel, "An engine refused an order, usually because another node owns it now.", "none; if it persists, check the engine")
	PlacementShort     = register(5112, "placement_short", zerolog.WarnLevel, "A model cannot get its minimum number of copies: no runner of its zones has enough memory.", "add runners, unload other models, or lower min_copies")
	PlacementThrottled = register(5113, "placement_throttled", zerolog.InfoLevel, "Loads are delayed by the rate limit of the weight store.", "none")
)
