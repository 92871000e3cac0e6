package jobworker

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// tokenReportFraction is the fraction of a runner's memory from which on nodes are sent how much of it is taken. Below it,
// what one node sends between two reports does not fill the rest.
const tokenReportFraction = 0.5

// addTokens adds the memory use of a runner of which much is taken: by the requests of all nodes, by this node's items,
// and by those of workers that borrowed slots, which are assumed to be of mean size. The caller must hold the mutex.
func (w *Worker) addTokens(share *demand.Share, node ident.Node, now time.Time) {
	own, memory := w.Runners.MemoryUse(share.Runner)
	if memory == 0 {
		return
	}
	lent, _ := w.lent.LentAt(share.Runner, now)
	batch := own + int(float64(lent)*w.tokens)
	if float64(batch+w.demand.Tokens(share.Runner, "", now)) < tokenReportFraction*float64(memory) {
		return
	}
	share.Tokens, share.TokenCapacity = batch+w.demand.Tokens(share.Runner, node, now), memory
}
