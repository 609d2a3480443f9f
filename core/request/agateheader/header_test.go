package agateheader_test

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"agatereach/core/request/agateclass"
	"agatereach/core/request/agateheader"
	"agatereach/core/request/agatekind"
	"agatereach/core/request/agateoutcome"
	"agatereach/core/request/agatereason"
	"agatereach/core/request/agateseal"
)

// drawHeader draws a valid header.
func drawHeader(t *rapid.T) agateheader.Header {
	h := agateheader.Header{
		Version:    agateheader.Version,
		Kind:       rapid.SampledFrom([]agatekind.Kind{agatekind.Open, agatekind.Data, agatekind.Request, agatekind.Refuse, agatekind.Pong}).Draw(t, "kind"),
		Service:    rapid.Uint32Min(1).Draw(t, "service"),
		Flow:       rapid.Uint64Min(1).Draw(t, "flow"),
		Number:     rapid.Uint64Min(1).Draw(t, "number"),
		Customer:   rapid.Uint32().Draw(t, "customer"),
		Deadline:   rapid.Uint32().Draw(t, "deadline"),
		Class:      rapid.SampledFrom([]agateclass.Class{agateclass.None, agateclass.Feed, agateclass.Long}).Draw(t, "class"),
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Priority:   rapid.Byte().Draw(t, "priority"),
		Outcome:    rapid.SampledFrom([]agateoutcome.Outcome{agateoutcome.None, agateoutcome.NotRun, agateoutcome.Unknown}).Draw(t, "outcome"),
		Reason:     rapid.SampledFrom([]agatereason.Reason{agatereason.None, agatereason.Gone, agatereason.Stale}).Draw(t, "reason"),
		Wait:       rapid.Uint32().Draw(t, "wait"),
	}
	if rapid.Bool().Draw(t, "token") {
		copy(h.Token[:], rapid.SliceOfN(rapid.ByteMin(1), agateseal.Size, agateseal.Size).Draw(t, "seal"))
	}
	return h
}

// TestRoundTrip checks that an encoded header decodes to itself, that Kind agrees, and
// that a datagram that is cut inside its header is rejected.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawHeader(t)
		datagram, err := want.Append(nil, []byte("body"))
		if err != nil {
			t.Fatal(err)
		}
		var have agateheader.Header
		body, err := have.Decode(datagram)
		if err != nil || have != want || string(body) != "body" {
			t.Fatalf("have %+v, body %q, error %v; want %+v", have, body, err, want)
		}
		if kind, err := agateheader.Kind(datagram); err != nil || kind != want.Kind {
			t.Fatalf("kind %q, error %v; want %q", kind, err, want.Kind)
		}
		cut := rapid.IntRange(0, len(datagram)-5).Draw(t, "cut")
		if _, err := have.Decode(datagram[:cut]); err == nil {
			t.Fatalf("decoded a datagram that was cut to %d of %d bytes", cut, len(datagram))
		}
	})
}

// hasType reports whether err has an error of type E in its chain.
func hasType[E error](err error) bool {
	var target E
	return errors.As(err, &target)
}

// isDocumented reports whether err is of one of the types that Decode documents.
func isDocumented(err error) bool {
	return hasType[*agateheader.TruncatedError](err) || hasType[*agateheader.OversizedError](err) ||
		hasType[*agateheader.VersionError](err) || hasType[*agateheader.MalformedError](err)
}

// TestDecodeErrors checks the error type for each kind of invalid datagram, and which
// flow the header holds afterwards.
func TestDecodeErrors(t *testing.T) {
	encode := func(change func(*agateheader.Header)) []byte {
		h := agateheader.Header{Version: agateheader.Version, Kind: agatekind.Request, Service: 1, Flow: 2, Number: 3}
		change(&h)
		datagram, err := h.Append(nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		return datagram
	}
	valid := encode(func(*agateheader.Header) {})
	tests := []struct {
		name     string
		datagram []byte
		matches  func(error) bool
		flow     uint64
	}{
		{"empty", nil, hasType[*agateheader.TruncatedError], 0},
		{"cut", valid[:len(valid)-1], hasType[*agateheader.TruncatedError], 0},
		{"oversized", append(valid, make([]byte, agateheader.MaxDatagram)...), hasType[*agateheader.OversizedError], 2},
		{"version", encode(func(h *agateheader.Header) { h.Version = 2 }), hasType[*agateheader.VersionError], 2},
		{"text", []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), hasType[*agateheader.MalformedError], 0},
		{"kind", encode(func(h *agateheader.Header) { h.Kind = "hello" }), hasType[*agateheader.MalformedError], 2},
		{"reason", encode(func(h *agateheader.Header) { h.Reason = "because" }), hasType[*agateheader.MalformedError], 2},
		{"no service", encode(func(h *agateheader.Header) { h.Service = 0 }), hasType[*agateheader.FieldError], 2},
		{"no flow", encode(func(h *agateheader.Header) { h.Flow = 0 }), hasType[*agateheader.FieldError], 0},
		{"no number", encode(func(h *agateheader.Header) { h.Number = 0 }), hasType[*agateheader.FieldError], 2},
	}
	for _, test := range tests {
		var h agateheader.Header
		_, err := h.Decode(test.datagram)
		if !test.matches(err) || !isDocumented(err) {
			t.Errorf("%s: error %T %v", test.name, err, err)
		}
		if h.Flow != test.flow {
			t.Errorf("%s: flow %d, want %d", test.name, h.Flow, test.flow)
		}
	}
}

// FuzzDecode checks that errors have documented types, that Kind agrees with Decode, and
// that an accepted header encodes and decodes to itself.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, datagram []byte) {
		var h agateheader.Header
		body, err := h.Decode(datagram)
		kind, kindErr := agateheader.Kind(datagram)
		if err != nil {
			if !isDocumented(err) {
				t.Fatalf("error %T %v", err, err)
			}
			return
		}
		if kindErr != nil || kind != h.Kind {
			t.Fatalf("kind %q, error %v; want %q", kind, kindErr, h.Kind)
		}
		reencoded, err := h.Append(nil, body)
		if err != nil {
			t.Fatal(err)
		}
		var second agateheader.Header
		if _, err := second.Decode(reencoded); err != nil || second != h {
			t.Fatalf("decoded again as %+v, error %v; want %+v", second, err, h)
		}
	})
}
