package admission

import (
	"github.com/cespare/xxhash/v2"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// rendezvousWeight ranks a node for a limit; the node with the largest weight is the limit's home.
func rendezvousWeight(limit string, node ident.Node) uint64 {
	var hash xxhash.Digest
	hash.Reset()
	hash.WriteString(limit)
	hash.Write([]byte{0})
	hash.WriteString(string(node))
	return hash.Sum64()
}
