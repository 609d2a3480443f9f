package agatesteer_test

import (
	"testing"

	"agatereach/core/process/agatesteer"
	"agatereach/core/version/agateinstance"
)

// TestDuplicateSYNOfUnknownFlowEndsNoFlow guards against resets of an open flow because a
// duplicate of its first SYN comes to an entry that hasn't seen the flow and has no server
// for it: its catalog is the newest one, but what is registered under the id of the flow's
// server is another writer's, which can't be read or says that the server is draining.
func TestDuplicateSYNOfUnknownFlowEndsNoFlow(t *testing.T) {
	for _, readable := range []bool{false, true} {
		fx := newFixture(t)
		own := agateinstance.Instance{Key: keyOf(1), Service: "map", Centre: "a", Slots: 3, State: agateinstance.Ready}
		if readable {
			fx.write(own, func(i *agateinstance.Instance) { i.State = agateinstance.Draining })
		}
		duplicate := *fx.openedElsewhere(own)
		duplicate.sequence, duplicate.synCopies = 100, 0
		if v := duplicate.syn(); v.Action == agatesteer.Reset {
			t.Errorf("readable %t: the duplicate was answered by a reset (%s)", readable, v.Reason)
		}
	}
}

// TestDuplicateSYNAfterDroppedCopyEndsNoFlow guards against resets of an open flow because a
// duplicate of its first SYN comes after a copy of it for which the entry had no server: the
// entry has forwarded the first SYN, or at least seen the copy.
func TestDuplicateSYNAfterDroppedCopyEndsNoFlow(t *testing.T) {
	for _, forwarded := range []bool{true, false} {
		fx := newFixture(t)
		fx.server(1, "a", agateinstance.Ready)
		c := fx.newFlow(feeds)
		duplicate := *c
		c.synCopies = 1
		if forwarded {
			c.synCopies = 0
			c.syn()
		}
		fx.server(1, "a", agateinstance.Draining)
		fx.run(200 * ms)
		if v := c.syn(); v.Action != agatesteer.Drop {
			t.Errorf("forwarded %t: copy: %s (%s), want drop", forwarded, v.Action, v.Reason)
		}
		if v := duplicate.syn(); v.Action == agatesteer.Reset {
			t.Errorf("forwarded %t: the duplicate was answered by a reset (%s)", forwarded, v.Reason)
		}
	}
}
