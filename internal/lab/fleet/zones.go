package fleet

// Crossing is a link and the processes whose connections through it cross the border of a zone.
type Crossing struct {
	Link *StandIn
	// Senders are the nodes on the other side of the border than what the link leads to. Only nodes open connections
	// through links.
	Senders []Node
}

// links returns every link of the fleet.
func (f *Fleet) links() []*StandIn {
	var links []*StandIn
	if f.KVLink != nil {
		links = append(links, f.KVLink)
	}
	for _, engine := range f.Engines {
		if engine.Link != nil {
			links = append(links, engine.Link)
		}
	}
	for _, node := range f.Nodes {
		if node.Link != nil {
			links = append(links, node.Link)
		}
	}
	return links
}

// Border returns every way between a zone and the others, in both directions, and with keyValue those of the zone's nodes
// to the key-value service too.
func (f *Fleet) Border(zone string, keyValue bool) []Crossing {
	var inside, outside []Node
	for _, node := range f.Nodes {
		if node.Zone == zone {
			inside = append(inside, node)
		} else {
			outside = append(outside, node)
		}
	}
	senders := func(target string) []Node {
		if target == zone {
			return outside
		}
		return inside
	}
	var crossings []Crossing
	for _, node := range f.Nodes {
		crossings = append(crossings, Crossing{Link: node.Link, Senders: senders(node.Zone)})
	}
	for _, engine := range f.Engines {
		crossings = append(crossings, Crossing{Link: engine.Link, Senders: senders(engine.Zone)})
	}
	if keyValue {
		crossings = append(crossings, Crossing{Link: f.KVLink, Senders: inside})
	}
	return crossings
}
