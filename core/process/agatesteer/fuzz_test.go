package agatesteer_test

import (
	"encoding/binary"
	"testing"

	"agatereach/core/process/agatesteer"
	"agatereach/core/request/agateload"
	"agatereach/core/request/agatesegment"
	"agatereach/core/request/agatetuple"
	"agatereach/core/version/agateinstance"
)

// FuzzHandle passes arbitrary segments and load reports to a steerer: nothing
// that a caller or another entry sends may cause a panic, and segments are
// forwarded only to servers in the catalog.
func FuzzHandle(f *testing.F) {
	f.Add([]byte("0123456789abcdef0123456789abcdef"))
	f.Add(make([]byte, 64))
	f.Fuzz(func(t *testing.T, script []byte) {
		fx := newFixture(t)
		instances := []agateinstance.Instance{fx.server(1, "a", agateinstance.Ready), fx.server(2, "b", agateinstance.Ready)}
		for ; len(script) >= 16; script = script[16:] {
			fx.now += ms * (1 + (100*256)>>(script[0]%16))
			known := instances[int(script[1])%len(instances)]
			token := binary.BigEndian.Uint32(script[2:])
			if script[6]%2 == 0 {
				token, _ = fx.catalog.Token(known.Key)
			}
			if script[7]%8 == 0 {
				fx.steerer.Report(string(script[8:9]), []agateload.Load{{
					Token: token, UnansweredFlows: script[9], Firm: script[10], UnansweredFor: uint32(script[11]), Pending: uint16(script[12]) << 8,
					Open: uint16(script[13]), SinceAnswer: uint32(script[14] % 2),
				}}, script[15]%2 == 0, fx.now)
				continue
			}
			v := fx.steerer.Handle(agatesegment.Segment{
				Flow:     agatetuple.Tuple{Source: [4]byte{10}, SourcePort: uint16(script[8] % 8), Target: feeds.Address.Addr().As4(), TargetPort: feeds.Address.Port()},
				Sequence: uint32(script[9]), Acknowledged: uint32(script[10]), Token: token, Flags: agatesegment.Flags(script[11]), Length: uint16(script[12]),
			}, fx.now)
			if v.Action == agatesteer.Forward && v.Server != 1 && v.Server != 2 {
				t.Fatalf("forwarded to a server that is not in the catalog: %+v", v)
			}
			fx.steerer.Tick(fx.now)
		}
	})
}
