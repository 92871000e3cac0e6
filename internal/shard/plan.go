package shard

import (
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// World is what the host knows beyond its own replica when it plans a replica set.
type World struct {
	// Desired are the members the shard should have, the best place first: the present incarnations of live nodes.
	Desired []Member
	// Draining are nodes about to stop as planned.
	Draining []ident.Node
	// Suspected are nodes that the membership believes dead.
	Suspected []ident.Node
	// Disks are the present incarnations of live nodes, as far as they are known.
	Disks []Member
	// Places is the number of nodes that may hold a copy: those seen lately that are not about to stop, whether their
	// incarnation is known or not.
	Places int
	// Fleet is the number of nodes with a disk that were seen lately, those about to stop included.
	Fleet int
}

// PlanSettings are the times and sizes that planning goes by.
type PlanSettings struct {
	// SuspectAfter is the silence after which a member is given up.
	SuspectAfter time.Duration
	// SuspectedAfter is the shorter silence that is enough if the membership suspects the node too.
	SuspectedAfter time.Duration
	// AloneAfter is the silence after which a member goes on alone. It is longer than that of a pause or a cut of the
	// network: all that was acknowledged would rest on one disk for a false suspicion.
	AloneAfter time.Duration
	// RemoveAfter is how long a replica must have been out of its set, without a leader, before its data may be removed.
	RemoveAfter time.Duration
	// Copies is the wanted size of the set.
	Copies int
	// CaughtUp is how many entries a learner may lack when it becomes a member.
	CaughtUp uint64
}

// DefaultPlanSettings suit DefaultSettings.
func DefaultPlanSettings() PlanSettings {
	return PlanSettings{
		SuspectAfter: 5 * time.Second, SuspectedAfter: 2 * time.Second, AloneAfter: 30 * time.Second,
		RemoveAfter: time.Hour, Copies: 3, CaughtUp: 1000,
	}
}

// CheckSuccessor reports whether next may follow current when the proposer writes it: the proposer is a member of both
// that holds every committed entry, and no member is called seasoned that was not known to be.
func CheckSuccessor(current, next Configuration, proposer Member, activated bool) bool {
	seasoned := knownSeasoned(current, activated)
	if next.Epoch != current.Epoch+1 || !slices.Contains(seasoned, proposer) || !next.IsSeasoned(proposer) {
		return false
	}
	for _, member := range next.Seasoned {
		if !slices.Contains(seasoned, member) || !next.Has(member) {
			return false
		}
	}
	return next.Has(proposer)
}

// knownSeasoned returns the members that hold every committed entry: all of them once the epoch is activated, else the
// ones the epoch began with. Marking a member earlier would let a set that was never activated hand over to one that
// has none of the data.
func knownSeasoned(current Configuration, activated bool) []Member {
	if activated {
		return current.Members
	}
	return current.Seasoned
}

// PlanSet returns the replica set that should follow, if a change is due. status.Configuration must be the one stored.
// A step either drops members or adds some, never both: so whoever is dropped was replaced by a member that already
// holds everything, and any two disks may be lost at any point of a move.
func PlanSet(status Status, world World, settings PlanSettings) (Configuration, bool) {
	current := status.Configuration
	activated := status.Activated == current.Epoch
	if !slices.Contains(knownSeasoned(current, activated), status.Self) {
		return Configuration{}, false
	}
	members := planMembers(status, world, settings, activated)
	if len(members) == 0 {
		return Configuration{}, false
	}
	next := Configuration{Epoch: current.Epoch + 1, Members: members}
	for _, member := range members {
		if slices.Contains(knownSeasoned(current, activated), member) {
			next.Seasoned = append(next.Seasoned, member)
		}
	}
	next = next.normalise()
	return next, CheckSuccessor(current, next, status.Self, activated)
}

func planMembers(status Status, world World, settings PlanSettings, activated bool) []Member {
	if status.Role != Leader {
		return planSurvivors(status, world, settings)
	}
	if lost := lostMembers(status, world, settings); len(lost) > 0 {
		return without(status.Configuration.Members, lost)
	}
	if !activated {
		return nil
	}
	if drained := drainedMember(status, world, settings); drained != (Member{}) {
		return without(status.Configuration.Members, []Member{drained})
	}
	if added := caughtUpLearners(status, world, settings); len(added) > 0 {
		return append(slices.Clone(status.Configuration.Members), added...)
	}
	return planSurplus(status, world, settings)
}

// lostMembers returns members that have been silent for too long. Losing several takes longer to believe than losing
// one, so that the side of a partition with fewer members is the slower one.
func lostMembers(status Status, world World, settings PlanSettings) []Member {
	lost, unit := silentMembers(status, world, settings)
	alone := alonePatience(status, world, settings, lost)
	patience := max(unit*time.Duration(len(lost)), alone)
	if len(membersSilentFor(status, patience)) < len(lost) || heardWithin(status, alone, lost) || cutOff(status, settings, lost) {
		return nil
	}
	return lost
}

// cutOff says whether the members that are not lost are silent too, if not for as long yet: then it is this leader that hears nobody,
// and one of two members that fell silent at once is not dropped for having answered a heartbeat earlier.
func cutOff(status Status, settings PlanSettings, lost []Member) bool {
	rest := 0
	for _, other := range status.Others {
		if other.Learner || slices.Contains(lost, other.Member) {
			continue
		}
		if other.Silence < settings.SuspectedAfter {
			return false
		}
		rest++
	}
	return rest > 0
}

// alonePatience returns the longer silence that is needed before the loss of these members is believed, if this replica
// would be left alone and any of them may still have its disk; else zero.
func alonePatience(status Status, world World, settings PlanSettings, lost []Member) time.Duration {
	if len(status.Configuration.Members)-len(lost) > 1 {
		return 0
	}
	for _, member := range lost {
		if !diskGone(world, member) {
			return settings.AloneAfter
		}
	}
	return 0
}

// diskGone reports whether a member's node has come back with another disk: the proof that the former one is gone.
func diskGone(world World, member Member) bool {
	return slices.ContainsFunc(world.Disks, func(disk Member) bool {
		return disk.Node == member.Node && disk.Incarnation != member.Incarnation
	})
}

// planSurvivors is the plan of a member without a leader: to go on with the members that still answer. Members take
// turns by rank, and those that reach fewer wait longer.
func planSurvivors(status Status, world World, settings PlanSettings) []Member {
	lost, unit := silentMembers(status, world, settings)
	if len(lost) == 0 {
		return nil
	}
	members := status.Configuration.Members
	rank := slices.Index(members, status.Self)
	alone := alonePatience(status, world, settings, lost)
	patience := max(unit*time.Duration(1+len(lost)), alone) + unit/2*time.Duration(rank)
	if status.LeaderSilence < patience || len(membersSilentFor(status, alone)) < len(lost) || heardWithin(status, alone, lost) {
		return nil
	}
	return without(members, lost)
}

// heardWithin says whether any message of lost members came within the time after which a replica goes on alone; zero where it
// would not be alone. One that asks for votes and gets none lives: without it a cut short of that time, that began with a new set,
// left one copy. Where messages are lost one way only, the other side hears nothing and goes on.
func heardWithin(status Status, alone time.Duration, lost []Member) bool {
	return slices.ContainsFunc(status.Others, func(other MemberStatus) bool {
		return other.Unheard < alone && slices.Contains(lost, other.Member)
	})
}

// silentMembers returns the members that have been silent for a unit of patience, and the unit: the shorter one if the
// membership suspects all of them.
func silentMembers(status Status, world World, settings PlanSettings) ([]Member, time.Duration) {
	unit := settings.SuspectedAfter
	silent := membersSilentFor(status, unit)
	for _, member := range silent {
		if !slices.Contains(world.Suspected, member.Node) {
			unit = settings.SuspectAfter
			return membersSilentFor(status, unit), unit
		}
	}
	return silent, unit
}

func membersSilentFor(status Status, silence time.Duration) []Member {
	var silent []Member
	for _, other := range status.Others {
		if !other.Learner && other.Silence >= silence {
			silent = append(silent, other.Member)
		}
	}
	return silent
}

// drainedMember returns another member that is about to stop, once the set can do without it: the members that stay are
// as many as the fleet can hold, and leastRemaining are left whether they stay or not. Until then it is kept, and the set
// grows first.
func drainedMember(status Status, world World, settings PlanSettings) Member {
	members := status.Configuration.Members
	staying := stayingMembers(status, world, settings)
	if staying < max(1, min(settings.Copies, world.Places)) || len(members) <= leastRemaining(world) {
		return Member{}
	}
	for _, member := range members {
		if member != status.Self && slices.Contains(world.Draining, member.Node) {
			return member
		}
	}
	return Member{}
}

// leastRemaining is the size below which planned stops shrink no set: the whole fleet may be about to stop, and the last
// node to say so must not be left as the only one that can start the shard again. A fleet of two machines has no third
// to grow to, and goes on with the one that stays.
func leastRemaining(world World) int {
	const smallestFleet = 2
	if world.Fleet == smallestFleet {
		return 1
	}
	return 2
}

// stayingMembers counts the members that answer and are not about to stop.
func stayingMembers(status Status, world World, settings PlanSettings) int {
	staying := 0
	if !slices.Contains(world.Draining, status.Self.Node) {
		staying++
	}
	for _, other := range status.Others {
		leaves := slices.Contains(world.Draining, other.Member.Node)
		if !other.Learner && !leaves && other.Silence < settings.SuspectedAfter {
			staying++
		}
	}
	return staying
}

func caughtUpLearners(status Status, world World, settings PlanSettings) []Member {
	wanted := Learners(status, world, settings)
	var ready []Member
	for _, other := range status.Others {
		recent := other.Silence < settings.SuspectedAfter
		caughtUp := other.Match > 0 && other.Match+settings.CaughtUp >= status.LastIndex
		if other.Learner && recent && caughtUp && slices.Contains(wanted, other.Member) {
			ready = append(ready, other.Member)
		}
	}
	if len(ready) < len(wanted) && len(status.Configuration.Members) >= settings.Copies {
		return nil
	}
	return ready
}

// planSurplus drops one member beyond the wanted number that is not where it should be. The leader never drops itself;
// it hands over first.
func planSurplus(status Status, world World, settings PlanSettings) []Member {
	members := status.Configuration.Members
	if len(members) <= settings.Copies {
		return nil
	}
	for _, member := range members {
		if member != status.Self && !slices.Contains(places(world, settings), member) {
			return without(members, []Member{member})
		}
	}
	return nil
}

// Learners returns the replicas a leader should bring up to date: wanted places that are not members yet.
func Learners(status Status, world World, settings PlanSettings) []Member {
	var learners []Member
	for _, member := range places(world, settings) {
		if !status.Configuration.Has(member) && !slices.Contains(world.Draining, member.Node) {
			learners = append(learners, member)
		}
	}
	return learners
}

// HandOver returns the member that should lead in the place of this leader, if its node is draining or is no wanted
// place although another member is.
func HandOver(status Status, world World, settings PlanSettings) (Member, bool) {
	draining := slices.Contains(world.Draining, status.Self.Node)
	surplus := len(status.Configuration.Members) > settings.Copies
	misplaced := surplus && !slices.Contains(places(world, settings), status.Self)
	if status.Role != Leader || status.Transferring || !draining && !misplaced {
		return Member{}, false
	}
	best := MemberStatus{}
	for _, other := range status.Others {
		unfit := other.Learner || slices.Contains(world.Draining, other.Member.Node)
		if unfit || other.Silence >= settings.SuspectedAfter || other.Match < best.Match {
			continue
		}
		best = other
	}
	return best.Member, best.Member != (Member{})
}

// places returns the wanted members, as many as there should be copies.
func places(world World, settings PlanSettings) []Member {
	return world.Desired[:min(len(world.Desired), settings.Copies)]
}

func without(members, dropped []Member) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return slices.Contains(dropped, m) })
}
