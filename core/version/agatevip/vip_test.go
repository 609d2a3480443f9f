package agatevip_test

import (
	"errors"
	"math"
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"agatereach/core/version/agatevip"
)

func valid() agatevip.VIP {
	return agatevip.VIP{
		Name: "feeds", Address: netip.MustParseAddrPort("198.18.0.1:443"), Kind: agatevip.Once,
		Shares: []agatevip.Share{{Service: "map", Weight: 1}},
	}
}

func TestCheck(t *testing.T) {
	if err := valid().Check(); err != nil {
		t.Error(err)
	}
	for name, spoil := range map[string]func(*agatevip.VIP){
		"no shares":    func(v *agatevip.VIP) { v.Shares = nil },
		"no service":   func(v *agatevip.VIP) { v.Shares[0].Service = "" },
		"no weight":    func(v *agatevip.VIP) { v.Shares[0].Weight = 0 },
		"not a weight": func(v *agatevip.VIP) { v.Shares[0].Weight = math.NaN() },
		"no address":   func(v *agatevip.VIP) { v.Address = netip.AddrPort{} },
		"no kind":      func(v *agatevip.VIP) { v.Kind = "" },
	} {
		spoilt := valid()
		spoil(&spoilt)
		var fault *agatevip.FieldError
		if err := spoilt.Check(); !errors.As(err, &fault) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestService draws weights: each service gets its share of the fractions, and
// one of weight 0 gets none.
func TestService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 4).Draw(t, "weights")
		v := valid()
		v.Shares = nil
		total := 0
		for i, weight := range weights {
			v.Shares = append(v.Shares, agatevip.Share{Service: string(rune('a' + i)), Weight: float64(weight)})
			total += weight
		}
		if total == 0 {
			return
		}
		const tries = 10000
		got := make(map[string]int)
		for i := range tries {
			got[v.Service(float64(i)/tries)]++
		}
		for i, weight := range weights {
			want := weight * tries / total
			if n := got[string(rune('a'+i))]; n < want-1 || n > want+1 {
				t.Fatalf("service %d got %d of %d, want %d", i, n, tries, want)
			}
		}
	})
}
