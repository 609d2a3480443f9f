package agaterelay_test

import (
	"bytes"
	"errors"
	"net/netip"
	"testing"

	"agatereach/core/request/agaterelay"
	"agatereach/core/version/agatekeyring"
)

var ring = agatekeyring.Ring{Keys: []agatekeyring.Key{{ID: 1, Secret: agatekeyring.Secret{5}}}, SigningKeyID: 1}

// framed returns a datagram with the frame of the given number of hops.
func framed(t testing.TB, hops uint8, keys *agatekeyring.Ring) []byte {
	frame := agaterelay.Frame{Caller: netip.MustParseAddrPort("127.0.0.9:4000"), Centre: 2, Hops: hops, Boot: 3, Sender: 4}
	b, err := frame.Append(nil, []byte("datagram"), keys)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// is reports whether err has an error of type E in its chain.
func is[E error](err error) bool {
	var target E
	return errors.As(err, &target)
}

func TestDecode(t *testing.T) {
	other := agatekeyring.Ring{Keys: []agatekeyring.Key{{ID: 1, Secret: agatekeyring.Secret{6}}}, SigningKeyID: 1}
	rotated := agatekeyring.Ring{Keys: []agatekeyring.Key{{ID: 2}}, SigningKeyID: 2}
	tests := []struct {
		name string
		b    []byte
		is   func(error) bool
	}{
		{"empty", nil, is[*agaterelay.FormatError]},
		{"cut", framed(t, 0, &ring)[:agaterelay.Size-1], is[*agaterelay.FormatError]},
		{"changed", append(framed(t, 0, &ring), 'x'), is[*agaterelay.MACError]},
		{"other secret", framed(t, 0, &other), is[*agaterelay.MACError]},
		{"other key", framed(t, 0, &rotated), is[*agatekeyring.KeyError]},
		{"too many hops", framed(t, agaterelay.MaxHops, &ring), is[*agaterelay.HopsError]},
	}
	for _, test := range tests {
		var frame agaterelay.Frame
		if _, err := frame.Decode(test.b, &ring); !test.is(err) {
			t.Errorf("%s: error %T %v", test.name, err, err)
		}
	}
	var frame agaterelay.Frame
	rest, err := frame.Decode(framed(t, 1, &ring), &ring)
	if err != nil || string(rest) != "datagram" || frame.Centre != 2 || frame.Hops != 1 || frame.Boot != 3 || frame.Sender != 4 {
		t.Errorf("frame %+v, rest %q, error %v", frame, rest, err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(framed(f, 1, &ring))
	f.Fuzz(func(t *testing.T, b []byte) {
		var frame agaterelay.Frame
		given := bytes.Clone(b)
		rest, err := frame.Decode(b, &ring)
		if err != nil {
			if !is[*agaterelay.FormatError](err) && !is[*agaterelay.MACError](err) && !is[*agaterelay.HopsError](err) && !is[*agatekeyring.KeyError](err) {
				t.Fatalf("error %T %v", err, err)
			}
			return
		}
		again, err := frame.Append(nil, rest, &ring)
		if err != nil || !bytes.Equal(again, given) {
			t.Fatalf("%x read back as %x, error %v", given, again, err)
		}
	})
}
