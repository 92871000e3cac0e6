package membership

import (
	"hash/fnv"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// The ages of contacts travel as one byte each, in contactAgeUnit; maxContactAge stands for "long ago or never".
const (
	contactAgeUnit = 250 * time.Millisecond
	maxContactAge  = 255
)

// hearFromZone notes contact with another zone, or takes over the ages that a peer of the own zone reports. The ages
// spread with every probe, so that all nodes of a zone learn what its bridges see.
func (c *Core) hearFromZone(message Message, now time.Time) {
	if message.fromZone != c.self.zone {
		c.noteContact(message.fromZone, now)
		return
	}
	if message.zoneSet != c.zoneSet || len(message.contactAges) != len(c.zones) {
		return
	}
	for index, age := range message.contactAges {
		if age < maxContactAge {
			c.noteContact(c.zones[index], now.Add(-time.Duration(age)*contactAgeUnit))
		}
	}
}

func (c *Core) noteContact(zone ident.Zone, at time.Time) {
	if at.After(c.contacts[zone]) {
		c.contacts[zone] = at
	}
}

// contactAges returns the time since the last contact with each zone, rounded up so that an age never shrinks on
// its way through the nodes.
func (c *Core) contactAges(now time.Time) []byte {
	ages := make([]byte, len(c.zones))
	for index, zone := range c.zones {
		age := (now.Sub(c.contacts[zone]) + contactAgeUnit - 1) / contactAgeUnit
		ages[index] = byte(min(max(age, 0), maxContactAge))
	}
	return ages
}

// refreshZones brings the list of zones with live members, and the size of the own one, up to date.
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

// zoneReachable says whether the zone was in contact with the own one lately.
func (c *Core) zoneReachable(zone ident.Zone) bool {
	return zone == c.self.zone || c.reachable[zone]
}

// refreshReachable works out anew which zones are cut off.
func (c *Core) refreshReachable(now time.Time) {
	for _, zone := range c.zones {
		reachable := now.Sub(c.contacts[zone]) <= c.config.ReachableWithin
		if c.reachable[zone] != reachable {
			c.reachable[zone] = reachable
			c.changes++
		}
	}
}
