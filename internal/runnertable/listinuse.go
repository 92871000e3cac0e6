package runnertable

import "time"

// ListInUse identifies the newest list of the registry that a table was given.
type ListInUse struct {
	Revision int64
	// AsOf is when the reading of the list began, here or at the node that passed it on.
	AsOf time.Time
	// Until is when the next list should have come at the latest; zero sets no limit.
	Until time.Time
}

// SetListInUse records which list was passed to Replace last. A list that was read before the newest one is ignored.
func (t *Table) SetListInUse(list ListInUse) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if list.AsOf.Before(t.listInUse.AsOf) {
		return
	}
	t.listInUse, t.registryLost = list, false
}

// SetRegistryLost records that the registry does not answer, so that no list is to be waited for until the next one comes.
func (t *Table) SetRegistryLost() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.registryLost = true
}

// Overdue reports whether a newer list should have come although the registry is not known to be away: the process may have stood still, and
// runners may have left since. A list is then on its way or the registry is found to be away within the time of a reading.
func (t *Table) Overdue(now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.overdue(now)
}

// overdue is Overdue. The caller holds the mutex.
func (t *Table) overdue(now time.Time) bool {
	return !t.registryLost && !t.listInUse.Until.IsZero() && now.After(t.listInUse.Until)
}
