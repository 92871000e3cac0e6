package event

import "github.com/rs/zerolog"

// Events of the administration API: 4200 to 4299.
var (
	AdminChangeAccepted = register(4200, "admin_change_accepted", zerolog.InfoLevel,
		"A configuration change was accepted; the line names its author, its resources and its revision.", "none")
	AdminChangeRefused = register(4201, "admin_change_refused", zerolog.InfoLevel,
		"A configuration change was refused and has no effect; the line names its author and the reason.", "none")
	AdminChangeUnknown = register(4202, "admin_change_unknown", zerolog.WarnLevel,
		"The key-value service did not report whether a change was accepted.",
		"resend it with the same Change-Id, or search for the id in `mallowlatch history`")
	AdminUnauthenticated = register(4203, "admin_unauthenticated", zerolog.WarnLevel,
		"A request to the administration API had no key, or an unknown one.", "investigate if it persists")
	AdminResourceSkipped = register(4204, "admin_resource_skipped", zerolog.ErrorLevel,
		"This node cannot read a resource of the accepted configuration, which a newer version wrote; the resource is ignored.",
		"upgrade this node")
)
