package agatesteer_test

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"agatereach/core/process/agatesteer"
	"agatereach/core/request/agateaddress"
	"agatereach/core/version/agateinstance"
	"agatereach/core/version/agatevip"
)

// goneWays are the orders of records after which an entry holds a living server for gone.
var goneWays = map[string]func(fx *fixture, own agateinstance.Instance){
	"lapsed": func(fx *fixture, own agateinstance.Instance) { fx.write(own, lapse) },
	"lapsed, its address in an earlier entry": func(fx *fixture, own agateinstance.Instance) {
		fx.write(own, lapse)
		fx.write(own, func(i *agateinstance.Instance) { i.ID, i.StartTime = 77, 2 })
	},
	"lapsed in the store's next era": func(fx *fixture, own agateinstance.Instance) {
		fx.write(own, func(i *agateinstance.Instance) { i.Era, i.State = 1, agateinstance.Gone })
	},
	"lapsed, begun to drain and lapsed": func(fx *fixture, own agateinstance.Instance) {
		fx.write(own, lapse)
		fx.write(own, func(i *agateinstance.Instance) { i.State = agateinstance.Draining })
		fx.write(own, lapse)
	},
	"former start elsewhere is later": func(fx *fixture, own agateinstance.Instance) {
		own.Revision, own.StartTime, own.Address = 1, 9, otherAddress
		fx.register(own)
	},
	"former start at its address is later": func(fx *fixture, own agateinstance.Instance) {
		own.Revision, own.StartTime = 1, 9
		fx.register(own)
	},
	"former start elsewhere is later, and lapsed": func(fx *fixture, own agateinstance.Instance) {
		own.Revision, own.StartTime, own.Address = 1, 9, otherAddress
		fx.register(own)
		fx.write(own, lapse)
	},
	"start time in the future elsewhere, overwritten": func(fx *fixture, own agateinstance.Instance) {
		fx.write(own, func(i *agateinstance.Instance) { i.StartTime, i.Address = 1<<40, otherAddress })
		fx.write(own, func(*agateinstance.Instance) {})
	},
	"start time in the future at its address": func(fx *fixture, own agateinstance.Instance) {
		fx.write(own, func(i *agateinstance.Instance) { i.StartTime = 1 << 40 })
		fx.write(own, func(*agateinstance.Instance) {})
	},
	"start time in the future at its address, of another service": func(fx *fixture, own agateinstance.Instance) {
		fx.write(own, func(i *agateinstance.Instance) { i.StartTime, i.Service = 1<<40, "unnamed" })
	},
}

// replacedWays are the ways in which another writer's entry holds a living server for gone
// and says that it has been replaced, until the server writes again.
var replacedWays = map[string]func(fx *fixture, own agateinstance.Instance){
	"start time in the future elsewhere": func(fx *fixture, own agateinstance.Instance) {
		fx.write(own, func(i *agateinstance.Instance) { i.StartTime, i.Address = 1<<40, otherAddress })
	},
	"lapsed, its address in a later entry": func(fx *fixture, own agateinstance.Instance) {
		fx.write(own, lapse)
		fx.write(own, func(i *agateinstance.Instance) { i.ID, i.StartTime = 77, 1<<40 })
	},
}

// allWays returns goneWays and replacedWays.
func allWays() map[string]func(fx *fixture, own agateinstance.Instance) {
	ways := maps.Clone(goneWays)
	maps.Copy(ways, replacedWays)
	return ways
}

// keptAt returns steps that check that each segment is passed on to an incarnation.
func keptAt(t testing.TB, to agateinstance.Instance, steps []step) []step {
	checked := make([]step, len(steps))
	for i, s := range steps {
		checked[i] = step{s.at, func() agatesteer.Verdict {
			t.Helper()
			v := s.do()
			expectForward(t, v, to)
			return v
		}}
	}
	return checked
}

// holdForGone calls run for each of the ways in which a living server is held for gone,
// with flows of two kinds that this or another entry has opened with it, each of a caller
// of its own. It gives run the server and what holds it for gone.
func holdForGone(t *testing.T, ways map[string]func(*fixture, agateinstance.Instance), flows int, run func(t *testing.T, fx *fixture, own agateinstance.Instance, calls []*callerFlow, hold func())) {
	for name, way := range ways {
		for _, to := range []agatevip.VIP{feeds, orders} {
			for origin, here := range map[string]bool{"opened here": true, "opened elsewhere": false} {
				t.Run(name+"/"+to.Name+"/"+origin, func(t *testing.T) {
					fx := newFixture(t)
					// Records of former starts are at revision 1.
					fx.revision++
					own := fx.write(fx.server(1, "a", agateinstance.Ready), func(i *agateinstance.Instance) { i.StartTime = 5 })
					var calls []*callerFlow
					for i := range flows {
						c := fx.openedElsewhere(own)
						if here {
							c = fx.newFlow(to)
						}
						c.flow.TargetPort = to.Address.Port()
						c.flow.Source[3] = byte(20 + i)
						if here {
							c.open()
						}
						calls = append(calls, c)
					}
					run(t, fx, own, calls, func() {
						way(fx, own)
						if held, _ := fx.catalog.Instance(own.Key); held.State != agateinstance.Gone {
							t.Fatalf("server is held as %q, want gone", held.State)
						}
					})
				})
			}
		}
	}
}

// TestServerHeldForGoneKeepsFlows guards against resets, moves and drops of the flows of a
// living server that is held for gone: it answers, it is slow, it is idle, its answers to
// one caller are lost, a copy of a SYN comes late, and its records come again in any order.
func TestServerHeldForGoneKeepsFlows(t *testing.T) {
	holdForGone(t, allWays(), 1, func(t *testing.T, fx *fixture, own agateinstance.Instance, calls []*callerFlow, hold func()) {
		c := calls[0]
		late := *c
		late.sequence, late.synCopies = 100, 1
		hold()
		steps := []step{{0, c.request}, {50 * ms, c.receiveResponse}}
		steps = append(steps, c.unansweredRequest(100*ms, 1)...)
		steps = append(steps, step{900 * ms, c.receiveResponse})
		steps = append(steps, c.unansweredRequest(time.Second, 3)...)
		steps = append(steps, step{3 * time.Second, c.receiveResponse}, step{15 * time.Second, c.request}, step{15100 * ms, c.receiveResponse})
		steps = keptAt(t, own, steps)
		steps = append(steps, fx.answeredElsewhere([]*callerFlow{c}, 3*time.Second)...)
		steps = append(steps, step{3500 * ms, func() agatesteer.Verdict {
			if v := late.syn(); v.Action == agatesteer.Reset {
				t.Errorf("late copy of the SYN: reset (%s)", v.Reason)
			}
			return agatesteer.Verdict{}
		}}, step{4 * time.Second, func() agatesteer.Verdict {
			hold()
			return agatesteer.Verdict{}
		}})
		if resets := fx.play(16*time.Second, false, steps); len(resets) > 0 {
			t.Errorf("%d flows were reset, want 0", len(resets))
		}
	})
}

// lostAnswers returns the steps of requests of all flows but the last, whose callers get
// nothing from the server while another one answers them, and of a slow one on the last.
func (fx *fixture) lostAnswers(t testing.TB, own agateinstance.Instance, calls []*callerFlow) []step {
	lost, slow := calls[:len(calls)-1], calls[len(calls)-1]
	steps := keptAt(t, own, append(silentRequests(lost), slow.unansweredRequest(700*ms, 1)...))
	return append(steps, fx.answeredElsewhere(lost, 1500*ms)...)
}

// TestWitnessesAgainstServerHeldForGone guards against resets of a living server's flows on
// two witnesses because it is held for gone.
func TestWitnessesAgainstServerHeldForGone(t *testing.T) {
	holdForGone(t, goneWays, 3, func(t *testing.T, fx *fixture, own agateinstance.Instance, calls []*callerFlow, hold func()) {
		fx.run(time.Second)
		hold()
		if resets := fx.play(2*time.Second, false, fx.lostAnswers(t, own, calls)); len(resets) > 0 {
			t.Errorf("%d flows were reset, want 0", len(resets))
		}
	})
}

// TestOddEntryIsNoWitness guards against resets of a living server's flows on two witnesses
// because another writer's entry says that it has been replaced, until it writes again.
func TestOddEntryIsNoWitness(t *testing.T) {
	const beat = 1200 * ms
	holdForGone(t, replacedWays, 3, func(t *testing.T, fx *fixture, own agateinstance.Instance, calls []*callerFlow, hold func()) {
		fx.run(time.Second)
		hold()
		steps := append(fx.lostAnswers(t, own, calls), step{beat, func() agatesteer.Verdict {
			fx.write(own, func(*agateinstance.Instance) {})
			return agatesteer.Verdict{}
		}})
		if resets := fx.play(2*time.Second, false, steps); len(resets) > 0 {
			t.Errorf("%d flows were reset, want 0", len(resets))
		}
	})
}

// TestHandshakeWithServerHeldForGone guards against losing a flow that opens with a living
// server while that is held for gone: its SYN had been passed on, and a copy goes elsewhere.
func TestHandshakeWithServerHeldForGone(t *testing.T) {
	for name, way := range allWays() {
		for copied, copies := range map[string]int{"no copy": 0, "two copies": 2} {
			t.Run(name+"/"+copied, func(t *testing.T) {
				fx := newFixture(t)
				fx.revision++
				own := fx.write(fx.server(1, "a", agateinstance.Ready), func(i *agateinstance.Instance) { i.StartTime = 5 })
				c := fx.newFlow(feeds)
				first := c.syn()
				expectForward(t, first, own)
				way(fx, own)
				fx.server(2, "a", agateinstance.Ready)
				for range copies {
					fx.run(200 * ms)
					c.syn()
				}
				expectForward(t, c.accept(first), own)
				for range 3 {
					c.exchange(t, own)
					if resets := fx.run(2 * time.Second); len(resets) > 0 {
						t.Errorf("reset (%s)", resets[0].Reason)
					}
				}
			})
		}
	}
}

// TestAddressOfServerHeldForGone guards against sending a living server's segments to a
// server that is registered at the address of a made-up start under its id.
func TestAddressOfServerHeldForGone(t *testing.T) {
	fx := newFixture(t)
	own := fx.server(1, "a", agateinstance.Ready)
	c := fx.newFlow(orders)
	c.open()
	elsewhere := agateaddress.Address{IP: [4]byte{10, 0, 0, 2}, Port: 80}
	fx.write(own, func(i *agateinstance.Instance) { i.StartTime, i.Address = 1<<40, elsewhere })
	fx.server(2, "a", agateinstance.Ready)
	for range 3 {
		c.exchange(t, own)
		fx.run(time.Second)
	}
}

// TestRecordsOfOthersEndNoFlow guards against resets, moves and drops of a living server's
// flow by records of other writers or of former starts with any start time, under its id or
// at its address, which reach the entry in any order with the server's own.
func TestRecordsOfOthersEndNoFlow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fx := newFixture(t)
		own := agateinstance.Instance{Key: keyOf(1), Service: "map", Centre: "a", Slots: 3, State: agateinstance.Ready}
		own.StartTime = 5
		fx.write(own, func(*agateinstance.Instance) {})
		c := fx.openedElsewhere(own)
		written := []agateinstance.Instance{own}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			record := own
			if rapid.Bool().Draw(rt, "other") {
				record.ID = rapid.Uint64Range(1, 2).Draw(rt, "id")
				record.StartTime = rapid.SampledFrom([]int64{1, 4, 6, 1 << 40}).Draw(rt, "start")
				record.Address = rapid.SampledFrom([]agateaddress.Address{own.Address, otherAddress}).Draw(rt, "address")
				record.Service = rapid.SampledFrom([]string{"map", "unnamed"}).Draw(rt, "service")
			}
			record.State = rapid.SampledFrom([]agateinstance.State{agateinstance.Ready, agateinstance.Draining, agateinstance.Gone}).Draw(rt, "state")
			record.Era = uint32(rapid.IntRange(0, 1).Draw(rt, "era"))
			record.Revision = int64(len(written) + 1)
			written = append(written, record)
			fx.register(rapid.SampledFrom(written).Draw(rt, "record"))
			if rapid.IntRange(0, 3).Draw(rt, "copy") == 0 {
				fx.run(200 * ms)
				c.retransmit()
			}
			for _, v := range []agatesteer.Verdict{c.request(), c.receiveResponse()} {
				if v.Action != agatesteer.Forward || v.Address != own.Address.AddrPort() || v.Server != own.ID {
					rt.Fatalf("%s (%s) to %x at %s, want forward to %x at %s", v.Action, v.Reason, v.Server, v.Address, own.ID, own.Address)
				}
			}
			for _, v := range fx.run(100 * ms) {
				rt.Fatalf("reset (%s) by the clock", v.Reason)
			}
		}
	})
}
