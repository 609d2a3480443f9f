package agateschedule_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"agatereach/core/process/agateschedule"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_800_000_000, 0)

func target(server uint32, incarnation uint64) agateschedule.Target {
	return agateschedule.Target{
		Server: server, Incarnation: incarnation, Health: netip.MustParseAddrPort("127.1.0.9:80"),
	}
}

// TestShare checks that each server is probed by exactly Probers entries, or by
// all entries of a data centre that has fewer.
func TestShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := make([]string, rapid.IntRange(1, 40).Draw(t, "entries"))
		for i := range vms {
			vms[i] = fmt.Sprint("vm-", i)
		}
		server := rapid.Uint32().Draw(t, "server")
		probers := 0
		for _, vm := range vms {
			if agateschedule.NewShare(vm, vms).Has(server) {
				probers++
			}
		}
		if want := min(len(vms), agateschedule.Probers); probers != want {
			t.Fatalf("server %d is probed by %d of %d entries", server, probers, len(vms))
		}
	})
}

// TestSchedule checks that a new target or incarnation is due at once, a
// confirmed one within 1.5 times confirmedInterval, one that failed within 1.5
// times retryInterval but not at once, and a removed one never.
func TestSchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := agateschedule.New(rapid.Uint64().Draw(t, "seed"))
		one := target(1, 1)
		r.Set(epoch, []agateschedule.Target{one})
		probe(t, r, epoch, one, true)
		probe(t, r, epoch.Add(15*time.Second), one, false)
		probe(t, r, epoch.Add(16*time.Second), one, false)
		if _, due := r.Next(epoch.Add(16 * time.Second)); due {
			t.Fatal("a target is due again at once after a failed probe")
		}
		next := target(1, 2)
		r.Set(epoch.Add(16*time.Second), []agateschedule.Target{next})
		probe(t, r, epoch.Add(16*time.Second), next, true)
		r.Set(epoch, nil)
		if _, due := r.Next(epoch.Add(time.Hour)); due || r.Len() != 0 {
			t.Fatal("a removed target is due")
		}
	})
}

func probe(t *rapid.T, r *agateschedule.Schedule, now time.Time, want agateschedule.Target, confirmed bool) {
	got, due := r.Next(now)
	if !due || got != want {
		t.Fatalf("after %s: got %+v, due %t", now.Sub(epoch), got, due)
	}
	r.Done(now, got, confirmed)
}
