package event

import "github.com/rs/zerolog"

// Events of the membership: 5050 to 5099.
var (
	MemberAlive     = register(5050, "member_alive", zerolog.InfoLevel, "A node of the own zone joined or came back.", "none")
	MemberLeaving   = register(5051, "member_leaving", zerolog.InfoLevel, "A node of the own zone announced a planned stop.", "none")
	MemberSuspect   = register(5052, "member_suspect", zerolog.InfoLevel, "A node of the own zone did not answer probes; it has a few seconds to refute.", "none; look at the node and its network if it goes on")
	MemberDead      = register(5053, "member_dead", zerolog.WarnLevel, "A node of the own zone is given up, or has left.", "replace the machine if it did not leave by plan")
	ZoneCutOff      = register(5054, "zone_cut_off", zerolog.WarnLevel, "No node of the own zone has been in contact with the other zone for ten seconds.", "check the link between the zones; see docs/operators/cut-off-zone.md")
	ZoneReached     = register(5055, "zone_reached", zerolog.InfoLevel, "The own zone is in contact with the other zone.", "none")
	MemberRefused   = register(5056, "member_message_refused", zerolog.WarnLevel, "A message was refused: its sender isn't the node that the certificate names, or it makes no sense.", "look for two nodes with one name or certificate")
	MembershipEnded = register(5057, "membership_left", zerolog.InfoLevel, "This node has told its peers that it is gone.", "none")
)
