package confsync

import (
	"maps"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/rendezvous"
)

// announce sends the first announcement round of a new revision and schedules the remaining ones.
func (c *Core) announce(now time.Time) {
	c.roundsLeft = c.timing.AnnounceRounds
	c.announceRound(now)
}

// announceRound sends the digest to Fanout random peers of the zone that are not known to have the revision. A relay also sends
// it to one relay of each other zone, and any other node to the relays of its own zone.
func (c *Core) announceRound(now time.Time) {
	c.roundsLeft--
	c.nextAnnounce = now.Add(c.timing.AnnouncePeriod)
	notified := map[ident.Node]bool{}
	notify := func(peer Peer) {
		if peer.Node != c.self.Node && !notified[peer.Node] && c.known[peer.Node] < c.state.Revision {
			notified[peer.Node] = true
			c.sendDigest(peer)
		}
	}
	for _, peer := range c.sample(c.zonePeers(), c.timing.Fanout) {
		notify(peer)
	}
	if !c.Relay() {
		for _, relay := range c.relays[c.self.Zone] {
			notify(relay)
		}
		return
	}
	for _, zone := range sortedZones(c.relays) {
		if zone != c.self.Zone {
			notify(c.pick(c.relays[zone]))
		}
	}
}

// periodicDigests sends the digest to one random peer of the zone and, on a relay, to a relay of one other random zone.
func (c *Core) periodicDigests() {
	if peers := c.zonePeers(); len(peers) > 0 {
		c.sendDigest(c.pick(peers))
	}
	if !c.Relay() {
		return
	}
	zones := slices.DeleteFunc(sortedZones(c.relays), func(zone ident.Zone) bool { return zone == c.self.Zone })
	if len(zones) > 0 {
		zone := zones[c.random.IntN(len(zones))]
		c.sendDigest(c.pick(c.relays[zone]))
	}
}

func (c *Core) sendDigest(to Peer) {
	c.outbox = append(c.outbox, Send{To: to, Digest: c.digest()})
}

func (c *Core) zonePeers() []Peer {
	var peers []Peer
	for _, peer := range c.peers {
		if peer.Zone == c.self.Zone {
			peers = append(peers, peer)
		}
	}
	return peers
}

// sample returns up to count random peers that are not known to have the revision. It reorders peers in place.
func (c *Core) sample(peers []Peer, count int) []Peer {
	behind := slices.DeleteFunc(peers, func(peer Peer) bool { return c.known[peer.Node] >= c.state.Revision })
	c.random.Shuffle(len(behind), func(i, j int) { behind[i], behind[j] = behind[j], behind[i] })
	return behind[:min(count, len(behind))]
}

func (c *Core) pick(peers []Peer) Peer { return peers[c.random.IntN(len(peers))] }

// chooseRelays selects the relays of each zone by rendezvous hashing, highest rank first. Nodes with different views may
// temporarily select different relays, which only costs a few more watches or exchanges.
func chooseRelays(peers []Peer, perZone int) map[ident.Zone][]Peer {
	relays := map[ident.Zone][]Peer{}
	for _, peer := range peers {
		relays[peer.Zone] = append(relays[peer.Zone], peer)
	}
	for zone, members := range relays {
		slices.SortFunc(members, func(a, b Peer) int {
			return rendezvous.Compare(string(zone), a.Node, b.Node)
		})
		relays[zone] = members[:min(perZone, len(members))]
	}
	return relays
}

func sortedZones(relays map[ident.Zone][]Peer) []ident.Zone {
	return slices.Sorted(maps.Keys(relays))
}

func contains(peers []Peer, node ident.Node) bool {
	return slices.ContainsFunc(peers, func(peer Peer) bool { return peer.Node == node })
}
