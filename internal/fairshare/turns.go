package fairshare

import (
	"cmp"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// WeightedScheduler schedules tenants so that what they receive stays in proportion to their weights: the next one is the
// tenant that has received the least for its weight. Amounts recorded before the first turn count too.
type WeightedScheduler struct {
	weight   func(ident.Tenant) float64
	consumed map[ident.Tenant]float64
}

// NewWeightedScheduler returns a WeightedScheduler in which no tenant has received anything.
func NewWeightedScheduler(weight func(ident.Tenant) float64) *WeightedScheduler {
	return &WeightedScheduler{weight: weight, consumed: map[ident.Tenant]float64{}}
}

// Charge adds to the amount that a tenant has received.
func (t *WeightedScheduler) Charge(tenant ident.Tenant, amount int) {
	t.consumed[tenant] += float64(max(amount, 1)) / t.weight(tenant)
}

// Compare orders two tenants by their next turn.
func (t *WeightedScheduler) Compare(first, second ident.Tenant) int {
	return cmp.Or(cmp.Compare(t.consumed[first], t.consumed[second]), cmp.Compare(first, second))
}

// Interleave returns elements in the order of their tenants' turns; those of one tenant keep the given order. amount
// returns the cost of an element. If there is only one tenant, Interleave returns the given order and records nothing.
func Interleave[T any](scheduler *WeightedScheduler, elements []T, tenant func(T) ident.Tenant, amount func(T) int) []T {
	byTenant := map[ident.Tenant][]T{}
	var tenants []ident.Tenant
	for _, element := range elements {
		name := tenant(element)
		if byTenant[name] == nil {
			tenants = append(tenants, name)
		}
		byTenant[name] = append(byTenant[name], element)
	}
	if len(tenants) < 2 {
		return elements
	}
	ordered := make([]T, 0, len(elements))
	for len(tenants) > 0 {
		next := 0
		for index := range tenants {
			if scheduler.Compare(tenants[index], tenants[next]) < 0 {
				next = index
			}
		}
		name := tenants[next]
		element := byTenant[name][0]
		ordered = append(ordered, element)
		scheduler.Charge(name, amount(element))
		if byTenant[name] = byTenant[name][1:]; len(byTenant[name]) == 0 {
			tenants = append(tenants[:next], tenants[next+1:]...)
		}
	}
	return ordered
}
