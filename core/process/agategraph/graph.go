// Package agategraph selects the entries that an entry opens links to. The links
// form a sparse random graph within each data centre, with a few links between
// data centres.
package agategraph

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Graph selects links for a given mean degree.
type Graph struct {
	// degree is the mean number of links of an entry within its data centre,
	// both opened and accepted; at least 2.
	degree int
}

// Node is an entry that can be linked to.
type Node struct {
	// Name is the name of its VM.
	Name string
	// Centre is the number of its data centre.
	Centre uint16
}

// hashedNode is a node with the hash that it is sorted by.
type hashedNode struct {
	node Node
	hash uint64
}

// New returns a graph with the given mean degree, at least 2.
func New(degree int) Graph { return Graph{degree: max(degree, 2)} }

// MaxLinks returns the maximum number of links of an entry.
func (g Graph) MaxLinks() int { return 8 * g.degree }

// Targets returns the nodes that self opens links to: the next one on a hash
// ring of its data centre, which keeps the graph connected, others of the data
// centre chosen by hash, and one of another data centre. The targets depend only
// on the set of nodes, not on their order.
func (g Graph) Targets(self Node, nodes []Node) []Node {
	var hasNodes [1 << 16]bool
	var local []Node
	for _, n := range nodes {
		hasNodes[n.Centre] = true
		if n.Centre == self.Centre && n.Name != self.Name {
			local = append(local, n)
		}
	}
	hasNodes[self.Centre] = false
	ring := sortByHash("", local)
	targets := g.localTargets(self, local, ring)
	var centres []uint16
	for number, found := range hasNodes {
		if found {
			centres = append(centres, uint16(number))
		}
	}
	if len(centres) == 0 {
		return targets
	}
	return append(targets, remoteTarget(self, nodes, centres[ringIndex(self, ring)%len(centres)]))
}

// ringIndex returns the position of self on the ring of the other nodes.
func ringIndex(self Node, ring []hashedNode) int {
	hashed := hashedNode{node: self, hash: xxhash.Sum64String(self.Name)}
	at, _ := slices.BinarySearchFunc(ring, hashed, compare)
	return at
}

// localTargets returns the targets within the data centre. nodes and ring hold
// its other nodes.
func (g Graph) localTargets(self Node, nodes []Node, ring []hashedNode) []Node {
	if len(nodes) == 0 {
		return nil
	}
	targets := []Node{ring[ringIndex(self, ring)%len(ring)].node}
	for _, r := range sortByHash(self.Name, nodes) {
		if len(targets) >= (g.degree+1)/2 {
			break
		}
		if r.node != targets[0] {
			targets = append(targets, r.node)
		}
	}
	return targets
}

// remoteTarget returns the target in the given other data centre, which has at
// least one node. Targets selects that data centre by the position of self on the
// ring, so that the entries of a data centre are distributed over the others.
func remoteTarget(self Node, nodes []Node, centre uint16) Node {
	var best hashedNode
	for _, n := range nodes {
		if n.Centre != centre {
			continue
		}
		r := hashedNode{node: n, hash: xxhash.Sum64String(self.Name + n.Name)}
		if best.node.Name == "" || compare(r, best) < 0 {
			best = r
		}
	}
	return best.node
}

// sortByHash returns the nodes sorted by the hash of salt and name.
func sortByHash(salt string, nodes []Node) []hashedNode {
	list := make([]hashedNode, len(nodes))
	for i, n := range nodes {
		list[i] = hashedNode{node: n, hash: xxhash.Sum64String(salt + n.Name)}
	}
	slices.SortFunc(list, compare)
	return list
}

// compare orders nodes by hash, then by name.
func compare(a, b hashedNode) int {
	if a.hash != b.hash {
		return cmp.Compare(a.hash, b.hash)
	}
	return cmp.Compare(a.node.Name, b.node.Name)
}
