package membership

import "mallowlatch.example/mallowlatch/internal/ident"

// Kind is the type of a message.
type Kind uint8

// The kinds of message.
const (
	// KindPing requests a KindAck.
	KindPing Kind = iota + 1
	// KindAck answers a ping.
	KindAck
	// KindPingRequest requests that the receiver ping the target and report its answer as KindIndirectAck.
	KindPingRequest
	// KindIndirectAck reports to the sender of a KindPingRequest that the target has answered.
	KindIndirectAck
	// KindOffer carries a hash over the fleet, or digests of the zones that are known to differ. The answer to a hash is
	// an empty KindSummary if it matches and KindDigests if it differs; the answer to digests is KindSummary.
	KindOffer
	// KindDigests carries a digest of each zone.
	KindDigests
	// KindSummary lists the members of the offered zones that differ.
	KindSummary
	// KindRecords carries records that the receiver lacks, and the names of members whose records the sender lacks. If
	// it names any, the answer is a KindRecords with these records.
	KindRecords
)

// IsAnswer reports whether a message of this kind answers a message of its receiver, so that it can be sent in the reply
// of the call.
func (k Kind) IsAnswer() bool {
	return k == KindAck || k == KindDigests || k == KindSummary || k == KindRecords
}

// Message is a protocol message between two nodes.
type Message struct {
	kind        Kind
	from        ident.Node
	fromZone    ident.Zone
	fromAddress string
	sequence    uint64
	target      ident.Node
	members     []record
	revisions   []revision
	contactAges []byte
	zoneSet     uint32
	fleetHash   uint64
	digests     []zoneDigest
	summaries   []summary
	wants       []ident.Node
}

// From returns the sender.
func (m Message) From() ident.Node { return m.from }

// Kind returns the kind.
func (m Message) Kind() Kind { return m.kind }

// revision is the short form of a record of which only the configuration revision changed.
type revision struct {
	node        ident.Node
	incarnation uint64
	revision    int64
}

// zoneDigest is a hash over the records of a zone's members that are not dead.
type zoneDigest struct {
	zone ident.Zone
	hash uint64
}

// summary identifies a version of a record.
type summary struct {
	node        ident.Node
	incarnation uint64
	health      health
	revision    int64
}

func (r record) summary() summary {
	return summary{node: r.node, incarnation: r.incarnation, health: r.health, revision: r.revision}
}

// newerThan reports whether the record contains changes that the summarized one lacks.
func (r record) newerThan(other summary) bool {
	if r.incarnation != other.incarnation {
		return r.incarnation > other.incarnation
	}
	return r.health > other.health || r.revision > other.revision
}

// olderThan reports whether the summarized record contains changes that this one lacks.
func (r record) olderThan(other summary) bool {
	if r.incarnation != other.incarnation {
		return r.incarnation < other.incarnation
	}
	return r.health < other.health || r.revision < other.revision
}

// Outgoing is a message to send, with its receiver.
type Outgoing struct {
	// To is the receiver; it is empty for a seed known by address only.
	To      ident.Node
	Address string
	Message Message
}
