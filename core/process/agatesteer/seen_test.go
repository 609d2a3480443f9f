package agatesteer_test

import (
	"testing"

	"agatereach/core/process/agatesteer"
	"agatereach/core/version/agateinstance"
)

// TestDuplicateSYNOfFlowSeenByDataEndsNoFlow guards against resets of an open flow because a
// duplicate of its first SYN comes to an entry that has passed on, or dropped, segments of the
// flow but not its SYN, and has no server for new flows.
func TestDuplicateSYNOfFlowSeenByDataEndsNoFlow(t *testing.T) {
	for name, odd := range map[string]bool{"draining": false, "known by another writer's entry": true} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			own := agateinstance.Instance{Key: keyOf(1), Service: "map", Centre: "a", Slots: 3, State: agateinstance.Ready}
			fx.write(own, func(i *agateinstance.Instance) {
				i.State = agateinstance.Draining
				if odd {
					i.Address = otherAddress
				}
			})
			c := fx.openedElsewhere(own)
			c.request()
			c.receiveResponse()
			fx.run(50 * ms)
			duplicate := *c
			duplicate.sequence, duplicate.synCopies = 100, 0
			if v := duplicate.syn(); v.Action == agatesteer.Reset {
				t.Errorf("the duplicate was answered by a reset (%s)", v.Reason)
			}
		})
	}
}
