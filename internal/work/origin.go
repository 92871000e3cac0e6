package work

import "mallowlatch.example/mallowlatch/internal/ident"

// Origin is where the first event of a stream, or of an item's output, came from. Only runners of the same service and software version can
// go on with it.
type Origin struct {
	Service string  `json:"service"`
	Version Version `json:"version,omitempty"`
	// Runner is the incarnation that sent the first event. It is set only if the version is unknown.
	Runner ident.Incarnation `json:"runner,omitempty"`
}

// OriginOf returns the origin of what a runner begins.
func OriginOf(runner Runner) Origin {
	if runner.Version == "" {
		return Origin{Service: runner.Service, Runner: runner.ID}
	}
	return Origin{Service: runner.Service, Version: runner.Version}
}

// Permits reports whether a runner may go on with what began here. If the version is unknown, only the same incarnation may.
func (o Origin) Permits(runner Runner) bool {
	if runner.Service != o.Service || runner.Version != o.Version {
		return false
	}
	return o.Version != "" || runner.ID == o.Runner
}
