package fleetfeed

import (
	"slices"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

// ErrGap means that a node received changes to a runner list that it does not have.
const ErrGap = failure.Kind("fleet feed: received changes to a runner list that this node does not have")

// maxChangeSets is the number of readings whose changes are stored. A node usually receives each reading; one that
// missed a few receives their changes together.
const maxChangeSets = 8

// history stores what the last readings changed in the list of runners. The zero history has no reading.
type history struct {
	// from is the reading after which all changes are stored.
	from int64
	sets []changeSet
}

// changeSet is what one reading changed.
type changeSet struct {
	reading int64
	changes changes
}

// changes holds the runners that were added or changed, and the ids of those that were removed.
type changes struct {
	changed []work.Runner
	gone    []ident.Incarnation
}

func (c changes) len() int { return len(c.changed) + len(c.gone) }

// record stores what a reading changed. If two entries of a list have the same id, changes cannot distinguish them:
// the history is reset, so that nodes receive the full list.
func (h *history) record(reading int64, before, after []work.Runner) {
	if h.from != 0 && (work.SameList(before, after) || slices.Equal(before, after)) {
		h.add(changeSet{reading: reading})
		return
	}
	known, unique := byID(before)
	listed, alsoUnique := byID(after)
	if h.from == 0 || !unique || !alsoUnique {
		*h = history{from: reading}
		return
	}
	difference := changes{}
	for _, runner := range after {
		if earlier, existed := known[runner.ID]; !existed || earlier != runner {
			difference.changed = append(difference.changed, runner)
		}
	}
	for _, runner := range before {
		if _, stays := listed[runner.ID]; !stays {
			difference.gone = append(difference.gone, runner.ID)
		}
	}
	h.add(changeSet{reading: reading, changes: difference})
}

func (h *history) add(set changeSet) {
	h.sets = append(h.sets, set)
	if len(h.sets) > maxChangeSets {
		h.from = h.sets[0].reading
		h.sets = h.sets[1:]
	}
}

func byID(runners []work.Runner) (found map[ident.Incarnation]work.Runner, unique bool) {
	found = make(map[ident.Incarnation]work.Runner, len(runners))
	for _, runner := range runners {
		found[runner.ID] = runner
	}
	return found, len(found) == len(runners)
}

// since returns what changed after a reading, or false if these changes are not stored. If a runner changed several
// times, only the newest change is returned.
func (h *history) since(reading int64) (changes, bool) {
	if h.from == 0 || reading < h.from {
		return changes{}, false
	}
	var merged changes
	included := map[ident.Incarnation]bool{}
	for index := len(h.sets) - 1; index >= 0 && h.sets[index].reading > reading; index-- {
		for _, runner := range h.sets[index].changes.changed {
			if !included[runner.ID] {
				included[runner.ID] = true
				merged.changed = append(merged.changed, runner)
			}
		}
		for _, id := range h.sets[index].changes.gone {
			if !included[id] {
				included[id] = true
				merged.gone = append(merged.gone, id)
			}
		}
	}
	return merged, true
}

// apply returns the list with the changes applied. It does not modify the given list, which is shared.
func (c changes) apply(runners []work.Runner) []work.Runner {
	if c.len() == 0 {
		return runners
	}
	newest, _ := byID(c.changed)
	gone := make(map[ident.Incarnation]bool, len(c.gone))
	for _, id := range c.gone {
		gone[id] = true
	}
	applied := make([]work.Runner, 0, len(runners)+len(c.changed))
	for _, runner := range runners {
		changed, hasChanged := newest[runner.ID]
		switch {
		case gone[runner.ID]:
			continue
		case hasChanged:
			runner = changed
			delete(newest, runner.ID)
		}
		applied = append(applied, runner)
	}
	for _, runner := range c.changed {
		if _, isNew := newest[runner.ID]; isNew {
			applied = append(applied, runner)
		}
	}
	return applied
}

// RunnerListCopy is a node's copy of the runner list of a feed. The zero Copy has no list.
type RunnerListCopy struct {
	incarnation, reading int64
	runners              []work.Runner
}

// SetKnown states in a request which list the node has, so that the answer contains only the changes to it.
func (c *RunnerListCopy) SetKnown(known *SnapshotRequest) {
	known.ListOf, known.List, known.Unpacks = c.incarnation, c.reading, true
}

// Complete restores the full runner list in a snapshot and stores it. After an error, which wraps ErrGap or
// jsoncall.ErrDamaged, the copy is empty, so that the next answer contains the full list.
func (c *RunnerListCopy) Complete(snapshot *Snapshot) error {
	fullList, err := c.fullList(snapshot)
	if err != nil {
		*c = RunnerListCopy{}
		return err
	}
	snapshot.Runners = fullList
	*c = RunnerListCopy{incarnation: snapshot.Incarnation, reading: snapshot.Reading, runners: fullList}
	return nil
}

func (c *RunnerListCopy) fullList(snapshot *Snapshot) ([]work.Runner, error) {
	switch {
	case len(snapshot.Packed) > 0:
		return decompress(snapshot.Packed)
	case snapshot.Since == 0:
		return snapshot.Runners, nil
	case snapshot.Since != c.reading || snapshot.Incarnation != c.incarnation:
		return nil, ErrGap
	}
	fullList := changes{changed: snapshot.Changed, gone: snapshot.Gone}.apply(c.runners)
	if len(fullList) != snapshot.Length {
		return nil, ErrGap
	}
	return fullList, nil
}
