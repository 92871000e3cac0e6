package event

import "github.com/rs/zerolog"

// Events of policies: 4100 to 4199.
var (
	PolicyFailed       = register(4100, "policy_failed", zerolog.WarnLevel, "A policy's program failed at run time; its documented default was used.", "run `mallowlatch policy test` with the values in the line, and fix the program")
	PolicyNotCompiling = register(4101, "policy_not_compiling", zerolog.ErrorLevel, "A policy in the configuration does not compile on this node, which runs another version; its documented default is used.", "bring all nodes to the same version, or apply a policy that both versions accept")
)
