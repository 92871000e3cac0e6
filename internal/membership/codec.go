package membership

import (
	"fmt"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/membership/membershippb"
)

// ErrBadMessage is returned for an invalid message from another node.
const ErrBadMessage = failure.Kind("membership: bad message")

// maxNameBytes is the maximum length of names and addresses of members in a message.
const maxNameBytes = 128

// Encode returns the message in its wire format.
func (m Message) Encode() *membershippb.Message {
	encoded := &membershippb.Message{
		Kind:        uint32(m.kind),
		From:        string(m.from),
		FromZone:    string(m.fromZone),
		FromAddress: m.fromAddress,
		Sequence:    m.sequence,
		Target:      string(m.target),
		ContactAges: m.contactAges,
		ZoneSet:     m.zoneSet,
		FleetHash:   m.fleetHash,
	}
	for _, item := range m.members {
		encoded.Members = append(encoded.Members, encodeRecord(item))
	}
	for _, item := range m.revisions {
		encoded.Revisions = append(encoded.Revisions, &membershippb.Revision{
			Node: string(item.node), Incarnation: item.incarnation, Revision: item.revision,
		})
	}
	for _, item := range m.digests {
		encoded.Digests = append(encoded.Digests, &membershippb.ZoneDigest{Zone: string(item.zone), Hash: item.hash})
	}
	for _, item := range m.summaries {
		encoded.Summaries = append(encoded.Summaries, &membershippb.Summary{
			Node: string(item.node), Incarnation: item.incarnation, Health: uint32(item.health), Revision: item.revision,
		})
	}
	for _, item := range m.wants {
		encoded.Wants = append(encoded.Wants, string(item))
	}
	return encoded
}

func encodeRecord(item record) *membershippb.Member {
	return &membershippb.Member{
		Node:            string(item.node),
		Zone:            string(item.zone),
		Region:          string(item.region),
		PeerAddress:     item.peerAddress,
		CallerAddress:   item.callerAddress,
		Incarnation:     item.incarnation,
		Started:         item.started,
		Health:          uint32(item.health),
		Leaving:         item.leaving,
		HasDisk:         item.hasDisk,
		DiskIncarnation: item.disk,
		Revision:        item.revision,
	}
}

// Decode converts a message from its wire format. It returns ErrBadMessage if the message is invalid.
func Decode(encoded *membershippb.Message) (Message, error) {
	message := Message{
		kind:        Kind(encoded.GetKind()),
		from:        ident.Node(encoded.GetFrom()),
		fromZone:    ident.Zone(encoded.GetFromZone()),
		fromAddress: encoded.GetFromAddress(),
		sequence:    encoded.GetSequence(),
		target:      ident.Node(encoded.GetTarget()),
		contactAges: encoded.GetContactAges(),
		zoneSet:     encoded.GetZoneSet(),
		fleetHash:   encoded.GetFleetHash(),
	}
	if message.from == "" || message.fromZone == "" || encoded.GetKind() > uint32(KindRecords) {
		return Message{}, fmt.Errorf("%w: kind %d from %q", ErrBadMessage, encoded.GetKind(), message.from)
	}
	for _, item := range encoded.GetMembers() {
		decoded, err := decodeRecord(item)
		if err != nil {
			return Message{}, err
		}
		message.members = append(message.members, decoded)
	}
	for _, item := range encoded.GetRevisions() {
		message.revisions = append(message.revisions, revision{
			node: ident.Node(item.GetNode()), incarnation: item.GetIncarnation(), revision: item.GetRevision(),
		})
	}
	for _, item := range encoded.GetDigests() {
		message.digests = append(message.digests, zoneDigest{zone: ident.Zone(item.GetZone()), hash: item.GetHash()})
	}
	for _, item := range encoded.GetSummaries() {
		message.summaries = append(message.summaries, summary{
			node:        ident.Node(item.GetNode()),
			incarnation: item.GetIncarnation(),
			health:      health(min(item.GetHealth(), uint32(healthDead))),
			revision:    item.GetRevision(),
		})
	}
	for _, item := range encoded.GetWants() {
		message.wants = append(message.wants, ident.Node(item))
	}
	return message, nil
}

func decodeRecord(item *membershippb.Member) (record, error) {
	for _, text := range []string{item.GetNode(), item.GetZone(), item.GetPeerAddress()} {
		if text == "" || len(text) > maxNameBytes {
			return record{}, fmt.Errorf("%w: member %q", ErrBadMessage, item.GetNode())
		}
	}
	if len(item.GetRegion()) > maxNameBytes || len(item.GetCallerAddress()) > maxNameBytes || item.GetHealth() > uint32(healthDead) {
		return record{}, fmt.Errorf("%w: member %q", ErrBadMessage, item.GetNode())
	}
	return record{
		node:          ident.Node(item.GetNode()),
		zone:          ident.Zone(item.GetZone()),
		region:        ident.Region(item.GetRegion()),
		peerAddress:   item.GetPeerAddress(),
		callerAddress: item.GetCallerAddress(),
		incarnation:   item.GetIncarnation(),
		started:       item.GetStarted(),
		health:        health(item.GetHealth()),
		leaving:       item.GetLeaving(),
		hasDisk:       item.GetHasDisk(),
		disk:          item.GetDiskIncarnation(),
		revision:      item.GetRevision(),
	}, nil
}
