package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// gossipQueue holds the changes that are still to be sent to peers, at most one per member.
type gossipQueue struct {
	items map[ident.Node]*gossipItem
}

type gossipItem struct {
	// remaining is the number of times the change is still to be sent.
	remaining int
	// short is set if only the configuration revision changed.
	short bool
}

func (q *gossipQueue) add(node ident.Node, times int) {
	if q.items == nil {
		q.items = map[ident.Node]*gossipItem{}
	}
	q.items[node] = &gossipItem{remaining: times}
}

// addRevision queues the short form, unless the full record is already queued.
func (q *gossipQueue) addRevision(node ident.Node, times int) {
	if pending, queued := q.items[node]; queued && !pending.short {
		pending.remaining = max(pending.remaining, times)
		return
	}
	q.add(node, times)
	q.items[node].short = true
}

func (q *gossipQueue) drop(node ident.Node) { delete(q.items, node) }

// take returns up to limit nodes whose changes are sent with the next message, those with the most remaining sends first,
// and counts them as sent.
func (q *gossipQueue) take(limit int) (whole, short []ident.Node) {
	if len(q.items) == 0 {
		return nil, nil
	}
	nodes := make([]ident.Node, 0, len(q.items))
	for node := range q.items {
		nodes = append(nodes, node)
	}
	slices.SortFunc(nodes, func(first, second ident.Node) int {
		if order := cmp.Compare(q.items[second].remaining, q.items[first].remaining); order != 0 {
			return order
		}
		return cmp.Compare(first, second)
	})
	for _, node := range nodes[:min(limit, len(nodes))] {
		item := q.items[node]
		item.remaining--
		if item.remaining <= 0 {
			delete(q.items, node)
		}
		if item.short {
			short = append(short, node)
		} else {
			whole = append(whole, node)
		}
	}
	return whole, short
}

// retransmits returns how often this node sends a change: it grows with the logarithm of the zone's size.
func (c *Core) retransmits() int {
	return c.config.RetransmitFactor * bits.Len(uint(max(1, c.zoneSize)))
}

// sendCount returns how often this node sends a changed record. Records of live nodes of other zones are sent fewer times,
// because a simultaneous start of the whole fleet creates very many of them; peers that miss one get it with the next
// digest.
func (c *Core) sendCount(changed record) int {
	if changed.zone != c.self.zone && changed.health == healthAlive && !changed.leaving {
		return bits.Len(uint(max(1, c.zoneSize))) + 1
	}
	return c.retransmits()
}

// outgoing completes a message to a member with the sender and, within the zone, gossip and contact ages.
func (c *Core) outgoing(to ident.Node, message Message, now time.Time) Outgoing {
	message.from = c.self.node
	message.fromZone = c.self.zone
	message.fromAddress = c.self.peerAddress
	out := Outgoing{To: to}
	if stored, known := c.members[to]; known {
		out.Address = stored.peerAddress
		if stored.zone == c.self.zone {
			// An isolated node sends no gossip, since its suspicions are likely caused by its own fault.
			if !c.isolated(now) {
				c.piggyback(&message)
			}
			message.contactAges, message.zoneSet = c.contactAges(now), c.zoneSet
		}
	}
	out.Message = message
	return out
}

func (c *Core) piggyback(message *Message) {
	whole, short := c.queue.take(c.config.MaxUpdates)
	for _, node := range whole {
		if stored, known := c.members[node]; known {
			message.members = append(message.members, stored.record)
		}
	}
	for _, node := range short {
		if stored, known := c.members[node]; known {
			message.revisions = append(message.revisions, stored.shortForm())
		}
	}
}

func (r record) shortForm() revision {
	return revision{node: r.node, incarnation: r.incarnation, revision: r.revision}
}
