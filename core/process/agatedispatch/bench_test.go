package agatedispatch_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"agatereach/core/connection/agateguard"
	"agatereach/core/process/agatedispatch"
	"agatereach/core/request/agateclass"
	"agatereach/core/request/agateheader"
	"agatereach/core/request/agatekind"
)

// unlimited returns an option without a limit on opens.
func unlimited() agatedispatch.Option { return agatedispatch.WithOpeners(allowAll{}) }

func BenchmarkOpen(b *testing.B) {
	f := newFixture(b, unlimited(), agatedispatch.WithGuard(agateguard.WithFlows(1<<30)))
	in := input(b, agateheader.Header{Kind: agatekind.Open, Service: intake, Flow: 1, Class: agateclass.Short}, "")
	b.ReportAllocs()
	for b.Loop() {
		in.Header.Flow++
		f.now = f.now.Add(time.Millisecond)
		if out := f.d.Handle(f.now, in); len(out) != 1 {
			b.Fatalf("open: got %d outputs, want 1", len(out))
		}
	}
}

// BenchmarkRequest measures a request and its answer.
func BenchmarkRequest(b *testing.B) {
	f := newFixture(b)
	r := request(intake, 5, 0, f.open(intake, 5, agateclass.Short))
	r.Deadline = 1000
	b.ReportAllocs()
	for b.Loop() {
		r.Number++
		in := input(b, r, "batch")
		f.now = f.now.Add(time.Millisecond)
		sent := f.wantOne(f.d.Handle(f.now, in), agatedispatch.Server)
		reply := *in
		reply.Header.Kind, reply.Source, reply.Route = agatekind.Answer, agatedispatch.Server, sent.Route
		f.wantOne(f.d.Handle(f.now, &reply), agatedispatch.Caller)
	}
}

// BenchmarkFlows reports the memory used by a guarded flow.
func BenchmarkFlows(b *testing.B) {
	for _, flows := range []int{24_000, 100_000, 250_000} {
		b.Run(fmt.Sprint(flows), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(bytesPerFlow(flows), "B/flow")
			}
		})
	}
}

// bytesPerFlow returns the memory used by each of the given number of guarded
// flows, in bytes.
func bytesPerFlow(flows int) float64 {
	before := heapInUse()
	g := agateguard.New(1)
	for flow := range flows {
		g.Open(epoch, agateguard.Key{Service: 1, Flow: uint64(flow)})
	}
	used := heapInUse() - before
	runtime.KeepAlive(g)
	return float64(used) / float64(flows)
}

func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
