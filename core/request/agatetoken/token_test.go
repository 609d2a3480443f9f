package agatetoken_test

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"agatereach/core/request/agateseal"
	"agatereach/core/request/agatetoken"
	"agatereach/core/version/agatekeyring"
)

var (
	now   = time.Unix(1_800_000_000, 0)
	rings = agatekeyring.Ring{Keys: []agatekeyring.Key{{ID: 1, Secret: agatekeyring.Secret{5}}, {ID: 2, Secret: agatekeyring.Secret{6}}}, SigningKeyID: 1}
)

// tokens generates any token issued now.
func tokens(t *rapid.T) agatetoken.Token {
	return agatetoken.Token{
		Service:     rapid.Uint32().Draw(t, "service"),
		Centre:      rapid.Uint16().Draw(t, "centre"),
		Server:      rapid.Uint32().Draw(t, "server"),
		Incarnation: rapid.Uint64().Draw(t, "incarnation"),
		Guard:       netip.AddrPortFrom(netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "guard"))), rapid.Uint16().Draw(t, "port")),
		Boot:        rapid.Uint64().Draw(t, "boot"),
		Ticket:      rapid.Uint64().Draw(t, "ticket"),
		Issued:      now,
		Customer:    rapid.Uint32().Draw(t, "customer"),
		Flow:        rapid.Uint64().Draw(t, "flow"),
	}
}

func TestSeal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := tokens(t)
		sign := rapid.SampledFrom([]uint8{1, 2}).Draw(t, "key")
		signer := rings.WithSigningKey(sign)
		seal, err := want.Seal(&signer)
		if err != nil {
			t.Fatal(err)
		}
		var have agatetoken.Token
		key, err := have.Open(&seal, &rings, now)
		if err != nil || key != sign || have != want {
			t.Fatalf("have %+v, key %d, error %v; want %+v, key %d", have, key, err, want, sign)
		}
		forged := seal
		forged[rapid.IntRange(0, agateseal.Size-1).Draw(t, "place")] ^= rapid.ByteMin(1).Draw(t, "change")
		if _, err := have.Open(&forged, &rings, now); err == nil {
			t.Fatal("a changed seal is opened")
		}
	})
}

// is reports whether err has an error of type E in its chain.
func is[E error](err error) bool {
	var target E
	return errors.As(err, &target)
}

func TestOpenErrors(t *testing.T) {
	token := agatetoken.Token{Service: 1, Guard: netip.MustParseAddrPort("127.0.0.1:1"), Flow: 2, Issued: now}
	seal, err := token.Seal(&rings)
	if err != nil {
		t.Fatal(err)
	}
	version, unknown := seal, seal
	version[0], unknown[1] = 2, 3
	tests := []struct {
		name string
		seal agateseal.Seal
		at   time.Time
		is   func(error) bool
	}{
		{"version", version, now, is[*agatetoken.VersionError]},
		{"key", unknown, now, is[*agatekeyring.KeyError]},
		{"old", seal, now.Add(agatetoken.Lifetime + time.Second), is[*agatetoken.ExpiredError]},
		{"future", seal, now.Add(-agatetoken.MaxSkew - time.Second), is[*agatetoken.ExpiredError]},
	}
	for _, test := range tests {
		var have agatetoken.Token
		if _, err := have.Open(&test.seal, &rings, test.at); !test.is(err) {
			t.Errorf("%s: error %T %v", test.name, err, err)
		}
	}
	if err := token.Bind(2, 2); !is[*agatetoken.BindingError](err) {
		t.Errorf("other service: %v", err)
	}
	if err := token.Bind(1, 3); !is[*agatetoken.BindingError](err) {
		t.Errorf("other flow: %v", err)
	}
}

func FuzzOpen(f *testing.F) {
	f.Fuzz(func(t *testing.T, item []byte) {
		var seal agateseal.Seal
		if err := seal.UnmarshalCBOR(item); err != nil {
			if !is[*agateseal.SizeError](err) {
				t.Fatalf("error %T %v", err, err)
			}
			return
		}
		var token agatetoken.Token
		_, err := token.Open(&seal, &rings, now)
		switch {
		case err == nil:
			again, err := token.Seal(&rings)
			if err != nil || again != seal && seal[1] == rings.SigningKeyID {
				t.Fatalf("sealed again as %x, error %v; want %x", again, err, seal)
			}
		case !is[*agatetoken.VersionError](err) && !is[*agatetoken.MACError](err) && !is[*agatetoken.ExpiredError](err) && !is[*agatekeyring.KeyError](err):
			t.Fatalf("error %T %v", err, err)
		}
	})
}
