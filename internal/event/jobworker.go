package event

import "github.com/rs/zerolog"

// Events of batch jobs kept in the platform's store: 3600 to 3699.
var (
	JobTaken         = register(3600, "job_taken", zerolog.InfoLevel, "A batch job is durable; its client was told.", "none")
	JobRefused       = register(3601, "job_refused", zerolog.WarnLevel, "A batch job was not taken; the line says why and whether it may have been written.", "none unless it persists: check the store")
	JobClaimed       = register(3602, "job_claimed", zerolog.InfoLevel, "This node runs a batch job from now on, from its beginning or from what another node recorded.", "none")
	JobLeft          = register(3603, "job_left", zerolog.InfoLevel, "This node does not run a batch job any more.", "none")
	LeaseLapsed      = register(3604, "claim_lease_lapsed", zerolog.WarnLevel, "The lease that this node's claims hang on lapsed; they are taken anew.", "check the store and the path to it, or whether the process stood still")
	JobStoreFailed   = register(3605, "job_store_failed", zerolog.WarnLevel, "A call of the store for batch jobs failed and is tried again.", "check the store and the path to it")
	ItemRunBroken    = register(3606, "item_run_broken", zerolog.WarnLevel, "A run of a batch item ended without its whole output; another run goes on after the event named. The line has the print of the item, which tells nothing of its text.", "none unless one runner stands out")
	ItemGivenUp      = register(3607, "item_given_up", zerolog.WarnLevel, "A batch item was given up and is listed as a dead letter; the line says why.", "see the reason")
	JobReadFailed    = register(3608, "job_read_failed", zerolog.WarnLevel, "A job could not be read and the caller was told to come again.", "check the store and the path to it")
	JobKept          = register(3610, "job_kept", zerolog.InfoLevel, "A batch job is on this worker's disk until the store takes it.", "none")
	HandoffFailed    = register(3611, "handoff_failed", zerolog.WarnLevel, "The store did not take a job from this worker's disk; it is tried again.", "check the store and the path to it")
	HandoffEnded     = register(3612, "handoff_ended", zerolog.InfoLevel, "A job left this worker's disk; the line says why.", "none, unless the reason is that its time is over: then the store was away for minutes")
	WorkerRetired    = register(3609, "worker_retired", zerolog.InfoLevel, "A worker is emptied as the operator asked, and the operator was told.", "none")
	MirrorFailed     = register(3613, "mirror_failed", zerolog.WarnLevel, "The output so far of batch items could not be kept at a second worker, or asked for there.", "none unless it persists: check the worker named")
	JobNotAssigned   = register(3614, "job_not_assigned", zerolog.InfoLevel, "A batch job was claimed for a worker as it was accepted, and the worker did not answer or does not run it; the claim is given up.", "none unless it persists: check the worker named")
	BatchLoad        = register(3615, "batch_load", zerolog.InfoLevel, "How many batch items of this worker's jobs run and wait, how many of those that wait can be in time no more, and what becomes of the places of the runners that it owns: online work, batch items, room for more; the rest is kept free. held_bytes is what it holds of jobs in memory, of may_hold_bytes.", "where items wait and other workers have room, look at the lines of those; where room is zero everywhere, the places are used up")
	LendingFailed    = register(3616, "lending_failed", zerolog.WarnLevel, "A worker could not be asked for places of its runners, or told that lent ones are taken back; it is asked again later, and lent places end by themselves.", "none unless it persists: check the worker named")
	RegistrationGone = register(3618, "registration_gone", zerolog.WarnLevel, "This worker's entry is gone from the store though its lease lives; it is written anew.", "none unless it repeats: then look for who removes it")
	ReaderAvoided    = register(3619, "reader_avoided", zerolog.InfoLevel, "The worker that reads the store for this node did not answer, could not read, or told what may be old; the next in line is asked, or this node reads the store itself for a moment.", "none unless it persists: check the worker at the address")
	OrphansFound     = register(3646, "orphans_found", zerolog.InfoLevel, "This worker started together with other nodes, not for the first time: the line says how many runs of nodes that are gone its runners have, how many of these were read, and how long after its start that was.", "none; such runs end by themselves, orphans_gone says when")
	OrphansGone      = register(3647, "orphans_gone", zerolog.InfoLevel, "The runners of this worker have no runs of nodes that are gone any more; the line says how many reports it read meanwhile.", "none")
	TenantsOverShare = register(3643, "tenants_over_share", zerolog.InfoLevel, "The places of a service are scarce, and some tenants want more than their share. The line says how many nodes told of it, how many places their requests have and how many wait, how many places are shared out, and for each of the largest tenants over its share the places that it wants and the share.", "none unless it persists: the service has too few runners for its load, or a limit of a tenant is too high")
	ItemsTakeTurns   = register(3644, "items_take_turns", zerolog.InfoLevel, "Items of several tenants wait for places at this worker, which gives them out in turn. The line has the items that wait and those that run, by tenant, the largest by name.", "none unless a tenant asks")
	WorkerFull       = register(3650, "worker_memory_full", zerolog.WarnLevel, "This worker holds as many bytes of jobs as it may, or a tenant as many as one may: jobs that do not fit stay in the store for others, and beyond the whole budget items begin one at a time. The line has the jobs, the bytes held, and how many may be.", "none while it is short; for long, or at all workers at once: jobs are too large for the machines, or too few workers run them")
	WorkerHasRoom    = register(3651, "worker_memory_free", zerolog.InfoLevel, "Jobs find room at this worker again. The line says how often one found none, and for how long.", "none")
	RunnerSilent     = register(3617, "runner_silent", zerolog.WarnLevel, "A runner answers neither a node that asked nor the worker that owns it; all nodes pass it over until it answers.", "check the runner and the path to it")
)
