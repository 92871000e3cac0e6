// Package rendezvous lets nodes agree on who does a duty without talking: each ranks the candidates by a hash of the
// duty and the candidate, and the highest weight comes first. A candidate that comes or goes changes only the duties
// that it ranks first for.
//
// All nodes of a fleet must compute the same weights, also while two versions run side by side, so the hashed bytes
// must not change. Placements of stored data (shardhost.Places, jobstore.HomeShard) hash keys of their own.
package rendezvous

import (
	"cmp"
	"iter"

	"github.com/cespare/xxhash/v2"
)

// separator stands between the duty and the candidate in the hashed bytes. Names hold no zero byte, so no two pairs
// share them.
const separator = 0

// Weight returns the weight of a candidate for a duty: the 64-bit xxHash of the duty, a zero byte and the candidate.
func Weight[C ~string](duty string, candidate C) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(duty)
	_, _ = digest.Write([]byte{separator})
	_, _ = digest.WriteString(string(candidate))
	return digest.Sum64()
}

// Compare orders two candidates for a duty, for slices.SortFunc: the greater weight first, between equal weights the
// lesser name.
func Compare[C ~string](duty string, first, second C) int {
	if order := cmp.Compare(Weight(duty, second), Weight(duty, first)); order != 0 {
		return order
	}
	return cmp.Compare(first, second)
}

// First returns the candidate that Compare puts first for a duty, and false if there is none.
func First[C ~string](duty string, candidates iter.Seq[C]) (C, bool) {
	var best C
	var highest uint64
	found := false
	for candidate := range candidates {
		weight := Weight(duty, candidate)
		if !found || weight > highest || (weight == highest && candidate < best) {
			best, highest, found = candidate, weight, true
		}
	}
	return best, found
}
