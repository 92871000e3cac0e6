package experiment

import "math/rand/v2"

// faultKind names a fault that is done to a fleet from outside.
type faultKind string

// The kinds of fault.
const (
	// faultKill ends a node's process at once and starts it again.
	faultKill faultKind = "kill_node"
	// faultPause stops a node from running for longer than any lease.
	faultPause faultKind = "pause_node"
	// faultWipe ends a node with a disk, deletes its data folder and starts it again.
	faultWipe faultKind = "wipe_disk"
	// faultWipeTwo does the same to two nodes at once.
	faultWipeTwo faultKind = "wipe_two_disks"
	// faultKillPaused kills one node while another is paused.
	faultKillPaused faultKind = "kill_while_paused"
	// faultKeyValueOutage makes the key-value service refuse every call.
	faultKeyValueOutage faultKind = "key_value_outage"
	// faultKeyValueOutageKill kills a node during an outage, so that its shards cannot change their sets.
	faultKeyValueOutageKill faultKind = "key_value_outage_and_kill"
	// faultLostAnswersKill kills a node while the key-value service loses half of its answers after the change.
	faultLostAnswersKill faultKind = "lost_answers_and_kill"
	// faultCutNode cuts the link to a node with a disk for longer than any lease: nothing reaches the node, and it still
	// reaches the others.
	faultCutNode faultKind = "cut_node"
	// faultCutZone does the same to every node of a zone, so that they do not reach each other either.
	faultCutZone faultKind = "cut_zone"
	// faultCutBorder cuts a zone from the others both ways, nodes and engines, for longer than any lease; faultCutAway cuts
	// its nodes from the key-value service too.
	faultCutBorder faultKind = "cut_zone_both_ways"
	faultCutAway   faultKind = "cut_zone_both_ways_and_key_value"
	// faultFreezeLink has a node's link pass nothing while its connections stay open.
	faultFreezeLink faultKind = "freeze_link"
	// faultEngineFreeze stops an engine's steps and answers.
	faultEngineFreeze faultKind = "freeze_engine"
	// faultEngineCut closes an engine's streams midway; it holds them for a resume.
	faultEngineCut faultKind = "cut_streams"
	// faultEngineDie loses an engine's streams midway.
	faultEngineDie faultKind = "lose_streams"
	// faultEngineDrop closes connections after the engine has accepted the call.
	faultEngineDrop faultKind = "drop_after_accept"
	// faultChunks duplicates and reorders an engine's chunks.
	faultChunks faultKind = "duplicate_and_reorder"
)

var faultKinds = []faultKind{
	faultKill, faultPause, faultWipe, faultWipeTwo, faultKillPaused, faultKeyValueOutage, faultKeyValueOutageKill,
	faultLostAnswersKill, faultCutNode, faultCutZone, faultCutBorder, faultCutAway, faultFreezeLink,
	faultEngineFreeze, faultEngineCut, faultEngineDie, faultEngineDrop, faultChunks,
}

// cancelKinds are the faults of the experiment cancel: workers die, are paused past their lease or cut off both ways, and
// leaders change.
var cancelKinds = []faultKind{faultKill, faultPause, faultKillPaused, faultCutNode, faultCutBorder, faultCutAway}

// resendKinds are the faults of the experiment resend: leaders change, disks are lost, answers too.
var resendKinds = []faultKind{faultKill, faultWipe, faultKillPaused, faultLostAnswersKill, faultCutBorder, faultCutAway}

// plannedFault is one fault of a schedule. First and Second choose the targets: each is a random number, taken modulo the
// number of targets of the kind.
type plannedFault struct {
	Kind          faultKind
	First, Second int
}

// planFaults draws a schedule of some kinds. Each round has every kind once, in random order, so that none is left to
// chance.
func planFaults(kinds []faultKind, seed uint64, count int) []plannedFault {
	random := rand.New(rand.NewPCG(seed, uint64(count)))
	planned := make([]plannedFault, 0, count)
	for len(planned) < count {
		for _, index := range random.Perm(len(kinds)) {
			planned = append(planned, plannedFault{Kind: kinds[index], First: random.IntN(1 << 16), Second: random.IntN(1 << 16)})
		}
	}
	return planned[:count]
}

// two returns two different indexes below count, which must be at least two.
func (p plannedFault) two(count int) (int, int) {
	first := p.First % count
	second := (first + 1 + p.Second%(count-1)) % count
	return first, second
}
