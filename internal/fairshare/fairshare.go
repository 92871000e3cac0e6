// Package fairshare divides the places of a service among tenants while there are fewer than their requests want: each has its
// share by weight, and what one does not use goes to the others. One worker keeps account of a service, of what nodes tell, and
// bounds those that want more than their share, over all nodes; at each node a request beyond its tenant's bound yields to the
// others. No place is held empty for anybody. The package makes no calls; times are arguments.
package fairshare

import (
	"cmp"
	"math"
	"slices"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// mostRank bounds the ranks that are told apart.
const mostRank = 4

// Weight is the weight of a rank, zero the most urgent: half of that of the next more urgent one.
func Weight(rank int) float64 { return math.Exp2(-float64(min(max(rank, 0), mostRank))) }

// Claim is what one tenant takes and waits for.
type Claim struct {
	Tenant ident.Tenant
	// Weight is above zero.
	Weight float64
	// Wants are the places that its requests have and the requests that wait for one.
	Wants int
}

// Shares divides places in proportion to the weights of the claims; what a claim doesn't want goes to the others. It returns the
// share of each claim, in their order: what it wants, or less where that is more than its part.
func Shares(places float64, claims []Claim) []float64 {
	shares := make([]float64, len(claims))
	order := make([]int, len(claims))
	weights := 0.0
	for index, claim := range claims {
		order[index] = index
		weights += claim.Weight
	}
	// The one that wants the least for its weight is satisfied first; once one can't be, none after it can.
	slices.SortFunc(order, func(first, second int) int {
		return cmp.Compare(float64(claims[first].Wants)/claims[first].Weight, float64(claims[second].Wants)/claims[second].Weight)
	})
	left := max(places, 0)
	for _, index := range order {
		claim := claims[index]
		shares[index] = min(float64(claim.Wants), left*claim.Weight/weights)
		left -= shares[index]
		weights -= claim.Weight
	}
	return shares
}
