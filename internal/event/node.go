package event

import "github.com/rs/zerolog"

// Events of the node process: 1000 to 1099.
var (
	NodeStarted       = register(1000, "node_started", zerolog.InfoLevel, "The node serves its listeners.", "none")
	NodeStopping      = register(1001, "node_stopping", zerolog.InfoLevel, "A planned stop began: new work is refused; streams finish or are handed over.", "none")
	NodeStopped       = register(1002, "node_stopped", zerolog.InfoLevel, "The node has stopped.", "none")
	NodeFailed        = register(1003, "node_failed", zerolog.ErrorLevel, "The node stopped on an error.", "read the error field; restart the node once the cause is fixed")
	MachineListUnread = register(1004, "machine_list_unread", zerolog.WarnLevel, "The machine list could not be read; the last list read stays in use.", "check the machine list service; routing continues with engine reports and peers")
	NodeStopStep      = register(1006, "node_stop_step", zerolog.WarnLevel, "A step of a planned stop did not finish in time.", "none if the step is a drain that timed out; otherwise read the error field")
)
