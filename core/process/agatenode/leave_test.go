package agatenode_test

import (
	"fmt"
	"testing"
	"time"
)

// TestLeavingNodeFollows guards against a process that serves by outdated tickets while it
// leaves: one whose links the others give up, and one whose links break.
func TestLeavingNodeFollows(t *testing.T) {
	const entries = 6
	for _, broken := range []bool{false, true} {
		for i := range entries {
			t.Run(fmt.Sprintf("%d broken %t", i, broken), func(t *testing.T) {
				f := newFleet(3, entries/3, t.Errorf)
				f.publish("first")
				f.run(60 * time.Second)
				leaver := f.places[i]
				leaver.node.Leave(f.now, nil)
				f.run(2 * time.Second)
				if broken {
					f.unlink(func(a, b *place) bool { return a == leaver || b == leaver })
					f.run(time.Second)
				} else {
					f.run(40 * time.Second)
				}
				f.publish("second")
				f.run(5 * time.Second)
				if upto := leaver.node.State().Upto(); upto != f.head() {
					t.Errorf("it holds tickets up to %d, want %d", upto, f.head())
				}
			})
		}
	}
}
