package agatedispatch_test

import (
	"testing"
	"time"

	"agatereach/core/process/agatedispatch"
	"agatereach/core/request/agateclass"
	"agatereach/core/request/agateheader"
	"agatereach/core/request/agatekind"
	"agatereach/core/request/agateoutcome"
	"agatereach/core/request/agatereason"
)

func TestGuardedRequest(t *testing.T) {
	b := newFixture(t)
	r := request(intake, 5, 1, b.open(intake, 5, agateclass.Short))
	sent := b.wantOne(b.receive(r, "batch"), agatedispatch.Server)
	b.wantRefusal(b.receive(r, "batch"), agateoutcome.None, agatereason.Pending)
	b.wantAnswer(b.answer(sent, "done"), 1, "done")
	b.wantAnswer(b.receive(r, "batch"), 1, "done")
	if out := b.answer(sent, "done"); len(out) != 0 {
		t.Fatalf("copy of an answer: got %+v, want no outputs", out)
	}
}

// TestShed checks that a shed request goes to another server, and that its
// outcome is notrun, also for later copies, once every server has shed it.
func TestShed(t *testing.T) {
	b := newFixture(t)
	r := request(intake, 5, 1, b.open(intake, 5, agateclass.Short))
	first := b.wantOne(b.receive(r, "batch"), agatedispatch.Server)
	second := b.wantOne(b.shed(first), agatedispatch.Server)
	if first.Route.Server == second.Route.Server || first.Route.Attempt == second.Route.Attempt {
		t.Fatalf("shed request went to the same server or attempt again: %+v", second.Route)
	}
	if out := b.shed(first); len(out) != 0 {
		t.Fatalf("copy of a refusal: got %+v, want no outputs", out)
	}
	out := b.shed(second)
	if len(out) == 0 {
		b.now = b.now.Add(time.Second)
		out = b.d.Tick(b.now)
	}
	h, _ := b.callerOutput(out)
	if h.Outcome != agateoutcome.NotRun {
		t.Fatalf("got outcome %q, reason %q, want notrun", h.Outcome, h.Reason)
	}
	b.wantRefusal(b.receive(r, "batch"), agateoutcome.NotRun, h.Reason)
}

func TestDeadline(t *testing.T) {
	b := newFixture(t)
	r := request(intake, 5, 1, b.open(intake, 5, agateclass.Short))
	sent := b.wantOne(b.receive(r, "batch"), agatedispatch.Server)
	b.now = b.now.Add(time.Second)
	b.wantRefusal(b.d.Tick(b.now), agateoutcome.Unknown, agatereason.Deadline)
	b.wantRefusal(b.receive(r, "batch"), agateoutcome.Unknown, agatereason.Deadline)
	b.wantAnswer(b.answer(sent, "late"), 1, "late")
	b.wantAnswer(b.receive(r, "batch"), 1, "late")
}

func TestRepeatedOpen(t *testing.T) {
	b := newFixture(t)
	token := b.open(intake, 5, agateclass.Short)
	b.now = b.now.Add(2 * time.Second)
	if again := b.open(intake, 5, agateclass.Short); again != token {
		t.Fatal("repeated open returned a different token")
	}
}

// TestIdempotentRetry checks that an unanswered idempotent request goes to a
// second server, and that the late answer of the first server is accepted once.
func TestIdempotentRetry(t *testing.T) {
	b := newFixture(t)
	r := request(maps, 6, 1, b.open(maps, 6, agateclass.Short))
	first := b.wantOne(b.receive(r, "where"), agatedispatch.Server)
	b.now = b.now.Add(300 * time.Millisecond)
	second := b.wantOne(b.d.Tick(b.now), agatedispatch.Server)
	if first.Route.Server == second.Route.Server {
		t.Fatalf("retry went to server %d, which had the first attempt", second.Route.Server)
	}
	out := b.answer(first, "here")
	if len(out) != 2 || out[1].To != agatedispatch.Server || out[1].Route.Server != second.Route.Server {
		t.Fatalf("got %+v, want the answer and a cancel of the second attempt", out)
	}
	if h, _ := decode(t, out[1]); h.Kind != agatekind.Cancel {
		t.Fatalf("got %s, want cancel", h.Kind)
	}
	b.wantAnswer(out[:1], 1, "here")
	if out := b.answer(second, "there"); len(out) != 0 {
		t.Fatalf("second answer: got %+v, want no outputs", out)
	}
}

func TestCancel(t *testing.T) {
	b := newFixture(t)
	token := b.open(intake, 5, agateclass.Short)
	cancel := agateheader.Header{Kind: agatekind.Cancel, Service: intake, Flow: 5, Number: 1, Token: token}
	b.wantRefusal(b.receive(cancel, ""), agateoutcome.NotRun, agatereason.Cancelled)
	b.wantRefusal(b.receive(request(intake, 5, 1, token), "batch"), agateoutcome.NotRun, agatereason.Cancelled)
	sent := b.wantOne(b.receive(request(intake, 5, 2, token), "batch"), agatedispatch.Server)
	cancel.Number = 2
	cancelled := b.wantOne(b.receive(cancel, ""), agatedispatch.Server)
	if cancelled.Route.Server != sent.Route.Server {
		t.Fatalf("cancel went to server %d, request to %d", cancelled.Route.Server, sent.Route.Server)
	}
	out := b.reply(sent, agatekind.Refuse, agateoutcome.NotRun, agatereason.Cancelled, "")
	b.wantRefusal(out, agateoutcome.NotRun, agatereason.Cancelled)
}

// TestCancelIdempotent checks that the cancel of an idempotent request is
// relayed to the process that holds the request, and that the caller is refused
// with outcome unknown if no process holds it.
func TestCancelIdempotent(t *testing.T) {
	b := newFixture(t)
	r := request(maps, 6, 1, b.open(maps, 6, agateclass.Short))
	r.Kind = agatekind.Cancel
	relayed := b.wantOne(b.receive(r, ""), agatedispatch.Peer)
	if relayed.Address != address(2) {
		t.Fatalf("relayed to %s, not to process 2", relayed.Address)
	}
	b.now = b.now.Add(2 * time.Second)
	b.wantRefusal(b.d.Tick(b.now), agateoutcome.Unknown, agatereason.Cancelled)
	r.Kind = agatekind.Request
	sent := b.wantOne(b.receive(r, "where"), agatedispatch.Server)
	in := input(t, r, "")
	in.Header.Kind, in.Source, in.Frame = agatekind.Cancel, agatedispatch.Peer, relayed.Frame
	cancelled := b.wantOne(b.d.Handle(b.now, in), agatedispatch.Server)
	if cancelled.Route.Server != sent.Route.Server {
		t.Fatalf("cancel went to server %d, request to %d", cancelled.Route.Server, sent.Route.Server)
	}
}

// TestNoSendWhileStale checks that a shed request is not sent to another server
// while the view must be refreshed. It is sent after the refresh, or refused
// with outcome notrun at its deadline if the refresh takes too long.
func TestNoSendWhileStale(t *testing.T) {
	for _, refreshed := range []bool{true, false} {
		b := newFixture(t)
		r := request(intake, 5, 1, b.open(intake, 5, agateclass.Short))
		sent := b.wantOne(b.receive(r, "batch"), agatedispatch.Server)
		b.d.SetStale(true)
		b.wantNothing(b.shed(sent))
		b.now = b.now.Add(100 * time.Millisecond)
		b.wantNothing(b.d.Tick(b.now))
		b.d.SetStale(!refreshed)
		if refreshed {
			again := b.wantOne(b.d.Tick(b.now), agatedispatch.Server)
			b.wantAnswer(b.answer(again, "done"), 1, "done")
			continue
		}
		b.now = b.now.Add(time.Second)
		b.wantRefusal(b.d.Tick(b.now), agateoutcome.NotRun, agatereason.Deadline)
	}
}
