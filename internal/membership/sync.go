package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/rendezvous"
)

// tickSync sends the digests that are due: to other zones, to a peer of the own zone, to seeds and lost members.
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
		c.nextReconnect = now.Add(c.config.ReconnectPeriod/2 + c.spread(c.config.ReconnectPeriod))
		out = append(out, c.reconnect(now)...)
	}
	return out
}

// offer returns the fleet's hash for a member, or for whatever node serves the address. As a rule it agrees, so that
// digests and summaries travel only after changes.
func (c *Core) offer(to ident.Node, address string, now time.Time) Outgoing {
	out := c.outgoing(to, Message{kind: KindOffer, fleetHash: fleetHash(c.digests())}, now)
	if address != "" {
		out.Address = address
	}
	return out
}

// offerToZones sends digests to the zones this node is a bridge to.
func (c *Core) offerToZones(now time.Time) []Outgoing {
	var out []Outgoing
	byZone := c.liveByZone()
	for _, zone := range c.zones {
		if zone == c.self.zone {
			continue
		}
		if !c.begins(zone, now) {
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

// begins says whether this zone's bridges offer to the other zone's. One side of each pair does, since an answer shows
// both that they can reach each other; the other side joins in once it has heard nothing for half of the time allowed.
func (c *Core) begins(zone ident.Zone, now time.Time) bool {
	first, second := min(zone, c.self.zone), max(zone, c.self.zone)
	beginner := first
	if rendezvous.Weight(string(first), second)%2 == 1 {
		beginner = second
	}
	return beginner == c.self.zone || now.Sub(c.contacts[zone]) > c.config.ReachableWithin/2
}

// bridgeTarget prefers the other zone's bridges, whose connections are open already. Once the zone has been silent for
// half of the time allowed, any of its members will do.
func (c *Core) bridgeTarget(live []ident.Node, zone ident.Zone, now time.Time) ident.Node {
	candidates := bridges(live, zone, c.self.zone, c.config.Bridges)
	if now.Sub(c.contacts[zone]) > c.config.ReachableWithin/2 {
		candidates = c.everyone(zone)
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[c.random.IntN(len(candidates))]
}

// everyone returns the members of a zone in name order, the dead too: behind a cut, word of their return is missing.
func (c *Core) everyone(zone ident.Zone) []ident.Node {
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

// bridges returns the members of a zone that keep contact with another zone: those of the highest weight.
func bridges(members []ident.Node, zone, other ident.Zone, count int) []ident.Node {
	ranked := slices.Clone(members)
	duty := string(zone) + "\x00" + string(other)
	slices.SortFunc(ranked, func(first, second ident.Node) int {
		return rendezvous.Compare(duty, first, second)
	})
	return ranked[:min(count, len(ranked))]
}

// reconnect tries a seed that no live member is known at, or a member of the own zone given up: after a cut inside a
// zone both sides hold the other for dead, and no probe would ever find out.
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

// digests returns a hash for each zone. Suspicions don't count, since they end by themselves; the dead don't either,
// since nodes forget them at different times; nor do configuration revisions, which would make all zones differ with
// every change and are of use within a zone only.
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
	const odd = 0x9e3779b97f4a7c15
	hash := xxhash.Sum64String(string(r.node))
	hash = (hash ^ r.incarnation) * odd
	return hash ^ hash>>32
}

func fleetHash(digests []zoneDigest) uint64 {
	const odd = 0x9e3779b97f4a7c15
	var hash uint64
	for _, digest := range digests {
		hash = (hash ^ xxhash.Sum64String(string(digest.zone)) ^ digest.hash) * odd
	}
	return hash
}

// answerOffer answers a hash by agreement or by digests, and digests by the members of the zones that differ.
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

// differing returns the digests of the first list that the second lacks or has otherwise.
func differing(first, second []zoneDigest) []zoneDigest {
	return slices.DeleteFunc(slices.Clone(first), func(digest zoneDigest) bool { return slices.Contains(second, digest) })
}

// summarize lists the members of the zones. The zones are named even if nobody of them is known here, so that the other
// side pushes them.
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

// answerDigests offers the digests of the zones that differ, those that only the other side knows with a zero hash.
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

// answerSummary pushes the records the other side lacks and asks for those this side lacks.
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

// answerWants sends the records asked for.
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

// answerTo addresses an answer to a sender that may not be known as a member yet.
func (c *Core) answerTo(message, answer Message, now time.Time) Outgoing {
	out := c.outgoing(message.from, answer, now)
	out.Address = message.fromAddress
	return out
}
