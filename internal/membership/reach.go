package membership

import (
	"hash/fnv"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// The ages of contacts are sent as one byte each, in units of contactAgeUnit; maxContactAge means "long ago or never".
const (
	contactAgeUnit = 250 * time.Millisecond
	maxContactAge  = 255
)

// recordZoneContact records contact with another zone, or merges the contact ages reported by a peer of this node's zone.
// The ages are sent with every probe, so that the contacts of a zone's bridges reach all nodes of the zone.
func (c *Core) recordZoneContact(message Message, now time.Time) {
	if message.fromZone != c.self.zone {
		c.updateContact(message.fromZone, now)
		return
	}
	if message.zoneSet != c.zoneSet || len(message.contactAges) != len(c.zones) {
		return
	}
	for index, age := range message.contactAges {
		if age < maxContactAge {
			c.updateContact(c.zones[index], now.Add(-time.Duration(age)*contactAgeUnit))
		}
	}
}

func (c *Core) updateContact(zone ident.Zone, at time.Time) {
	if at.After(c.contacts[zone]) {
		c.contacts[zone] = at
	}
}

// contactAges returns the time since the last contact with each zone, rounded up so that an age never shrinks when
// nodes pass it on.
func (c *Core) contactAges(now time.Time) []byte {
	ages := make([]byte, len(c.zones))
	for index, zone := range c.zones {
		age := (now.Sub(c.contacts[zone]) + contactAgeUnit - 1) / contactAgeUnit
		ages[index] = byte(min(max(age, 0), maxContactAge))
	}
	return ages
}

// refreshZones updates the list of zones with members that are not dead, its hash, and the size of this node's zone.
func (c *Core) refreshZones() {
	known := map[ident.Zone]bool{}
	c.zoneSize = 0
	for _, stored := range c.members {
		if stored.health == healthDead {
			continue
		}
		known[stored.zone] = true
		if stored.zone == c.self.zone {
			c.zoneSize++
		}
	}
	c.zones = c.zones[:0]
	for zone := range known {
		c.zones = append(c.zones, zone)
	}
	slices.Sort(c.zones)
	hash := fnv.New32a()
	for _, zone := range c.zones {
		_, _ = hash.Write([]byte(zone))
		_, _ = hash.Write([]byte{0})
	}
	c.zoneSet = hash.Sum32()
}

// zoneReachable reports whether the zone had contact with this node's zone within ReachableWithin.
func (c *Core) zoneReachable(zone ident.Zone) bool {
	return zone == c.self.zone || c.reachable[zone]
}

// refreshReachable updates which zones count as reachable.
func (c *Core) refreshReachable(now time.Time) {
	for _, zone := range c.zones {
		reachable := now.Sub(c.contacts[zone]) <= c.config.ReachableWithin
		if c.reachable[zone] != reachable {
			c.reachable[zone] = reachable
			c.changes++
		}
	}
}
