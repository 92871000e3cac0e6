package event

import "github.com/rs/zerolog"

// Events of the administration API: 4200 to 4299.
var (
	AdminChangeAccepted = register(4200, "admin_change_accepted", zerolog.InfoLevel,
		"A change of configuration was accepted; the line names its author, its resources and its revision.", "none")
	AdminChangeRefused = register(4201, "admin_change_refused", zerolog.InfoLevel,
		"A change of configuration was refused and has no effect; the line names its author and the reason.", "none")
	AdminChangeUnknown = register(4202, "admin_change_unknown", zerolog.WarnLevel,
		"The key-value service did not say whether a change was accepted.",
		"send it again with the same Change-Id, or look for the id in `mallowlatch history`")
	AdminUnauthenticated = register(4203, "admin_unauthenticated", zerolog.WarnLevel,
		"A request to the administration API had no key, or an unknown one.", "look into it if it goes on")
	AdminResourceSkipped = register(4204, "admin_resource_skipped", zerolog.ErrorLevel,
		"A resource of the accepted configuration cannot be read by this node and is left out; a newer program wrote it.",
		"upgrade this node")
)
