package event

import "github.com/rs/zerolog"

// Events of configuration distribution: 4000 to 4099.
var (
	ConfigInForce = register(4000, "config_in_force", zerolog.InfoLevel,
		"A newer configuration revision is active on this node.", "none")
	ConfigDecodeFailed = register(4001, "config_decode_failed", zerolog.ErrorLevel,
		"The newest configuration cannot be decoded; the node serves from the last one that could be decoded.",
		"upgrade this node, or roll the configuration back")
	ConfigDiverged = register(4002, "config_diverged", zerolog.ErrorLevel,
		"The key-value service returned a different history for a revision this node has stored: the service has lost accepted changes.",
		"see docs/operators/key-value-outage.md, section on a restored service")
	ConfigFollowFailed = register(4003, "config_follow_failed", zerolog.WarnLevel,
		"This relay cannot watch the key-value service and retries; it still receives changes from other nodes.",
		"check the key-value service if it persists")
	ConfigFollowing = register(4004, "config_following", zerolog.InfoLevel,
		"This node is a relay of its zone and watches the key-value service.", "none")
	ConfigSaveFailed = register(4005, "config_save_failed", zerolog.WarnLevel,
		"The local copy of the configuration could not be saved in the data folder; after a restart the node fetches it from its peers.", "check the disk")
	ConfigLoadFailed = register(4006, "config_load_failed", zerolog.WarnLevel,
		"The saved copy of the configuration could not be read and is ignored; the node fetches it from its peers.", "none")
)
