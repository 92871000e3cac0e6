package membership

import "mallowlatch.example/mallowlatch/internal/ident"

// Kind says what a message asks for or answers.
type Kind uint8

// The kinds of message.
const (
	// KindPing asks the receiver for a KindAck.
	KindPing Kind = iota + 1
	// KindAck answers a ping.
	KindAck
	// KindPingRequest asks the receiver to ping Target and to pass the answer on as KindIndirectAck.
	KindPingRequest
	// KindIndirectAck tells the asker that Target has answered.
	KindIndirectAck
	// KindOffer carries a hash over the fleet, or digests of the zones that are known to differ. An empty KindSummary
	// answers a hash that agrees and KindDigests one that differs; KindSummary answers digests.
	KindOffer
	// KindDigests carries a digest of each zone.
	KindDigests
	// KindSummary lists the members of the offered zones that differ.
	KindSummary
	// KindRecords carries the records the receiver lacks, and wants; a KindRecords without wants answers it.
	KindRecords
)

// IsAnswer says whether a message of the kind answers one from its receiver, so that it may travel in the reply.
func (k Kind) IsAnswer() bool {
	return k == KindAck || k == KindDigests || k == KindSummary || k == KindRecords
}

// Message is what nodes tell each other.
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

// zoneDigest is a hash over the records of a zone's members that aren't dead.
type zoneDigest struct {
	zone ident.Zone
	hash uint64
}

// summary names a version of a record.
type summary struct {
	node        ident.Node
	incarnation uint64
	health      health
	revision    int64
}

func (r record) summary() summary {
	return summary{node: r.node, incarnation: r.incarnation, health: r.health, revision: r.revision}
}

// newerThan says whether the record holds something that the summarised one lacks.
func (r record) newerThan(other summary) bool {
	if r.incarnation != other.incarnation {
		return r.incarnation > other.incarnation
	}
	return r.health > other.health || r.revision > other.revision
}

// olderThan says whether the summarised record holds something that this one lacks.
func (r record) olderThan(other summary) bool {
	if r.incarnation != other.incarnation {
		return r.incarnation < other.incarnation
	}
	return r.health < other.health || r.revision < other.revision
}

// Outgoing is a message to be sent.
type Outgoing struct {
	// To is the receiver; it is empty for a seed known by address only.
	To      ident.Node
	Address string
	Message Message
}
