package agateserial_test

import (
	"testing"

	"pgregory.net/rapid"

	"agatereach/core/process/agateseed"
	"agatereach/core/version/agateserial"
)

func TestMain(m *testing.M) { agateseed.Main(m) }

// TestPack checks that packed serials are ordered by era and number, that unpacking is the
// reverse, and that numbers of the first era are unchanged.
func TestPack(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) agateserial.Serial {
		return agateserial.Serial{
			Era: rapid.Uint32Range(1, agateserial.MaxEra).Draw(t, "era"), Number: rapid.Uint64Range(0, agateserial.MaxNumber).Draw(t, "number"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b := draw.Draw(t, "a"), draw.Draw(t, "b")
		if !a.Valid() || agateserial.Unpack(a.Pack()) != a || a.Era == 1 && a.Pack() != a.Number {
			t.Fatalf("%s packed as %x", a, a.Pack())
		}
		less := a.Era < b.Era || a.Era == b.Era && a.Number < b.Number
		if a.Pack() < b.Pack() != less || agateserial.Distance(b.Pack(), a.Pack()) > 0 != less {
			t.Fatalf("%s and %s packed as %x and %x", a, b, a.Pack(), b.Pack())
		}
	})
}
