package fleetfeed

import (
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

// ErrGap means that a node was told changes to a list that it does not have.
const ErrGap = failure.Kind("fleet feed: changes to a list that the node does not have")

// stepsKept is how many readings are told as changes: a node hears of each reading, and one that missed a few is told them together.
const stepsKept = 8

// history keeps what the last readings changed in the list of the runners. The zero history has no reading.
type history struct {
	// from is the reading since which all changes are kept.
	from  int64
	steps []step
}

// step is what one reading changed.
type step struct {
	reading int64
	changes changes
}

// changes are the runners that came or changed, and those that went.
type changes struct {
	changed []work.Runner
	gone    []ident.Incarnation
}

func (c changes) len() int { return len(c.changed) + len(c.gone) }

// note keeps what a reading changed. Where two entries have one id, changes would not tell them apart: the list goes whole.
func (h *history) note(reading int64, before, after []work.Runner) {
	known, unique := byID(before)
	listed, alsoUnique := byID(after)
	if h.from == 0 || !unique || !alsoUnique {
		*h = history{from: reading}
		return
	}
	made := changes{}
	for _, runner := range after {
		if earlier, wasKnown := known[runner.ID]; !wasKnown || earlier != runner {
			made.changed = append(made.changed, runner)
		}
	}
	for _, runner := range before {
		if _, stays := listed[runner.ID]; !stays {
			made.gone = append(made.gone, runner.ID)
		}
	}
	h.steps = append(h.steps, step{reading: reading, changes: made})
	if len(h.steps) > stepsKept {
		h.from = h.steps[0].reading
		h.steps = h.steps[1:]
	}
}

func byID(runners []work.Runner) (found map[ident.Incarnation]work.Runner, unique bool) {
	found = make(map[ident.Incarnation]work.Runner, len(runners))
	for _, runner := range runners {
		found[runner.ID] = runner
	}
	return found, len(found) == len(runners)
}

// since returns what changed after a reading, and false where that is not kept. The newest change of a runner counts.
func (h *history) since(reading int64) (changes, bool) {
	if h.from == 0 || reading < h.from {
		return changes{}, false
	}
	var made changes
	told := map[ident.Incarnation]bool{}
	for index := len(h.steps) - 1; index >= 0 && h.steps[index].reading > reading; index-- {
		for _, runner := range h.steps[index].changes.changed {
			if !told[runner.ID] {
				told[runner.ID] = true
				made.changed = append(made.changed, runner)
			}
		}
		for _, id := range h.steps[index].changes.gone {
			if !told[id] {
				told[id] = true
				made.gone = append(made.gone, id)
			}
		}
	}
	return made, true
}

// apply returns the list with changes made. It leaves the list as it is: others have it too.
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

// Copy is the list of a feed as a node has it. The zero Copy has none.
type Copy struct {
	incarnation, reading int64
	runners              []work.Runner
}

// Tell has a call say which list the node has, so that it is answered with the changes to it.
func (c *Copy) Tell(known *Known) {
	known.ListOf, known.List, known.Unpacks = c.incarnation, c.reading, true
}

// Complete gives a snapshot its whole list, and keeps it. After an error, which wraps ErrGap or jsoncall.ErrDamaged, the node has none, and
// is told the whole list.
func (c *Copy) Complete(snapshot *Snapshot) error {
	whole, err := c.whole(snapshot)
	if err != nil {
		*c = Copy{}
		return err
	}
	snapshot.Runners = whole
	*c = Copy{incarnation: snapshot.Incarnation, reading: snapshot.Reading, runners: whole}
	return nil
}

func (c *Copy) whole(snapshot *Snapshot) ([]work.Runner, error) {
	switch {
	case len(snapshot.Packed) > 0:
		return unpack(snapshot.Packed)
	case snapshot.Since == 0:
		return snapshot.Runners, nil
	case snapshot.Since != c.reading || snapshot.Incarnation != c.incarnation:
		return nil, ErrGap
	}
	whole := changes{changed: snapshot.Changed, gone: snapshot.Gone}.apply(c.runners)
	if len(whole) != snapshot.Length {
		return nil, ErrGap
	}
	return whole, nil
}
