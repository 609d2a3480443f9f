package agateplacement_test

import (
	"errors"
	"testing"
	"time"

	"agatereach/core/process/agateplacement"
	"agatereach/core/process/agatepool"
	"agatereach/core/version/agateserver"
)

var start = time.Unix(1000, 0)

// newPool returns a pool of servers with 3 slots that have reported the given
// loads; a negative load stands for no report.
func newPool(loads ...int) *agatepool.Pool {
	p := agatepool.New(1)
	var servers []agatepool.Server
	for i := range loads {
		servers = append(servers, agatepool.Server{ID: uint32(i + 1), Incarnation: 1, Slots: 3, State: agateserver.Up})
	}
	p.Set(start, servers)
	for i, load := range loads {
		if load >= 0 {
			p.Report(start, uint32(i+1), agatepool.Report{Busy: min(load, 3), Queued: max(load-3, 0)})
		}
	}
	return p
}

// TestLate checks which server the late policy chooses by load and request.
func TestLate(t *testing.T) {
	retriable := agateplacement.Work{MayRetry: true}
	long := agateplacement.Work{MayRetry: true, Long: true}
	waited := agateplacement.Work{MayRetry: true, Long: true, IgnoreReserve: true}
	tests := []struct {
		name    string
		loads   []int
		work    agateplacement.Work
		server  uint32 // 0 for none
		noQueue bool
	}{
		{"the least loaded with a free slot", []int{2, 1, 3}, retriable, 2, true},
		{"a reported free slot before no report", []int{-1, 2, 3}, retriable, 2, true},
		{"no report before a full server", []int{3, -1, 4}, retriable, 2, true},
		{"none while all are full", []int{3, 4, 3}, retriable, 0, false},
		{"one request beyond the slots without a retry", []int{4, 3, 4}, agateplacement.Work{}, 2, false},
		{"no second request beyond the slots", []int{4, 4, 4}, agateplacement.Work{}, 0, false},
		{"a long request leaves a slot free", []int{2, 1, 2}, long, 2, true},
		{"a long request waits for a free slot beside it", []int{2, 2, -1}, long, 0, false},
		{"a long request after its wait takes the last slot", []int{3, 2, 3}, waited, 2, true},
	}
	policy, err := agateplacement.New("late")
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range tests {
		m, noQueue, found := policy.Pick(newPool(test.loads...), test.work)
		if found != (test.server != 0) || (found && (m.Server().ID != test.server || noQueue != test.noQueue)) {
			t.Errorf("%s: found %t, noQueue %t", test.name, found, noQueue)
		}
	}
}

// TestEveryPolicy checks that each policy finds the only usable server, asks it
// to refuse rather than queue exactly if the policy requeues refused requests,
// and finds no server if the only one must be avoided or the pool is empty.
func TestEveryPolicy(t *testing.T) {
	for _, name := range agateplacement.Names() {
		policy, err := agateplacement.New(string(name))
		if err != nil {
			t.Fatal(err)
		}
		p := newPool(1)
		m, noQueue, found := policy.Pick(p, agateplacement.Work{})
		if !found || m.Server().ID != 1 || noQueue != policy.Requeues() {
			t.Errorf("%s: found %t, noQueue %t", name, found, noQueue)
		}
		if _, _, found := policy.Pick(p, agateplacement.Work{Avoid: p.Member(1)}); found {
			t.Errorf("%s chose the server to avoid", name)
		}
		if _, _, found := policy.Pick(newPool(), agateplacement.Work{}); found {
			t.Errorf("%s found a server in an empty pool", name)
		}
	}
	var nameError *agateplacement.NameError
	if _, err := agateplacement.New("nosuch"); !errors.As(err, &nameError) || nameError.Name != "nosuch" {
		t.Errorf("New(nosuch): %v", err)
	}
}
