package agateaddress_test

import (
	"bytes"
	"errors"
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"agatereach/core/request/agateaddress"
)

// TestBinary checks that random addresses are encoded as netip.AddrPort encodes them, and
// decoded to the same address.
func TestBinary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := agateaddress.Address{IP: [4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "ip")), Port: rapid.Uint16().Draw(t, "port")}
		data, err := want.MarshalBinary()
		known, _ := want.AddrPort().MarshalBinary()
		if err != nil || !bytes.Equal(data, known) {
			t.Fatalf("%s: encoded as %x, want %x (%v)", want, data, known, err)
		}
		var got agateaddress.Address
		if err := got.UnmarshalBinary(data); err != nil || got != want {
			t.Fatalf("%s: decoded as %s (%v)", want, got, err)
		}
		if got, err := agateaddress.Parse(want.String()); err != nil || got != want {
			t.Fatalf("%s: parsed as %s (%v)", want, got, err)
		}
	})
}

// TestOtherAddresses checks that what isn't an IPv4 address with a port is refused.
func TestOtherAddresses(t *testing.T) {
	var formatErr *agateaddress.FormatError
	for _, text := range []string{"", "10.0.0.1", "10.0.0.1:70000", "[::1]:80", "[::ffff:10.0.0.1]:80", "host:80"} {
		if got, err := agateaddress.Parse(text); !errors.As(err, &formatErr) {
			t.Errorf("%q: parsed as %s (%v), want a FormatError", text, got, err)
		}
	}
	for _, address := range []netip.AddrPort{{}, netip.MustParseAddrPort("[::1]:80")} {
		data, _ := address.MarshalBinary()
		if err := new(agateaddress.Address).UnmarshalBinary(data); !errors.As(err, &formatErr) {
			t.Errorf("%s: decoded (%v), want a FormatError", address, err)
		}
	}
}
