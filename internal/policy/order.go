package policy

import "sort"

// Ranked is waiting work with its priority.
type Ranked struct {
	// Index is the position of the work in the input list.
	Index    int
	Work     Work
	Priority float64
}

// Order returns the work in the order in which it should run. Ties in priority are broken by earlier deadline, then by
// greater age, then by input position, so the order is deterministic. An error wraps ErrEvaluation, as for Priorities; the
// returned order is still valid.
func (c *Compiled) Order(works []Work) ([]Ranked, error) {
	priorities, err := c.Priorities(works)
	ranked := make([]Ranked, len(works))
	for index, work := range works {
		ranked[index] = Ranked{Index: index, Work: work, Priority: priorities[index]}
	}
	sort.SliceStable(ranked, func(i, j int) bool { return precedes(ranked[i], ranked[j]) })
	return ranked, err
}

func precedes(first, second Ranked) bool {
	if first.Priority != second.Priority {
		return first.Priority > second.Priority
	}
	if first.Work.UntilDeadline != second.Work.UntilDeadline {
		return first.Work.UntilDeadline < second.Work.UntilDeadline
	}
	return first.Work.Age > second.Work.Age
}
