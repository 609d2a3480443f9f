package agatebalance

import (
	"fmt"
	"testing"
	"time"

	"agatereach/core/request/agatereason"
	"agatereach/core/version/agateserver"
)

// TestShedWorkGoesToAnotherServer checks that a shed request is sent to the
// other server, and that the shedding server counts as full until the record of
// the shed expires.
func TestShedWorkGoesToAnotherServer(t *testing.T) {
	b := New(WithSeed(1))
	now := time.Unix(0, 0)
	b.SetServers(now, []Server{
		{ID: 1, Incarnation: 1, Slots: 1, State: agateserver.Up},
		{ID: 2, Incarnation: 1, Slots: 1, State: agateserver.Up},
	})
	first := b.Submit(now, Work{ID: 1})
	if first.Action != Send {
		t.Fatalf("request 1: %+v, want Send", first)
	}
	next := b.Done(now, 1, Shed)
	if len(next) != 1 || next[0].Action != Send || next[0].Server == first.Server {
		t.Fatalf("request 1 after it was shed: %+v, want Send to the other server", next)
	}
	if d := b.Submit(now, Work{ID: 2}); d.Action != Wait {
		t.Fatalf("request 2 while both servers are full: %+v, want Wait", d)
	}
	if d := b.Submit(now, Work{ID: 3}); d.Action != Wait {
		t.Fatalf("request 3 while both servers are full: %+v, want Wait", d)
	}
	if next = b.Done(now, 1, Answered); len(next) != 1 || next[0].ID != 2 || next[0].Action != Send {
		t.Fatalf("after request 1 was answered: %+v, want request 2 sent", next)
	}
	if next = b.Tick(now.Add(time.Second)); len(next) != 1 || next[0].ID != 3 || next[0].Server != first.Server {
		t.Fatalf("after the record of the shed expired: %+v, want request 3 sent to the server that shed", next)
	}
}

// TestRefusesByDeadlineAndQueue checks that Submit refuses requests that would
// miss their deadline or whose queue is too long, and that Hot follows the length
// of the queue.
func TestRefusesByDeadlineAndQueue(t *testing.T) {
	const mean = 20 * time.Millisecond
	b := New(WithSeed(1))
	now := time.Unix(0, 0)
	b.SetServers(now, []Server{{ID: 1, Incarnation: 1, Slots: 1, State: agateserver.Up}})
	submit := func(id uint64, left time.Duration) Decision {
		return b.Submit(now, Work{ID: id, Arrived: now, Deadline: now.Add(left)})
	}
	if d := submit(1, time.Second); d.Action != Send {
		t.Fatalf("first request: %+v, want Send", d)
	}
	now = now.Add(mean)
	b.Report(now, 1, Report{})
	b.Done(now, 1, Answered)
	tests := []struct {
		left   time.Duration
		action Action
		reason agatereason.Reason
		hot    bool
	}{
		{mean / 2, Refuse, agatereason.Deadline, false},
		{5 * mean, Send, "", false},
		{5 * mean, Wait, "", true},
		{5 * mean, Wait, "", true},
		{5 * mean, Refuse, agatereason.Overload, true},
		{10 * mean, Wait, "", true},
	}
	for i, test := range tests {
		d := submit(uint64(i+2), test.left)
		if d.Action != test.action || d.Reason != test.reason || b.Hot() != test.hot {
			t.Errorf("step %d: %+v, Hot %t", i, d, b.Hot())
		}
	}
	for id := range b.jobs {
		b.Done(now, id, Cancelled)
	}
	if b.Hot() {
		t.Error("Hot reports true for an empty queue")
	}
}

func ExampleBalancer() {
	b := New(WithPolicy("late"), WithSeed(1))
	now := time.Unix(0, 0)
	b.SetServers(now, []Server{{ID: 7, Incarnation: 1, Slots: 3, State: agateserver.Up}})
	d := b.Submit(now, Work{ID: 1, Arrived: now, Deadline: now.Add(time.Second)})
	fmt.Println(d.Action, d.Server, d.Now)
	b.Report(now, 7, Report{Busy: 0})
	fmt.Println(len(b.Done(now, 1, Answered)))
	// Output:
	// send 7 true
	// 0
}

func TestSetPolicy(t *testing.T) {
	b := New(WithPolicy("random"))
	for _, test := range []struct{ set, want string }{
		{"late", "late"}, {"nothing", "late"}, {"least", "least"}, {"", "random"},
	} {
		b.SetPolicy(time.Unix(0, 0), test.set)
		if string(b.policyName) != test.want {
			t.Errorf("after %q the policy is %s, want %s", test.set, b.policyName, test.want)
		}
	}
}
