package node

import (
	"mallowlatch.example/mallowlatch/internal/failure"
)

// errNoRunners means the node has not yet read a machine list with runners on it.
const errNoRunners = failure.Kind("node: no runners known")

// ready returns nil once the node can serve callers. A configuration is not asked for: a fresh fleet has none, and
// requests are then refused for their key.
func (n *Node) ready() error {
	if n.engines.empty() {
		return errNoRunners
	}
	return nil
}
