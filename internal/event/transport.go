package event

import "github.com/rs/zerolog"

// Events of the transport between nodes: 5000 to 5049. The numbers 5003 and 5004 are retired.
var (
	TransportServing         = register(5000, "transport_serving", zerolog.InfoLevel, "The listener for other nodes is open.", "none")
	TransportStopped         = register(5001, "transport_stopped", zerolog.InfoLevel, "The listener for other nodes is closed and its calls have ended.", "none")
	TransportPeerRefused     = register(5002, "transport_peer_refused", zerolog.WarnLevel, "A connection from another node was refused: its certificate is missing, expired or of another authority.", "check the peer's certificate and clock")
	TransportConnectionLimit = register(5005, "transport_connection_limit", zerolog.WarnLevel, "A connection from another node was closed at once because the listener's limit is reached.", "check for a node that opens connections without closing them")
	TransportAcceptFailed    = register(5006, "transport_accept_failed", zerolog.WarnLevel, "A connection from another node could not be accepted because a resource of the process or the machine is short; the listener goes on after a moment.", "check the open descriptors of the process if it repeats")
)
