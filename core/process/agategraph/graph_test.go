package agategraph_test

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"agatereach/core/process/agategraph"
)

// TestLinksConnectAllEntries checks that the links connect the entries of a data
// centre and, given enough entries, all data centres; that an entry opens at most
// degree/2+1 links; and that the order of the nodes doesn't matter.
func TestLinksConnectAllEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		centres := rapid.IntRange(1, 4).Draw(t, "centres")
		nodes := make([]agategraph.Node, rapid.IntRange(centres, 60).Draw(t, "entries"))
		salt := rapid.IntRange(0, 1<<30).Draw(t, "salt")
		for i := range nodes {
			nodes[i] = agategraph.Node{Name: fmt.Sprintf("vm-%d-%d", salt, i), Centre: uint16(i%centres) + 1}
		}
		const degree = 6
		graph := agategraph.New(degree)
		shuffled := rapid.Permutation(nodes).Draw(t, "order")
		links := make(map[agategraph.Node][]agategraph.Node)
		local := make(map[agategraph.Node][]agategraph.Node)
		for _, n := range nodes {
			targets := graph.Targets(n, nodes)
			if !reflect.DeepEqual(targets, graph.Targets(n, shuffled)) {
				t.Fatal("the order of the nodes changes the targets")
			}
			if len(targets) > degree/2+1 {
				t.Fatalf("%d targets, want at most degree/2+1", len(targets))
			}
			for _, target := range targets {
				if target == n {
					t.Fatal("an entry links to itself")
				}
				links[n] = append(links[n], target)
				links[target] = append(links[target], n)
				if target.Centre == n.Centre {
					local[n] = append(local[n], target)
					local[target] = append(local[target], n)
				}
			}
		}
		if got := countReachable(nodes[0], links); got != len(nodes) && len(nodes) >= centres*(centres-1) {
			t.Fatalf("links connect %d of %d entries", got, len(nodes))
		}
		count := 0
		for _, n := range nodes {
			if n.Centre == nodes[0].Centre {
				count++
			}
		}
		if got := countReachable(nodes[0], local); got != count {
			t.Fatalf("links connect %d of %d entries of a data centre", got, count)
		}
	})
}

// countReachable returns the number of nodes that can be reached from the first
// one, itself included.
func countReachable(first agategraph.Node, links map[agategraph.Node][]agategraph.Node) int {
	visited := map[agategraph.Node]bool{first: true}
	for queue := []agategraph.Node{first}; len(queue) > 0; queue = queue[1:] {
		for _, next := range links[queue[0]] {
			if !visited[next] {
				visited[next] = true
				queue = append(queue, next)
			}
		}
	}
	return len(visited)
}
