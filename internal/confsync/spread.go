package confsync

import (
	"maps"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/rendezvous"
)

// announce starts the rounds that tell others of a new revision.
func (c *Core) announce(now time.Time) {
	c.roundsLeft = c.timing.AnnounceRounds
	c.announceRound(now)
}

// announceRound sends the digest to a few random peers of the zone that are not known to have the revision, and on to
// other zones: a relay tells one relay of each, any other node tells the relays of its own zone.
func (c *Core) announceRound(now time.Time) {
	c.roundsLeft--
	c.nextAnnounce = now.Add(c.timing.AnnouncePeriod)
	told := map[ident.Node]bool{}
	tell := func(peer Peer) {
		if peer.Node != c.self.Node && !told[peer.Node] && c.known[peer.Node] < c.state.Revision {
			told[peer.Node] = true
			c.sendDigest(peer)
		}
	}
	for _, peer := range c.sample(c.zonePeers(), c.timing.Fanout) {
		tell(peer)
	}
	if !c.Relay() {
		for _, relay := range c.relays[c.self.Zone] {
			tell(relay)
		}
		return
	}
	for _, zone := range sortedZones(c.relays) {
		if zone != c.self.Zone {
			tell(c.pick(c.relays[zone]))
		}
	}
}

// periodicDigests compares copies with one peer of the zone, and from a relay with a relay of one other zone.
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

// sample returns up to count random peers that are not known to have the revision.
func (c *Core) sample(peers []Peer, count int) []Peer {
	behind := slices.DeleteFunc(peers, func(peer Peer) bool { return c.known[peer.Node] >= c.state.Revision })
	c.random.Shuffle(len(behind), func(i, j int) { behind[i], behind[j] = behind[j], behind[i] })
	return behind[:min(count, len(behind))]
}

func (c *Core) pick(peers []Peer) Peer { return peers[c.random.IntN(len(peers))] }

// chooseRelays returns the relays of each zone by rendezvous hashing, best first. Nodes whose views differ may choose
// differently for a while; that costs a few more watches or exchanges and nothing else.
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
