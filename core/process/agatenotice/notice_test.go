package agatenotice_test

import (
	"errors"
	"net/netip"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"agatereach/core/process/agatenotice"
	"agatereach/core/request/agateaddress"
	"agatereach/core/request/agateload"
	"agatereach/core/version/agateevacuation"
	"agatereach/core/version/agateinstance"
)

var address = netip.MustParseAddrPort("10.0.0.1:7720")

func newHeartbeat() *agatenotice.Heartbeat {
	return &agatenotice.Heartbeat{
		Name: "vm-1", Centre: "a", Boot: 7, Version: 3, Revision: 9, Digest: 5, ConfirmedAge: 12,
		Peers: []netip.AddrPort{address}, Loads: []agateload.Load{{Token: 4, Pending: 150, Open: 2, SinceAnswer: 3, UnansweredFlows: 1, UnansweredFor: 200, Speed: 90, SpeedWeight: 12}},
	}
}

func newPage() *agatenotice.Page {
	return &agatenotice.Page{From: 1, To: 4, Index: 1, Total: 3, Instances: []agateinstance.Instance{{
		Key: agateinstance.Key{ID: 1 << 40, StartTime: 1700000000000, Address: agateaddress.Address{IP: [4]byte{10, 0, 0, 1}, Port: 80}}, Revision: 4, Service: "map", Centre: "a", Slots: 3,
		State: agateinstance.Draining,
	}}, Evacuations: []agateevacuation.Evacuation{{Centre: "b", Active: true, Era: 2, Revision: 3}, {Centre: "c", Revision: 4}}}
}

func newPart() *agatenotice.Part {
	return &agatenotice.Part{From: 1, Version: 2, Index: 0, Total: 1, Checksum: 7, Data: []byte{1, 2, 3}}
}

func TestRoundTrip(t *testing.T) {
	for _, n := range []agatenotice.Notice{
		{Heartbeat: newHeartbeat()}, {Query: &agatenotice.Query{After: 4, Version: 2}}, {Page: newPage()}, {Part: newPart()},
	} {
		datagram, err := n.Encode()
		if err != nil {
			t.Fatal(err)
		}
		got, err := agatenotice.Decode(datagram)
		if err != nil || !reflect.DeepEqual(got, n) {
			t.Errorf("decoded as %+v with error %v", got, err)
		}
	}
}

// TestCheck checks that Decode rejects notices with an invalid field, or with none
// or several kinds.
func TestCheck(t *testing.T) {
	invalid := func(change func(*agatenotice.Notice)) agatenotice.Notice {
		n := agatenotice.Notice{Heartbeat: newHeartbeat(), Page: newPage(), Part: newPart()}
		change(&n)
		return n
	}
	for name, n := range map[string]agatenotice.Notice{
		"no kind":    {},
		"two kinds":  {Heartbeat: newHeartbeat(), Query: &agatenotice.Query{}},
		"no name":    invalid(func(n *agatenotice.Notice) { n.Page, n.Part, n.Heartbeat.Name = nil, nil, "" }),
		"no boot":    invalid(func(n *agatenotice.Notice) { n.Page, n.Part, n.Heartbeat.Boot = nil, nil, 0 }),
		"peer":       invalid(func(n *agatenotice.Notice) { n.Page, n.Part, n.Heartbeat.Peers[0] = nil, nil, netip.AddrPort{} }),
		"index":      invalid(func(n *agatenotice.Notice) { n.Heartbeat, n.Part, n.Page.Index = nil, nil, 3 }),
		"page order": invalid(func(n *agatenotice.Notice) { n.Heartbeat, n.Part, n.Page.To = nil, nil, 0 }),
		"server id":  invalid(func(n *agatenotice.Notice) { n.Heartbeat, n.Part, n.Page.Instances[0].ID = nil, nil, 0 }),
		"instance":   invalid(func(n *agatenotice.Notice) { n.Heartbeat, n.Part, n.Page.Instances[0].Slots = nil, nil, 0 }),
		"evacuation": invalid(func(n *agatenotice.Notice) { n.Heartbeat, n.Part, n.Page.Evacuations[0].Centre = nil, nil, "b/c" }),
		"many evacuations": invalid(func(n *agatenotice.Notice) {
			n.Heartbeat, n.Part, n.Page.Evacuations = nil, nil, slices.Repeat([]agateevacuation.Evacuation{{Centre: "b", Revision: 1}}, 1025)
		}),
		"no version": invalid(func(n *agatenotice.Notice) { n.Heartbeat, n.Page, n.Part.Version = nil, nil, 0 }),
		"part order": invalid(func(n *agatenotice.Notice) { n.Heartbeat, n.Page, n.Part.From = nil, nil, 2 }),
		"no data":    invalid(func(n *agatenotice.Notice) { n.Heartbeat, n.Page, n.Part.Data = nil, nil, nil }),
		"long data":  invalid(func(n *agatenotice.Notice) { n.Heartbeat, n.Page, n.Part.Data = nil, nil, make([]byte, 3000) }),
		"many parts": invalid(func(n *agatenotice.Notice) { n.Heartbeat, n.Page, n.Part.Total = nil, nil, 3000 }),
		"query":      {Query: &agatenotice.Query{After: -1}},
	} {
		datagram, err := n.Encode()
		if err != nil {
			t.Fatal(name, err)
		}
		if _, err := agatenotice.Decode(datagram); err == nil {
			t.Errorf("%s: accepted, want an error", name)
		}
	}
	var field *agatenotice.FieldError
	if _, err := agatenotice.Decode(make([]byte, agatenotice.MaxSize+1)); !errors.As(err, &field) {
		t.Errorf("decoding a datagram longer than MaxSize: error %v, want a *FieldError", err)
	}
}

// TestAnyDatagram decodes arbitrary bytes: Decode must not panic, and each of its
// errors must have a text.
func TestAnyDatagram(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if _, err := agatenotice.Decode(rapid.SliceOf(rapid.Byte()).Draw(t, "datagram")); err != nil && err.Error() == "" {
			t.Fatal("error without a text")
		}
	})
}

// FuzzDecode decodes mutations of valid notices. What is decoded must be encodable
// again.
func FuzzDecode(f *testing.F) {
	for _, n := range []agatenotice.Notice{{Heartbeat: newHeartbeat()}, {Page: newPage()}, {Part: newPart()}} {
		datagram, err := n.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(datagram)
	}
	f.Fuzz(func(t *testing.T, datagram []byte) {
		n, err := agatenotice.Decode(datagram)
		if err != nil {
			return
		}
		if _, err := n.Encode(); err != nil {
			t.Errorf("encoding a decoded notice: %v", err)
		}
	})
}
