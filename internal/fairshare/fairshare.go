// Package fairshare divides the slots of a service among tenants while there are fewer than their requests want.
// Each tenant has a share by weight, and what one does not use goes to the others. One worker is the account
// holder of a service: it records what nodes report and bounds the tenants that want more than their share, over
// all nodes. At each node a request beyond its tenant's bound yields to the others. No slot is reserved. The
// package also orders work of several tenants by weight. It makes no calls; times are arguments.
package fairshare

import (
	"cmp"
	"math"
	"slices"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// maxRank is the highest rank with a weight of its own; higher ranks weigh the same.
const maxRank = 4

// Weight returns the weight of a rank. Rank zero is the most urgent; each further rank weighs half as much.
func Weight(rank int) float64 { return math.Exp2(-float64(min(max(rank, 0), maxRank))) }

// Claim is the demand of one tenant.
type Claim struct {
	Tenant ident.Tenant
	// Weight is positive.
	Weight float64
	// Wants is the number of slots in use by its requests plus the number of its waiting requests.
	Wants int
}

// Shares divides slots in proportion to the weights of the claims; what a claim does not want goes to the others.
// It returns the share of each claim, in the order of the claims: at most what it wants.
func Shares(slots float64, claims []Claim) []float64 {
	shares := make([]float64, len(claims))
	order := make([]int, len(claims))
	weights := 0.0
	for index, claim := range claims {
		order[index] = index
		weights += claim.Weight
	}
	// Claims are satisfied in the order of demand per weight. Once one cannot be satisfied, none after it can.
	slices.SortFunc(order, func(first, second int) int {
		return cmp.Compare(float64(claims[first].Wants)/claims[first].Weight, float64(claims[second].Wants)/claims[second].Weight)
	})
	remaining := max(slots, 0)
	for _, index := range order {
		claim := claims[index]
		shares[index] = min(float64(claim.Wants), remaining*claim.Weight/weights)
		remaining -= shares[index]
		weights -= claim.Weight
	}
	return shares
}
