package fairshare

import (
	"cmp"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// Turns gives turns to tenants so that what they get stays in proportion to their weights: the next is the one that has the least for its
// weight. What they have before the first turn counts.
type Turns struct {
	weight func(ident.Tenant) float64
	had    map[ident.Tenant]float64
}

// NewTurns returns turns of tenants that have nothing.
func NewTurns(weight func(ident.Tenant) float64) *Turns {
	return &Turns{weight: weight, had: map[ident.Tenant]float64{}}
}

// Had counts what a tenant has or gets.
func (t *Turns) Had(tenant ident.Tenant, amount int) {
	t.had[tenant] += float64(max(amount, 1)) / t.weight(tenant)
}

// Compare orders two tenants: the one whose turn is first.
func (t *Turns) Compare(first, second ident.Tenant) int {
	return cmp.Or(cmp.Compare(t.had[first], t.had[second]), cmp.Compare(first, second))
}

// InTurn returns some things in the order of their tenants' turns, those of one tenant in the order given. amount is what a thing counts
// for. With one tenant it returns the order given.
func InTurn[T any](turns *Turns, things []T, tenant func(T) ident.Tenant, amount func(T) int) []T {
	byTenant := map[ident.Tenant][]T{}
	var tenants []ident.Tenant
	for _, thing := range things {
		name := tenant(thing)
		if byTenant[name] == nil {
			tenants = append(tenants, name)
		}
		byTenant[name] = append(byTenant[name], thing)
	}
	if len(tenants) < 2 {
		return things
	}
	ordered := make([]T, 0, len(things))
	for len(tenants) > 0 {
		next := 0
		for position := range tenants {
			if turns.Compare(tenants[position], tenants[next]) < 0 {
				next = position
			}
		}
		name := tenants[next]
		thing := byTenant[name][0]
		ordered = append(ordered, thing)
		turns.Had(name, amount(thing))
		if byTenant[name] = byTenant[name][1:]; len(byTenant[name]) == 0 {
			tenants = append(tenants[:next], tenants[next+1:]...)
		}
	}
	return ordered
}
