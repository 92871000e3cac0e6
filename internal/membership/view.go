package membership

import (
	"cmp"
	"slices"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// View is an immutable snapshot of the members known to one node.
type View struct {
	// Self and Zone are the name and zone of the node that took the snapshot.
	Self ident.Node
	Zone ident.Zone
	// Members is sorted by node and includes the node itself and dead members whose tombstones are retained.
	Members []Member
	// CutOff lists the known zones that are unreachable, sorted by name.
	CutOff []ident.Zone
	index  map[ident.Node]int
}

// View returns a snapshot of the current members.
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

// Live returns the members of a zone that are alive, sorted by name; an empty zone selects all zones.
func (v *View) Live(zone ident.Zone) []Member {
	var live []Member
	for _, member := range v.Members {
		if member.State == Alive && (zone == "" || member.Zone == zone) {
			live = append(live, member)
		}
	}
	return live
}
