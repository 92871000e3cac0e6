package shard

import "slices"

// MayRemove reports whether a replica may remove its data. stored was read from the key-value service, not guessed from
// a watch. The data is of no more use once all of these hold:
//
//   - the stored set does without this replica, and this replica has adopted that set, so that it takes part in no older
//     one;
//   - the set is whole, and every member was known to hold everything when it was stored: this is not the last survivor;
//   - every member's node lives, with the disk that the set names;
//   - the replica is no wanted place, and no leader has replicated to it for RemoveAfter.
func MayRemove(status Status, stored Configuration, world World, settings PlanSettings) bool {
	stored = stored.normalise()
	if stored.Has(status.Self) || !stored.Equal(status.Configuration) || status.Activated >= stored.Epoch {
		return false
	}
	if len(stored.Members) < settings.Copies || !slices.Equal(stored.Members, stored.Seasoned) {
		return false
	}
	for _, member := range stored.Members {
		if !slices.Contains(world.Disks, member) {
			return false
		}
	}
	return !slices.Contains(places(world, settings), status.Self) && status.Unfollowed >= settings.RemoveAfter
}

// Tombstone returns what a replica that removes its data keeps: its promises and its newest set, so that it takes part in
// nothing older, and no proof of holding anything. If it is added again it is a blank member.
func (c *Core) Tombstone() HardState {
	kept := c.hard
	kept.Activated = 0
	return kept
}
