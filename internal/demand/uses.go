package demand

import "time"

// UsesInterval is the time between two reports of tenants' uses while slots are scarce. A worker receives several of
// them within Lifetime, and a node spends less than half of its control traffic on them.
const UsesInterval = 400 * time.Millisecond

// usesDue reports whether the tenants' uses have to be reported to the worker now.
func (c *workerState) usesDue(uses []Use, now time.Time) bool {
	return len(uses) > 0 && now.Sub(c.usesSentAt) >= UsesInterval && !now.Before(c.notBefore)
}

// nextUses returns the uses for the next report: all of them, or none within UsesInterval of the previous ones.
func (c *workerState) nextUses(uses []Use, now time.Time) []Use {
	if !c.usesDue(uses, now) {
		return nil
	}
	c.usesSentAt = now
	return uses
}
