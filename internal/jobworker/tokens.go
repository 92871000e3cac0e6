package jobworker

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// tellTokensFrom is the part of a runner's memory from which on nodes are told how much of it is taken: below, what one node sends in the
// time of a report does not fill the rest.
const tellTokensFrom = 0.5

// fillTokens tells of a runner's memory where much of it is taken: by the requests of all nodes, by this node's items, and by those of
// workers that borrowed places, which are thought to be as large. The caller holds the mutex.
func (w *Worker) fillTokens(share *demand.Share, asking ident.Node, now time.Time) {
	own, memory := w.Runners.Tokens(share.Runner)
	if memory == 0 {
		return
	}
	lent, _ := w.lent.At(share.Runner, now)
	batch := own + int(float64(lent)*w.tokens)
	if float64(batch+w.demand.Tokens(share.Runner, "", now)) < tellTokensFrom*float64(memory) {
		return
	}
	share.Tokens, share.Memory = batch+w.demand.Tokens(share.Runner, asking, now), memory
}
