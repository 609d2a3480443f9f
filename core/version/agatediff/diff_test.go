package agatediff_test

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"agatereach/core/process/agateseed"
	"agatereach/core/version/agatecatalog"
	"agatereach/core/version/agatediff"
	"agatereach/core/version/agatevip"
)

func TestMain(m *testing.M) { agateseed.Main(m) }

// draw returns a configuration of a version.
func draw(t *rapid.T, version int64) *agatecatalog.Config {
	config := &agatecatalog.Config{Version: version, IdleTimeout: time.Duration(rapid.IntRange(0, 9).Draw(t, "idle")) * time.Second}
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 40), 0, 30, rapid.ID[int]).Draw(t, "vips") {
		config.VIPs = append(config.VIPs, vip(i, rapid.SampledFrom([]string{"map", "intake"}).Draw(t, "service")))
	}
	return config
}

func vip(i int, service string) agatevip.VIP {
	return agatevip.VIP{
		Name: fmt.Sprint("vip-", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443),
		Kind: agatevip.Once, Shares: []agatevip.Share{{Service: service, Weight: 1}},
	}
}

// byAddress returns a configuration's virtual addresses by address.
func byAddress(c *agatecatalog.Config) map[netip.AddrPort]agatevip.VIP {
	vips := make(map[netip.AddrPort]agatevip.VIP)
	for _, v := range c.VIPs {
		vips[v.Address] = v
	}
	return vips
}

// TestApply draws two configurations: their diff leads from one to the other,
// also through its wire form, and no other base is taken.
func TestApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := draw(t, 3), draw(t, 7)
		if rapid.Bool().Draw(t, "whole") {
			before = nil
		}
		wire, err := agatediff.New(before, after).Encode()
		if err != nil {
			t.Fatal(err)
		}
		d, err := agatediff.Decode(wire)
		if err != nil {
			t.Fatal(err)
		}
		got, err := d.Apply(before)
		if err != nil {
			t.Fatal(err)
		}
		if got.Version != 7 || got.IdleTimeout != after.IdleTimeout || !reflect.DeepEqual(byAddress(got), byAddress(after)) {
			t.Fatalf("%+v, want %+v", got, after)
		}
		var base *agatediff.BaseError
		if _, err := d.Apply(&agatecatalog.Config{Version: 4}); !errors.As(err, &base) {
			t.Fatalf("another base: %v", err)
		}
	})
}

// TestSize changes one of 11,000 virtual addresses.
func TestSize(t *testing.T) {
	before, after := &agatecatalog.Config{Version: 1}, &agatecatalog.Config{Version: 2}
	for i := range 11000 {
		before.VIPs = append(before.VIPs, vip(i, "map"))
		after.VIPs = append(after.VIPs, vip(i, "map"))
	}
	after.VIPs[77] = vip(77, "intake")
	small, err := agatediff.New(before, after).Encode()
	if err != nil {
		t.Fatal(err)
	}
	whole, err := agatediff.New(nil, after).Encode()
	if err != nil {
		t.Fatal(err)
	}
	// One datagram, and a twentieth of a second of the smallest link, 10 Mbit/s.
	if len(small) > 1100 || len(whole) > 250<<10 {
		t.Errorf("%d bytes for one change, %d for all", len(small), len(whole))
	}
}

// TestBad spoils diffs.
func TestBad(t *testing.T) {
	good := agatediff.New(nil, &agatecatalog.Config{Version: 2, VIPs: []agatevip.VIP{vip(1, "map")}})
	for name, spoil := range map[string]func(*agatediff.Diff){
		"backwards": func(d *agatediff.Diff) { d.From = 2 },
		"negative":  func(d *agatediff.Diff) { d.From = -1 },
		"idle":      func(d *agatediff.Diff) { d.IdleTimeout = -1 },
		"vip":       func(d *agatediff.Diff) { d.Set = []agatevip.VIP{{}} },
	} {
		bad := good
		spoil(&bad)
		wire, err := bad.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := agatediff.Decode(wire); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	if _, err := agatediff.Decode([]byte("no diff")); err == nil {
		t.Error("garbage: no error")
	}
}

// FuzzDecode feeds the decoder.
func FuzzDecode(f *testing.F) {
	wire, err := agatediff.New(nil, &agatecatalog.Config{Version: 2, VIPs: []agatevip.VIP{vip(1, "map")}}).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(wire)
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := agatediff.Decode(b)
		if err == nil && d.Version <= d.From {
			t.Errorf("%+v was taken", d)
		}
	})
}

// BenchmarkWhole encodes and decodes the configuration of the design size.
func BenchmarkWhole(b *testing.B) {
	config := &agatecatalog.Config{Version: 1}
	for i := range 11000 {
		config.VIPs = append(config.VIPs, vip(i, "map"))
	}
	for b.Loop() {
		wire, err := agatediff.New(nil, config).Encode()
		if err != nil {
			b.Fatal(err)
		}
		if _, err := agatediff.Decode(wire); err != nil {
			b.Fatal(err)
		}
	}
}
