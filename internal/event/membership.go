package event

import "github.com/rs/zerolog"

// Events of the membership: 5050 to 5099.
var (
	MemberAlive     = register(5050, "member_alive", zerolog.InfoLevel, "A node of the same zone joined or came back.", "none")
	MemberLeaving   = register(5051, "member_leaving", zerolog.InfoLevel, "A node of the same zone announced a planned stop.", "none")
	MemberSuspect   = register(5052, "member_suspect", zerolog.InfoLevel, "A node of the same zone did not answer probes; it has a few seconds to refute the suspicion.", "none; check the node and its network if it persists")
	MemberDead      = register(5053, "member_dead", zerolog.WarnLevel, "A node of the same zone was declared dead, or has left.", "replace the machine if it did not leave as planned")
	ZoneCutOff      = register(5054, "zone_cut_off", zerolog.WarnLevel, "No node of this zone has been in contact with the other zone for ten seconds.", "check the link between the zones; see docs/operators/cut-off-zone.md")
	ZoneReached     = register(5055, "zone_reached", zerolog.InfoLevel, "This zone is in contact with the other zone.", "none")
	MemberRefused   = register(5056, "member_message_refused", zerolog.WarnLevel, "A message was refused: its sender is not the node that the certificate names, or its content is invalid.", "check for two nodes with the same name or certificate")
	MembershipEnded = register(5057, "membership_left", zerolog.InfoLevel, "This node has notified its peers that it has left.", "none")
)
