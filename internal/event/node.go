package event

import "github.com/rs/zerolog"

// Events of the node process: 1000 to 1099.
var (
	NodeStarted  = register(1000, "node_started", zerolog.InfoLevel, "The node serves its listeners.", "none")
	NodeStopping = register(1001, "node_stopping", zerolog.InfoLevel, "A planned stop began: new work is refused, streams finish or are handed over.", "none")
	NodeStopped  = register(1002, "node_stopped", zerolog.InfoLevel, "The node has stopped.", "none")
	NodeFailed   = register(1003, "node_failed", zerolog.ErrorLevel, "The node stopped on an error.", "read the error field; restart the node once it is mended")
)
