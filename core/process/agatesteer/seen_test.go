package agatesteer_test

import (
	"testing"

	"agatereach/core/process/agatesteer"
	"agatereach/core/version/agateinstance"
)

// expectNoRefusal sends a request of a flow that was opened through another entry, with a
// server that is registered as changed, and checks that a duplicate of the flow's first SYN
// isn't answered by a reset where no server takes new flows.
func expectNoRefusal(t *testing.T, change func(*agateinstance.Instance)) {
	t.Helper()
	fx := newFixture(t)
	own := agateinstance.Instance{Key: keyOf(1), Service: "map", Centre: "a", Slots: 3, State: agateinstance.Ready}
	fx.write(own, change)
	c := fx.openedElsewhere(own)
	c.request()
	c.receiveResponse()
	fx.run(50 * ms)
	duplicate := *c
	duplicate.sequence, duplicate.synCopies = 100, 0
	if v := duplicate.syn(); v.Action == agatesteer.Reset {
		t.Errorf("the duplicate was answered by a reset (%s)", v.Reason)
	}
	c.request()
}

// TestDuplicateSYNOfFlowSeenByDataEndsNoFlow guards against resets of an open flow because a
// duplicate of its first SYN comes to an entry that has passed on segments of the flow but
// not its SYN.
func TestDuplicateSYNOfFlowSeenByDataEndsNoFlow(t *testing.T) {
	expectNoRefusal(t, func(i *agateinstance.Instance) { i.State = agateinstance.Draining })
}

// TestDuplicateSYNOfForeignFlowEndsNoFlow guards against the same at an entry that has
// dropped the flow's segments, since it knows only another writer's entry of the server.
func TestDuplicateSYNOfForeignFlowEndsNoFlow(t *testing.T) {
	expectNoRefusal(t, func(i *agateinstance.Instance) { i.State, i.Address = agateinstance.Draining, otherAddress })
}
