package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// gossipQueue holds the changes that are still to be passed on, at most one for each member.
type gossipQueue struct {
	items map[ident.Node]*gossipItem
}

type gossipItem struct {
	// left is how often the change is still sent.
	left int
	// short says that only the configuration revision changed.
	short bool
}

func (q *gossipQueue) add(node ident.Node, times int) {
	if q.items == nil {
		q.items = map[ident.Node]*gossipItem{}
	}
	q.items[node] = &gossipItem{left: times}
}

// addRevision queues the short form, unless the whole record waits anyway.
func (q *gossipQueue) addRevision(node ident.Node, times int) {
	if waiting, queued := q.items[node]; queued && !waiting.short {
		waiting.left = max(waiting.left, times)
		return
	}
	q.add(node, times)
	q.items[node].short = true
}

func (q *gossipQueue) drop(node ident.Node) { delete(q.items, node) }

// take returns up to limit nodes whose changes go out with the next message, those sent least first, and counts them
// as sent.
func (q *gossipQueue) take(limit int) (whole, short []ident.Node) {
	if len(q.items) == 0 {
		return nil, nil
	}
	nodes := make([]ident.Node, 0, len(q.items))
	for node := range q.items {
		nodes = append(nodes, node)
	}
	slices.SortFunc(nodes, func(first, second ident.Node) int {
		if order := cmp.Compare(q.items[second].left, q.items[first].left); order != 0 {
			return order
		}
		return cmp.Compare(first, second)
	})
	for _, node := range nodes[:min(limit, len(nodes))] {
		item := q.items[node]
		item.left--
		if item.left <= 0 {
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

// retransmits is how often this node passes a change on: it grows with the logarithm of the zone's size.
func (c *Core) retransmits() int {
	return c.config.RetransmitFactor * bits.Len(uint(max(1, c.zoneSize)))
}

// sendsOf is how often this node passes a record on. That a node of another zone is alive can wait a little for the few
// whom the word misses, which the next digest repairs; a start of the whole fleet makes very many such records.
func (c *Core) sendsOf(changed record) int {
	if changed.zone != c.self.zone && changed.health == healthAlive && !changed.leaving {
		return bits.Len(uint(max(1, c.zoneSize))) + 1
	}
	return c.retransmits()
}

// outgoing completes a message to a member with the sender and, within the zone, the gossip.
func (c *Core) outgoing(to ident.Node, message Message, now time.Time) Outgoing {
	message.from = c.self.node
	message.fromZone = c.self.zone
	message.fromAddress = c.self.peerAddress
	out := Outgoing{To: to}
	if stored, known := c.members[to]; known {
		out.Address = stored.peerAddress
		if stored.zone == c.self.zone {
			// What an isolated node believes about the others is likely its own fault and isn't passed on.
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
