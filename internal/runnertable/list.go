package runnertable

import (
	"cmp"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Change is the difference that a new list made.
type Change struct {
	// Added are the new runners, Removed those that were removed.
	Added, Removed []ident.Incarnation
	// Leaving are the runners that were ready and are not any more, though they are still in the table.
	Leaving []ident.Incarnation
	// Addresses are the addresses of the removed runners. Pooled connections to them are useless, and may be dead.
	Addresses []string
	// Retained are the runners that the list lacks and that the table retains for now.
	Retained []ident.Incarnation
	// LongestMissing is the longest time for which a removed runner was retained without being listed.
	LongestMissing time.Duration
}

// Replace applies the registry's list. Runners that are not listed get no more work if their absence proves that they
// left. A registry that has just recovered may not list all live runners yet: then ready runners are retained, idle
// ones too. Responses of a runner are no evidence, because runners that left continue to serve for a while. The list must
// not be changed after the call: the table recognises it if it is passed again, which costs nothing then.
func (t *Table) Replace(listed []work.Runner, now time.Time, absenceIsProof bool) Change {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if work.SameList(t.settled, listed) {
		return Change{}
	}
	t.pass++
	generation := t.generation
	rest := t.markUnchanged(listed)
	var change Change
	names := t.names(rest, now)
	left := len(rest)
	for _, runner := range rest {
		if runner.State != work.Unreadable && names[runner.ID.Name()] == runner.ID {
			t.put(runner, now, &change)
			left--
		}
	}
	for id, known := range t.runners {
		if known.pass == t.pass {
			continue
		}
		present, named := t.named(id.Name(), names)
		if present == id {
			continue
		}
		if !named && !absenceIsProof && known.runner.State == work.Ready {
			known.markMissing(now)
			change.Retained = append(change.Retained, id)
			continue
		}
		t.remove(id, known, now)
		change.Removed = append(change.Removed, id)
		change.Addresses = append(change.Addresses, known.runner.Address)
		change.LongestMissing = max(change.LongestMissing, known.missingFor(now))
	}
	t.forgetNames(names)
	if t.generation != generation {
		t.indexZones()
	}
	if len(t.runners) > 0 {
		t.assumeFullFor = 0
	}
	t.settled = nil
	if left == 0 && len(change.Retained) == 0 {
		t.settled = listed
	}
	return change
}

// SetCompleteThrough records that the lists applied so far show all runners that were started until a time. It never goes back.
func (t *Table) SetCompleteThrough(through time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if through.After(t.completeThrough) {
		t.completeThrough = through
	}
}

// CompleteThrough returns the time until which all starts of runners are known; the zero time if none are.
func (t *Table) CompleteThrough() time.Time {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.completeThrough
}

// markUnchanged marks the runners that a list names as they are, and returns the rest of the list. The caller holds the mutex.
func (t *Table) markUnchanged(listed []work.Runner) []work.Runner {
	var rest []work.Runner
	for _, runner := range listed {
		known := t.runners[runner.ID]
		if known == nil || known.runner != runner || known.pass == t.pass || !known.settled() || t.latest[runner.ID.Name()] != runner.ID {
			rest = append(rest, runner)
			continue
		}
		known.pass = t.pass
	}
	return rest
}

// settled says whether the last list named the runner and no earlier incarnation of it.
func (e *entry) settled() bool { return e.missingSince.IsZero() && e.overwritten.IsZero() }

// named returns the incarnation that the list has for a name, given those of the rest of the list, and whether it has the name.
// The caller holds the mutex.
func (t *Table) named(name ident.Runner, rest map[ident.Runner]ident.Incarnation) (ident.Incarnation, bool) {
	if present, named := rest[name]; named {
		return present, true
	}
	latest := t.latest[name]
	if known := t.runners[latest]; known != nil && known.pass == t.pass {
		return latest, true
	}
	return "", false
}

// forgetNames removes the latest incarnations of names that are neither listed nor in the table. The caller holds the mutex.
func (t *Table) forgetNames(rest map[ident.Runner]ident.Incarnation) {
	if len(t.latest) <= len(t.runners) {
		return
	}
	for name, latest := range t.latest {
		if _, listed := rest[name]; !listed && t.runners[latest] == nil {
			delete(t.latest, name)
		}
	}
}

// put adds or updates a listed runner. The caller holds the mutex.
func (t *Table) put(runner work.Runner, now time.Time, change *Change) {
	known := t.runners[runner.ID]
	t.countVersion(runner, 1, now)
	if known != nil {
		t.countVersion(known.runner, -1, now)
	}
	switch {
	case known == nil:
		known = &entry{runner: runner, waiting: map[*Flight]time.Time{}, assumeFullUntil: now.Add(t.assumeFullFor)}
		t.runners[runner.ID] = known
		t.index(known)
		change.Added = append(change.Added, runner.ID)
	case known.runner.Service != runner.Service || known.runner.Zone != runner.Zone:
		t.unindex(known)
		known.runner = runner
		t.index(known)
	case known.runner != runner:
		if known.runner.State == work.Ready && runner.State != work.Ready {
			change.Leaving = append(change.Leaving, runner.ID)
		}
		known.runner = runner
		t.generation++
	}
	known.missingSince, known.overwritten = time.Time{}, time.Time{}
	known.warmUpUntil = now.Add(runner.WarmUp)
	known.pass = t.pass
}

// remove removes a runner. The caller holds the mutex.
func (t *Table) remove(id ident.Incarnation, known *entry, now time.Time) {
	t.countVersion(known.runner, -1, now)
	delete(t.runners, id)
	delete(t.inUse, id)
	delete(t.rationed, id)
	t.unindex(known)
}

// overwrittenGrace is how long an incarnation is used after its entry shows an earlier one again, which happens when
// an entry is written late. A live runner rewrites its own entry within a heartbeat, 1.2 s in all deployments so far,
// and the list is read twice in that time.
const overwrittenGrace = 2500 * time.Millisecond

// names returns the incarnation of each name in a part of the list; it is empty for an entry that counts for none. Any other
// incarnation of a listed name is over, even if absence proves nothing. The caller holds the mutex.
func (t *Table) names(listed []work.Runner, now time.Time) map[ident.Runner]ident.Incarnation {
	names := make(map[ident.Runner]ident.Incarnation, len(listed))
	for _, runner := range listed {
		names[runner.ID.Name()] = t.incarnation(runner, now)
	}
	return names
}

// incarnation returns the incarnation that an entry of the list stands for. It is empty for an entry that can't be
// read, and for one without a start time if the runner of that name had one. An entry with an earlier start was
// written late: the latest incarnation stays for overwrittenGrace, and the earlier one is never used again. The caller
// holds the mutex.
func (t *Table) incarnation(listed work.Runner, now time.Time) ident.Incarnation {
	name := listed.ID.Name()
	latest := t.latest[name]
	_, hasStart := listed.ID.Started()
	_, latestHasStart := latest.Started()
	switch {
	case listed.State == work.Unreadable, latestHasStart && !hasStart:
		return ""
	case !listed.ID.Precedes(latest):
		t.latest[name] = listed.ID
		return listed.ID
	}
	if known := t.runners[latest]; known != nil && known.overwrittenWithin(overwrittenGrace, now) {
		return latest
	}
	return ""
}

// overwrittenWithin records that the entry shows an earlier incarnation, and says whether that started less than limit
// ago.
func (e *entry) overwrittenWithin(limit time.Duration, now time.Time) bool {
	if e.overwritten.IsZero() {
		e.overwritten = now
	}
	return now.Sub(e.overwritten) < limit
}

func (e *entry) markMissing(now time.Time) {
	if e.missingSince.IsZero() {
		e.missingSince = now
	}
}

func (e *entry) missingFor(now time.Time) time.Duration {
	if e.missingSince.IsZero() {
		return 0
	}
	return now.Sub(e.missingSince)
}

// index adds an entry to the ordered lists, so that a choice depends only on its inputs. The caller holds the mutex.
func (t *Table) index(known *entry) {
	t.generation++
	t.services[known.runner.Service] = insert(t.services[known.runner.Service], known)
	t.byZone[known.runner.Zone] = insert(t.byZone[known.runner.Zone], known)
}

// unindex removes an entry from the ordered lists. The caller holds the mutex.
func (t *Table) unindex(known *entry) {
	t.generation++
	removeFrom(t.services, known.runner.Service, known)
	removeFrom(t.preferred, known.runner.Service, known)
	removeFrom(t.byZone, known.runner.Zone, known)
}

func insert(entries []*entry, added *entry) []*entry {
	at, _ := slices.BinarySearchFunc(entries, added.runner.ID, compareID)
	return slices.Insert(entries, at, added)
}

func removeFrom[K comparable](lists map[K][]*entry, key K, removed *entry) {
	at, found := slices.BinarySearchFunc(lists[key], removed.runner.ID, compareID)
	if found {
		lists[key] = slices.Delete(lists[key], at, at+1)
	}
	if len(lists[key]) == 0 {
		delete(lists, key)
	}
}

func compareID(known *entry, id ident.Incarnation) int { return cmp.Compare(known.runner.ID, id) }
