package agatemember_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"agatereach/core/process/agateclaim"
	"agatereach/core/process/agatemember"
	"agatereach/core/process/agatepeers"
)

// fleetSize is the number of entries that the system is designed for.
const fleetSize = 11000

var start = time.Unix(1700000000, 0)

// testClaim returns the first claim of process i, which runs on the VM vm-i.
func testClaim(i int) agateclaim.Claim {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7001)
	return agateclaim.Claim{
		VM: fmt.Sprintf("vm-%d", i), Centre: uint16(i%20) + 1, Link: address, Relay: address,
		Boot: uint64(i+1) << 8, Start: start.UnixMilli(), Beat: 1, State: agatepeers.Live,
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMembers measures time and memory of a membership of fleetSize
// processes.
func BenchmarkMembers(b *testing.B) {
	heapBefore := heapBytes()
	m := agatemember.New(start, testClaim(0))
	for i := 1; i < fleetSize; i++ {
		m.Hear(start, testClaim(i))
	}
	m.News()
	heapRecords := heapBytes()
	peers := m.Peers(start)
	heapPeers := heapBytes()
	b.Run("hear", func(b *testing.B) {
		claims := make([]agateclaim.Claim, fleetSize)
		for i := range claims {
			claims[i] = testClaim(i)
		}
		b.ResetTimer()
		for i := range b.N {
			index := i%(fleetSize-1) + 1
			claims[index].Beat++
			m.Hear(start, claims[index])
			m.News()
		}
	})
	b.Run("tick", func(b *testing.B) {
		for range b.N {
			m.Tick(start)
		}
		b.ReportMetric(float64(heapRecords-heapBefore)/fleetSize, "B/member")
	})
	b.Run("peers", func(b *testing.B) {
		for range b.N {
			m.Peers(start)
		}
		b.ReportMetric(float64(heapPeers-heapRecords)/fleetSize, "B/peer")
	})
	b.Run("nodes", func(b *testing.B) {
		for range b.N {
			m.Nodes()
		}
	})
	runtime.KeepAlive(peers)
	runtime.KeepAlive(m)
}
