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

// FuzzHandle passes arbitrary headers from callers, servers and peers to a
// dispatcher with one request in flight. It must not panic, and its outputs
// must be valid datagrams.
func FuzzHandle(f *testing.F) {
	f.Add(uint8(0), "request", uint32(1), uint64(5), uint64(2), uint32(100), "short", "", true, uint64(1), []byte("x"))
	f.Add(uint8(1), "answer", uint32(1), uint64(5), uint64(1), uint32(0), "", "", true, uint64(1), []byte("x"))
	f.Add(uint8(1), "refuse", uint32(1), uint64(5), uint64(1), uint32(0), "", "notrun", true, uint64(1), []byte{})
	f.Add(uint8(2), "cancel", uint32(1), uint64(5), uint64(1), uint32(0), "feed", "", true, uint64(9), []byte{})
	f.Add(uint8(0), "open", uint32(2), uint64(6), uint64(0), uint32(0), "feed", "", false, uint64(0), []byte{})
	f.Fuzz(func(t *testing.T, source uint8, kind string, service uint32, flow, number uint64,
		deadline uint32, class, outcome string, valid bool, attempt uint64, body []byte,
	) {
		b := newFixture(t)
		token := b.open(intake, 5, agateclass.Short)
		sent := b.wantOne(b.receive(request(intake, 5, 1, token), "batch"), agatedispatch.Server)
		h := agateheader.Header{
			Version: agateheader.Version, Kind: agatekind.Kind(kind), Service: service, Flow: flow, Number: number,
			Class: agateclass.Class(class), Deadline: deadline, Outcome: agateoutcome.Outcome(outcome),
			Reason: agatereason.Failed,
		}
		if valid {
			h.Token = token
		}
		datagram, err := h.Append(nil, body)
		if err != nil {
			t.Skip()
		}
		in := &agatedispatch.Input{Caller: caller, Header: h, Datagram: datagram, Body: body}
		in.Source = []agatedispatch.Source{agatedispatch.Caller, agatedispatch.Server, agatedispatch.Peer}[source%3]
		in.Frame.Caller, in.Frame.Hops = caller, source/3
		if in.Route.Attempt = attempt; attempt == sent.Route.Attempt {
			in.Route = sent.Route
		}
		for range 2 {
			copied := *in
			checkOutputs(t, b.d.Handle(b.now, &copied))
			b.now = b.now.Add(time.Duration(deadline%2000) * time.Millisecond)
			checkOutputs(t, b.d.Tick(b.now))
		}
	})
}

func checkOutputs(t *testing.T, outputs []agatedispatch.Output) {
	for _, out := range outputs {
		if !out.Address.IsValid() || len(out.Datagram) == 0 || len(out.Datagram) > agateheader.MaxDatagram {
			t.Fatalf("invalid output: %d bytes to %q", len(out.Datagram), out.Address)
		}
	}
}
