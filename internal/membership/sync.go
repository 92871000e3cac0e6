package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/rendezvous"
)

// tickSync returns the digest messages that are due: to other zones, to a peer of this node's zone, and to seeds and lost
// members.
func (c *Core) tickSync(now time.Time) []Outgoing {
	var out []Outgoing
	if !now.Before(c.nextBridge) {
		c.nextBridge = now.Add(c.config.BridgePeriod)
		out = append(out, c.offerToZones(now)...)
	}
	if !now.Before(c.nextRepair) {
		c.nextRepair = now.Add(c.config.RepairPeriod)
		for _, peer := range c.randomPeers(1, "") {
			out = append(out, c.offer(peer, "", now))
		}
	}
	if !now.Before(c.nextReconnect) {
		c.nextReconnect = now.Add(c.config.ReconnectPeriod/2 + c.randomDelay(c.config.ReconnectPeriod))
		out = append(out, c.reconnect(now)...)
	}
	return out
}

// offer returns a message with the fleet's hash to a member, or to any node that serves the address. The hash usually
// matches, so that digests and summaries are sent only after changes.
func (c *Core) offer(to ident.Node, address string, now time.Time) Outgoing {
	out := c.outgoing(to, Message{kind: KindOffer, fleetHash: fleetHash(c.digests())}, now)
	if address != "" {
		out.Address = address
	}
	return out
}

// offerToZones returns offers to the zones for which this node is a bridge.
func (c *Core) offerToZones(now time.Time) []Outgoing {
	var out []Outgoing
	byZone := c.liveByZone()
	for _, zone := range c.zones {
		if zone == c.self.zone {
			continue
		}
		if !c.initiates(zone, now) {
			continue
		}
		if !slices.Contains(bridges(byZone[c.self.zone], c.self.zone, zone, c.config.Bridges), c.self.node) {
			continue
		}
		if target := c.bridgeTarget(byZone[zone], zone, now); target != "" {
			out = append(out, c.offer(target, "", now))
		}
	}
	return out
}

// initiates reports whether this zone's bridges send offers to the other zone. Only one side of each pair does, since an
// offer and its answer confirm the link to both; the other side also sends once it has had no contact for half of
// ReachableWithin.
func (c *Core) initiates(zone ident.Zone, now time.Time) bool {
	first, second := min(zone, c.self.zone), max(zone, c.self.zone)
	initiator := first
	if rendezvous.Weight(string(first), second)%2 == 1 {
		initiator = second
	}
	return initiator == c.self.zone || now.Sub(c.contacts[zone]) > c.config.ReachableWithin/2
}

// bridgeTarget selects one of the other zone's bridges, to which connections are already open. After half of
// ReachableWithin without contact it selects any member of the zone.
func (c *Core) bridgeTarget(live []ident.Node, zone ident.Zone, now time.Time) ident.Node {
	candidates := bridges(live, zone, c.self.zone, c.config.Bridges)
	if now.Sub(c.contacts[zone]) > c.config.ReachableWithin/2 {
		candidates = c.zoneMembers(zone)
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[c.random.IntN(len(candidates))]
}

// zoneMembers returns all members of a zone sorted by name, including dead ones: across a network partition their return
// would go unnoticed.
func (c *Core) zoneMembers(zone ident.Zone) []ident.Node {
	var nodes []ident.Node
	for node, stored := range c.members {
		if stored.zone == zone {
			nodes = append(nodes, node)
		}
	}
	slices.Sort(nodes)
	return nodes
}

func (c *Core) liveByZone() map[ident.Zone][]ident.Node {
	byZone := map[ident.Zone][]ident.Node{}
	for node, stored := range c.members {
		if stored.health == healthAlive {
			byZone[stored.zone] = append(byZone[stored.zone], node)
		}
	}
	return byZone
}

// bridges returns the members of a zone that maintain contact with another zone: those with the highest rendezvous
// weight.
func bridges(members []ident.Node, zone, other ident.Zone, count int) []ident.Node {
	ranked := slices.Clone(members)
	bridgeKey := string(zone) + "\x00" + string(other)
	slices.SortFunc(ranked, func(first, second ident.Node) int {
		return rendezvous.Compare(bridgeKey, first, second)
	})
	return ranked[:min(count, len(ranked))]
}

// reconnect sends an offer to a seed address without a known live member, or to a dead member of this node's zone: after
// a partition inside a zone, both sides consider the other dead, and probes would never detect the reconnection.
func (c *Core) reconnect(now time.Time) []Outgoing {
	live := map[string]bool{c.self.peerAddress: true}
	var lost []ident.Node
	for node, stored := range c.members {
		switch {
		case stored.health != healthDead:
			live[stored.peerAddress] = true
		case node != c.self.node && stored.zone == c.self.zone:
			lost = append(lost, node)
		}
	}
	slices.Sort(lost)
	var seeds []string
	for _, seed := range c.seeds {
		if !live[seed] {
			seeds = append(seeds, seed)
		}
	}
	choice := len(seeds) + len(lost)
	if choice == 0 {
		return nil
	}
	index := c.random.IntN(choice)
	if index < len(seeds) {
		return []Outgoing{c.offer("", seeds[index], now)}
	}
	return []Outgoing{c.offer(lost[index-len(seeds)], "", now)}
}

// digests returns a hash for each zone. The hash excludes suspicions, since they are temporary; dead members, since nodes
// remove their records at different times; and configuration revisions, which are needed within a zone only and would
// make all zones differ with every change.
func (c *Core) digests() []zoneDigest {
	hashes := map[ident.Zone]uint64{}
	for _, stored := range c.members {
		if stored.health != healthDead {
			hashes[stored.zone] ^= stored.hash()
		}
	}
	digests := make([]zoneDigest, 0, len(hashes))
	for zone, hash := range hashes {
		digests = append(digests, zoneDigest{zone: zone, hash: hash})
	}
	slices.SortFunc(digests, func(first, second zoneDigest) int { return cmp.Compare(first.zone, second.zone) })
	return digests
}

func (r record) hash() uint64 {
	const multiplier = 0x9e3779b97f4a7c15
	hash := xxhash.Sum64String(string(r.node))
	hash = (hash ^ r.incarnation) * multiplier
	return hash ^ hash>>32
}

func fleetHash(digests []zoneDigest) uint64 {
	const multiplier = 0x9e3779b97f4a7c15
	var hash uint64
	for _, digest := range digests {
		hash = (hash ^ xxhash.Sum64String(string(digest.zone)) ^ digest.hash) * multiplier
	}
	return hash
}

// answerOffer answers a matching hash with an empty summary, another hash with digests, and digests with a summary of
// the members of the zones that differ.
func (c *Core) answerOffer(message Message, now time.Time) []Outgoing {
	own := c.digests()
	if len(message.digests) > 0 {
		return []Outgoing{c.answerTo(message, c.summarize(differing(message.digests, own)), now)}
	}
	answer := Message{kind: KindDigests, digests: own}
	if message.fleetHash == fleetHash(own) {
		answer = Message{kind: KindSummary}
	}
	return []Outgoing{c.answerTo(message, answer, now)}
}

// differing returns the digests of the first list that are missing from the second or differ there.
func differing(first, second []zoneDigest) []zoneDigest {
	return slices.DeleteFunc(slices.Clone(first), func(digest zoneDigest) bool { return slices.Contains(second, digest) })
}

// summarize lists the members of the zones. Zones without known members are included in the digests, so that the receiver
// sends their records.
func (c *Core) summarize(zones []zoneDigest) Message {
	answer := Message{kind: KindSummary, digests: zones}
	listed := map[ident.Zone]bool{}
	for _, digest := range zones {
		listed[digest.zone] = true
	}
	for _, stored := range c.members {
		if listed[stored.zone] {
			answer.summaries = append(answer.summaries, stored.summary())
		}
	}
	slices.SortFunc(answer.summaries, func(first, second summary) int { return cmp.Compare(first.node, second.node) })
	return answer
}

// answerDigests offers the digests of the zones that differ; zones known only to the sender get a zero hash.
func (c *Core) answerDigests(message Message, now time.Time) []Outgoing {
	own := c.digests()
	offered := differing(own, message.digests)
	for _, theirs := range differing(message.digests, own) {
		known := slices.ContainsFunc(offered, func(digest zoneDigest) bool { return digest.zone == theirs.zone })
		if !known {
			offered = append(offered, zoneDigest{zone: theirs.zone})
		}
	}
	if len(offered) == 0 {
		return nil
	}
	return []Outgoing{c.answerTo(message, Message{kind: KindOffer, digests: offered}, now)}
}

// answerSummary sends the records that the other node lacks and requests those that this node lacks.
func (c *Core) answerSummary(message Message, now time.Time) []Outgoing {
	answer := Message{kind: KindRecords}
	listed := map[ident.Node]bool{}
	for _, theirs := range message.summaries {
		listed[theirs.node] = true
		stored, known := c.members[theirs.node]
		switch {
		case !known && theirs.health != healthDead:
			answer.wants = append(answer.wants, theirs.node)
		case !known:
		default:
			c.compare(&answer, stored, theirs)
		}
	}
	differs := map[ident.Zone]bool{}
	for _, digest := range message.digests {
		differs[digest.zone] = true
	}
	for node, stored := range c.members {
		if differs[stored.zone] && !listed[node] && stored.health != healthDead {
			answer.members = append(answer.members, stored.record)
		}
	}
	slices.SortFunc(answer.members, func(first, second record) int { return cmp.Compare(first.node, second.node) })
	if len(answer.members)+len(answer.revisions)+len(answer.wants) == 0 {
		return nil
	}
	return []Outgoing{c.answerTo(message, answer, now)}
}

func (c *Core) compare(answer *Message, stored *entry, theirs summary) {
	if stored.newerThan(theirs) {
		if stored.incarnation == theirs.incarnation && stored.health <= theirs.health {
			answer.revisions = append(answer.revisions, stored.shortForm())
		} else {
			answer.members = append(answer.members, stored.record)
		}
	}
	if stored.olderThan(theirs) {
		answer.wants = append(answer.wants, theirs.node)
	}
}

// answerWants sends the requested records.
func (c *Core) answerWants(message Message, now time.Time) []Outgoing {
	if len(message.wants) == 0 {
		return nil
	}
	answer := Message{kind: KindRecords}
	for _, node := range message.wants {
		if stored, known := c.members[node]; known {
			answer.members = append(answer.members, stored.record)
		}
	}
	return []Outgoing{c.answerTo(message, answer, now)}
}

// answerTo addresses an answer to the sender of a message, which may not be a known member yet.
func (c *Core) answerTo(message, answer Message, now time.Time) Outgoing {
	out := c.outgoing(message.from, answer, now)
	out.Address = message.fromAddress
	return out
}
