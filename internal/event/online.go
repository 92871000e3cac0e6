package event

import "github.com/rs/zerolog"

// Events of serving requests of a platform's dialect: 3500 to 3599.
var (
	AttemptFailed     = register(3500, "attempt_failed", zerolog.WarnLevel, "An attempt at a runner gave no whole answer; the line says which run it was, after which event it ended, and the print of the request, which is the same when it comes again.", "none unless one runner stands out: check that runner")
	RequestFailed     = register(3501, "request_failed", zerolog.WarnLevel, "A request got an error of the system's own; the line says whether it may have run.", "follow the request's id through attempt_failed lines")
	RequestBroken     = register(3502, "request_broken", zerolog.WarnLevel, "An answer was begun and broken off, so that it does not look complete.", "follow the request's id through attempt_failed lines")
	CatalogAdopted    = register(3503, "catalog_adopted", zerolog.InfoLevel, "A newer configuration is in force on this node.", "none")
	ValueRefused      = register(3518, "value_refused", zerolog.WarnLevel, "A value of the store cannot be read and changes nothing: a runner's entry, the configuration or an order. The line says why, and how many are refused now.", "find out who wrote the key; a refused configuration leaves the last good one in force")
	ValueReadable     = register(3519, "value_readable", zerolog.InfoLevel, "A value of the store that was refused can be read again or is gone.", "none")
	RegistryLost      = register(3505, "registry_lost", zerolog.WarnLevel, "The list of runners could not be read; the last known list stays in use.", "check the store and the path to it")
	RegistryBack      = register(3506, "registry_back", zerolog.InfoLevel, "The list of runners can be read again.", "none")
	RunnersChanged    = register(3507, "runners_changed", zerolog.InfoLevel, "Runners joined or left the registry; the line says how long one that left was still used although it was not listed.", "none")
	SiteStarting      = register(3508, "site_starting", zerolog.InfoLevel, "A process of a platform's machine starts.", "none")
	SiteStopping      = register(3509, "site_stopping", zerolog.InfoLevel, "A process was asked to stop: it is no longer ready and ends what it has.", "none")
	SiteStopped       = register(3510, "site_stopped", zerolog.InfoLevel, "A process ended in order.", "none")
	SettingsAgain     = register(3511, "settings_read_again", zerolog.InfoLevel, "The settings file was read again after a signal.", "none")
	SettingsBad       = register(3512, "settings_unreadable", zerolog.ErrorLevel, "The settings file could not be read again; the old settings stay in use.", "correct the settings file")
	FleetRelayed      = register(3513, "fleet_relayed", zerolog.InfoLevel, "The runners and the configuration come from a worker; this node reads the store only when that is too old.", "none")
	FleetReadAlone    = register(3514, "fleet_read_alone", zerolog.InfoLevel, "No worker passes the runners and the configuration on; this node reads the store itself.", "none unless it persists: check the workers of the zone")
	RunnersKept       = register(3516, "runners_kept", zerolog.InfoLevel, "The list lacks runners that were known; they stay in use for a moment, because the registry may have been away. The line says how long nothing was read before.", "none unless it repeats while the store is up")
	PlacesShort       = register(3517, "places_short", zerolog.InfoLevel, "Requests found the places of all runners taken by online work. The line says how many waited and got one, how many were told that none comes free in time, for how many of these one did, and by which factor waits were longer than expected.", "none unless it persists: the service has too few runners for its load")
	RunnerEnded       = register(3520, "runner_ended", zerolog.WarnLevel, "A runner ended while it ran requests: its answers broke off, and nobody or another incarnation answers at its address. The line says how many requests of this node it had.", "none unless runners go on ending: look for request_refused_for_ends")
	RunnerEndUnknown  = register(3521, "runner_end_unknown", zerolog.InfoLevel, "A runner's answers broke off and it could not be found out whether it ended; it counts against no request.", "none unless it persists: check the network to the runners")
	RequestsRefused   = register(3522, "request_refused_for_ends", zerolog.WarnLevel, "Three runners ended under a request, here or at other nodes: whatever has its print is refused from now on. The line says how many ended.", "find the callers by the print in the lines of attempt_failed, and the fault in the runner's software; it is given another chance an hour after the last end")
	RequestTurnedAway = register(3523, "request_turned_away", zerolog.InfoLevel, "A request was refused because runners ended under it, now or when it came before.", "see request_refused_for_ends")
	EndsNotKept       = register(3524, "ends_not_kept", zerolog.WarnLevel, "The disk did not take, or could not give back, which requests end their runners; they are known in memory and to the other nodes.", "check the disk")
	MachineSlept      = register(3525, "machine_slept", zerolog.WarnLevel, "The machine was suspended: its steady clock stood still, and what this node goes by is older by that. The line says for how long, and for how long since the start.", "none unless it repeats: find out who suspends the machine")
	KeyRefused        = register(3526, "key_refused", zerolog.InfoLevel, "A request was refused for its key: it carried none, or one that the newest configuration does not have, or the newest configuration could not be read to find out. The line has the beginning of the key's hash, zeros where there was no key.", "none unless a tenant asks: compare the hash with those of its keys; a line that says the configuration could not be read points at the store")
	KeysChanged       = register(3527, "keys_changed", zerolog.InfoLevel, "A newer configuration changed which keys are known: the line says how many came and went, and has the beginning of the hashes of the first of them.", "none")
	StoreCalls        = register(3515, "store_calls", zerolog.InfoLevel, "The calls this node made to the store since the last such line, by kind.", "none unless the number of calls is dear: the kinds tell which part makes them")
)
