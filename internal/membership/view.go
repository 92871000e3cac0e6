package membership

import (
	"cmp"
	"slices"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// View is an immutable snapshot of the members as one node sees them.
type View struct {
	// Self is the node's own name and zone.
	Self ident.Node
	Zone ident.Zone
	// Members is ordered by node and includes the node itself and the dead that are still remembered.
	Members []Member
	// CutOff lists the known zones that can't be reached, in name order.
	CutOff []ident.Zone
	index  map[ident.Node]int
}

// View returns the snapshot of now.
func (c *Core) View() *View {
	view := &View{
		Self:    c.self.node,
		Zone:    c.self.zone,
		Members: make([]Member, 0, len(c.members)),
		index:   make(map[ident.Node]int, len(c.members)),
	}
	for _, stored := range c.members {
		view.Members = append(view.Members, stored.member(c.zoneReachable(stored.zone)))
	}
	slices.SortFunc(view.Members, func(first, second Member) int { return cmp.Compare(first.Node, second.Node) })
	for index, member := range view.Members {
		view.index[member.Node] = index
	}
	for _, zone := range c.zones {
		if !c.zoneReachable(zone) {
			view.CutOff = append(view.CutOff, zone)
		}
	}
	return view
}

// Member returns a member by name.
func (v *View) Member(node ident.Node) (Member, bool) {
	index, known := v.index[node]
	if !known {
		return Member{}, false
	}
	return v.Members[index], true
}

// Live returns the members of a zone that are alive, in name order; an empty zone means all zones.
func (v *View) Live(zone ident.Zone) []Member {
	var live []Member
	for _, member := range v.Members {
		if member.State == Alive && (zone == "" || member.Zone == zone) {
			live = append(live, member)
		}
	}
	return live
}
