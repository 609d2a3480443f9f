package agateroute_test

import (
	"errors"
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"agatereach/core/request/agateroute"
	"agatereach/core/version/agatekeyring"
)

var key = agatekeyring.Key{ID: 1, Secret: agatekeyring.Secret{1, 2, 3}}

// drawRoute draws a valid route.
func drawRoute(t *rapid.T) agateroute.Route {
	return agateroute.Route{
		Caller:      netip.AddrPortFrom(netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "address"))), rapid.Uint16().Draw(t, "port")),
		Service:     rapid.Uint32().Draw(t, "service"),
		Server:      rapid.Uint32().Draw(t, "server"),
		Incarnation: rapid.Uint64().Draw(t, "incarnation"),
		Attempt:     rapid.Uint64().Draw(t, "attempt"),
		Customer:    rapid.Uint32().Draw(t, "customer"),
		Centre:      rapid.Uint16().Draw(t, "centre"),
		Tag:         rapid.Uint64().Draw(t, "tag"),
		Now:         rapid.Bool().Draw(t, "now"),
		Reported:    rapid.Bool().Draw(t, "reported"),
		Busy:        rapid.Byte().Draw(t, "busy"),
		Queued:      rapid.Uint16().Draw(t, "queued"),
		Draining:    rapid.Bool().Draw(t, "draining"),
	}
}

// TestRoundTrip checks that an encoded route decodes to itself and leaves the bytes after
// it.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawRoute(t)
		b := want.Append(nil)
		var have agateroute.Route
		rest, err := have.Decode(append(b, 'x'))
		if err != nil || string(rest) != "x" || have != want {
			t.Fatalf("have %+v, rest %q, error %v; want %+v", have, rest, err, want)
		}
	})
}

// TestSumFields checks that Sum does not depend on the tag and the server's load report,
// but on the data centre.
func TestSumFields(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := drawRoute(t)
		changed := first
		changed.Tag, changed.Busy, changed.Queued = 0, first.Busy+1, first.Queued+1
		changed.Draining, changed.Reported = !first.Draining, !first.Reported
		if first.Sum(&key) != changed.Sum(&key) {
			t.Fatal("the tag or the load report changes the sum")
		}
		other := first
		other.Centre++
		if first.Sum(&key) == other.Sum(&key) {
			t.Fatal("the data centre does not change the sum")
		}
	})
}

// FuzzDecode checks that errors have the documented type, and that an accepted route
// encodes to the same bytes.
func FuzzDecode(f *testing.F) {
	route := agateroute.Route{Caller: netip.MustParseAddrPort("127.0.0.9:4000"), Service: 1, Server: 2, Incarnation: 3}
	f.Add(route.Append(nil))
	f.Add([]byte{0x58, 62, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		var have agateroute.Route
		rest, err := have.Decode(b)
		var formatErr *agateroute.FormatError
		if err != nil {
			if !errors.As(err, &formatErr) {
				t.Fatalf("error %T", err)
			}
			return
		}
		if string(have.Append(nil)) != string(b[:agateroute.Size]) || len(rest) != len(b)-agateroute.Size {
			t.Fatalf("the route in %x does not encode to the same bytes", b)
		}
	})
}
