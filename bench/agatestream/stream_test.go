package agatestream_test

import (
	"bytes"
	"testing"
	"time"

	"pgregory.net/rapid"

	"agatereach/bench/agatestream"
	"agatereach/core/process/agateseed"
	"agatereach/core/request/agatetuple"
)

func TestMain(m *testing.M) { agateseed.Main(m) }

var flow = agatetuple.Tuple{Source: [4]byte{127, 1, 0, 1}, SourcePort: 4000, Target: [4]byte{198, 18, 0, 1}, TargetPort: 443}

// TestLossy carries bytes both ways over a path that loses and overtakes.
func TestLossy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		there := rapid.SliceOfN(rapid.Byte(), 1, 60000).Draw(t, "there")
		back := rapid.SliceOfN(rapid.Byte(), 1, 9000).Draw(t, "back")
		lost := rapid.SliceOfN(rapid.Bool(), 1, 40).Draw(t, "lost")
		caller := agatestream.New(flow, 7, 100, 4000000000, 40*time.Millisecond)
		server := agatestream.New(flow.Reverse(), 7, 4000000000, 100, 0)
		passed := 0
		pass := func(packets []agatestream.Packet) []agatestream.Packet {
			var kept []agatestream.Packet
			for _, p := range packets {
				passed++
				// The path is clean after a while, so that the stream gets through.
				if passed > 60 || !lost[passed%len(lost)] {
					p.Data = bytes.Clone(p.Data)
					kept = append([]agatestream.Packet{p}, kept...)
				}
			}
			return kept
		}
		now := time.Duration(0)
		toServer, toCaller := pass(caller.Write(there, now)), pass(server.Write(back, now))
		for range 20000 {
			now += 10 * time.Millisecond
			var nextServer, nextCaller []agatestream.Packet
			for _, p := range toServer {
				nextCaller = append(nextCaller, pass(server.Receive(p, now))...)
			}
			for _, p := range toCaller {
				nextServer = append(nextServer, pass(caller.Receive(p, now))...)
			}
			toServer = append(nextServer, pass(caller.Due(now))...)
			toCaller = append(nextCaller, pass(server.Due(now))...)
			if len(server.Read()) == len(there) && len(caller.Read()) == len(back) && caller.Idle() && server.Idle() {
				break
			}
		}
		if !bytes.Equal(server.Read(), there) || !bytes.Equal(caller.Read(), back) {
			t.Fatalf("%d of %d and %d of %d bytes", len(server.Read()), len(there), len(caller.Read()), len(back))
		}
	})
}

// TestLone leaves a lone segment unacknowledged until there is an answer.
func TestLone(t *testing.T) {
	caller := agatestream.New(flow, 7, 1, 1, 40*time.Millisecond)
	server := agatestream.New(flow.Reverse(), 7, 1, 1, 0)
	request := caller.Write([]byte("request"), 0)
	if got := server.Receive(request[0], 0); len(got) != 0 {
		t.Errorf("%d segments for a lone one", len(got))
	}
	copies := caller.Due(200 * time.Millisecond)
	if len(copies) != 1 {
		t.Fatalf("%d copies", len(copies))
	}
	if got := server.Receive(copies[0], 200*time.Millisecond); len(got) != 1 || len(got[0].Data) != 0 {
		t.Errorf("%+v for a copy", got)
	}
}
