package demand

import "time"

// UsesEvery is the time between two reports of what tenants take and wait for, while places are scarce: a worker so hears some of them
// within Lifetime, and a node spends less than half of what it may on control.
const UsesEvery = 400 * time.Millisecond

// lacksUses says whether the worker is to be told now of what tenants take and wait for.
func (c *correspondent) lacksUses(uses []Use, now time.Time) bool {
	return len(uses) > 0 && now.Sub(c.usesAt) >= UsesEvery && !now.Before(c.notBefore)
}

// nextUses are those of the next report: all, or none where the worker was told a moment ago.
func (c *correspondent) nextUses(uses []Use, now time.Time) []Use {
	if !c.lacksUses(uses, now) {
		return nil
	}
	c.usesAt = now
	return uses
}
