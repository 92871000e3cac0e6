package policy

import "sort"

// Ranked is waiting work with the priority a policy gave it.
type Ranked struct {
	// Index is the place of the work in the list that was ordered.
	Index    int
	Work     Work
	Priority float64
}

// Order returns the work, first to run first. Equal priorities go by deadline, then by age, then by place in the list,
// so that the order is always the same. An error wraps ErrEvaluation, as for Priorities; the order is usable.
func (c *Compiled) Order(works []Work) ([]Ranked, error) {
	priorities, err := c.Priorities(works)
	ranked := make([]Ranked, len(works))
	for index, work := range works {
		ranked[index] = Ranked{Index: index, Work: work, Priority: priorities[index]}
	}
	sort.SliceStable(ranked, func(i, j int) bool { return goesFirst(ranked[i], ranked[j]) })
	return ranked, err
}

func goesFirst(first, second Ranked) bool {
	if first.Priority != second.Priority {
		return first.Priority > second.Priority
	}
	if first.Work.UntilDeadline != second.Work.UntilDeadline {
		return first.Work.UntilDeadline < second.Work.UntilDeadline
	}
	return first.Work.Age > second.Work.Age
}
