package agatebalance

import (
	"fmt"
	"testing"
	"time"

	"agatereach/core/process/agateplacement"
	"agatereach/core/request/agateclass"
	"agatereach/core/version/agateserver"
)

// BenchmarkChoice measures a request's choice of server, load report and end
// while half of the slots are in use.
func BenchmarkChoice(b *testing.B) {
	for _, policy := range agateplacement.Names() {
		for _, count := range []int{14, 600, 6000} {
			b.Run(fmt.Sprintf("%s/servers=%d", policy, count), func(b *testing.B) {
				benchmarkChoice(b, New(WithPolicy(string(policy))), count)
			})
		}
	}
}

func benchmarkChoice(b *testing.B, balancer *Balancer, count int) {
	const slots = 3
	servers := make([]Server, count)
	for i := range servers {
		servers[i] = Server{ID: uint32(i + 1), Incarnation: 1, Slots: slots, Connections: 2000, State: agateserver.Up}
	}
	now := time.Unix(0, 0)
	balancer.SetServers(now, servers)
	window := count * slots / 2
	sentTo := make([]uint32, window)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(20 * time.Microsecond)
		slot := i % window
		if i >= window {
			balancer.Report(now, sentTo[slot], Report{Busy: 1})
			balancer.Done(now, uint64(i-window), Answered)
		}
		d := balancer.Submit(now, Work{ID: uint64(i), Class: agateclass.Short, Arrived: now, Deadline: now.Add(time.Minute)})
		sentTo[slot] = d.Server
	}
}

// BenchmarkOpen measures the choice of a feed's server.
func BenchmarkOpen(b *testing.B) {
	for _, count := range []int{14, 600, 6000} {
		b.Run(fmt.Sprintf("servers=%d", count), func(b *testing.B) {
			balancer := New()
			var servers []Server
			for i := range count {
				servers = append(servers, Server{ID: uint32(i + 1), Incarnation: 1, Slots: 3, Connections: 1 << 20, State: agateserver.Up})
			}
			now := time.Unix(0, 0)
			balancer.SetServers(now, servers)
			b.ReportAllocs()
			for i := range b.N {
				balancer.Open(now, uint64(i))
			}
		})
	}
}
