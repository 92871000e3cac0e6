package work

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// Origin is where the first event of a stream, or of an item's output, came from. Only runners of the same service and software version can
// go on with it.
type Origin struct {
	Service string  `json:"service"`
	Version Version `json:"version,omitempty"`
	// Runner is the incarnation that the node took for the sender of the first event, and BeganMs when that event came, in Unix milliseconds
	// by the clock of that node. They are set only if the version is unknown, or if the runner's name may be used again.
	Runner  ident.Incarnation `json:"runner,omitempty"`
	BeganMs int64             `json:"began_ms,omitempty"`
}

// OriginOf returns the origin of what a runner begins at a date.
func OriginOf(runner Runner, date time.Time) Origin {
	origin := Origin{Service: runner.Service, Version: runner.Version}
	if _, hasStart := runner.ID.Started(); hasStart || runner.Version == "" {
		origin.Runner, origin.BeganMs = runner.ID, date.UnixMilli()
	}
	return origin
}

// Permits reports whether a runner may go on with what began here. If the version is unknown, only the same incarnation may.
func (o Origin) Permits(runner Runner) bool {
	if runner.Service != o.Service || runner.Version != o.Version {
		return false
	}
	return o.Version != "" || runner.ID == o.Runner
}
