package agatetrack_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"agatereach/core/connection/agatetrack"
	"agatereach/core/request/agatesegment"
	"agatereach/core/request/agatetuple"
)

const (
	ms     = time.Millisecond
	window = 16 * 1200
)

func tuple(port uint16) agatetuple.Tuple {
	return agatetuple.Tuple{Source: [4]byte{100, 64, 0, 1}, Target: [4]byte{198, 18, 0, 1}, SourcePort: port, TargetPort: 443}
}

// step is a segment of one flow and what it must tell.
type step struct {
	at   time.Duration
	s    agatesegment.Segment
	want agatetrack.Event
}

const ack = agatesegment.ACK

func play(t *testing.T, steps []step) *agatetrack.Flow[int] {
	t.Helper()
	table := agatetrack.New(10, window, func(*agatetrack.Flow[int]) {})
	var f *agatetrack.Flow[int]
	for i, each := range steps {
		each.s.Flow = tuple(1)
		var got agatetrack.Event
		f, got, _ = table.Observe(each.s, each.at)
		if got != each.want {
			t.Errorf("segment %d: %+v, want %+v", i, got, each.want)
		}
	}
	return f
}

// TestRequests plays a flow with two requests.
func TestRequests(t *testing.T) {
	f := play(t, []step{
		{1 * ms, agatesegment.Segment{Sequence: 99, Flags: agatesegment.SYN}, agatetrack.Event{}},
		{7 * ms, agatesegment.Segment{Sequence: 100, Acknowledged: 500, Flags: ack}, agatetrack.Event{Opened: true, Answered: true}},
		{8 * ms, agatesegment.Segment{Sequence: 100, Acknowledged: 500, Length: 200, Flags: ack}, agatetrack.Event{Requested: true}},
		{50 * ms, agatesegment.Segment{Sequence: 300, Acknowledged: 1700, Flags: ack}, agatetrack.Event{Answered: true, Responded: true, Size: 1200}},
		{52 * ms, agatesegment.Segment{Sequence: 300, Acknowledged: 2100, Flags: ack}, agatetrack.Event{Answered: true}},
		{90 * ms, agatesegment.Segment{Sequence: 300, Acknowledged: 2100, Length: 100, Flags: ack}, agatetrack.Event{Requested: true}},
		{95 * ms, agatesegment.Segment{Sequence: 400, Acknowledged: 2700, Length: 50, Flags: ack}, agatetrack.Event{Answered: true, Responded: true, Size: 600, Requested: true}},
		{99 * ms, agatesegment.Segment{Sequence: 450, Acknowledged: 2900, Flags: ack | agatesegment.FIN}, agatetrack.Event{Answered: true, Responded: true, Size: 200, Ended: true}},
		{100 * ms, agatesegment.Segment{Sequence: 451, Acknowledged: 2901, Flags: ack}, agatetrack.Event{Answered: true}},
	})
	if f.Requests != 3 || f.Waiting || f.Phase != agatetrack.Closed {
		t.Errorf("%d requests, waiting %t, %s", f.Requests, f.Waiting, f.Phase)
	}
}

// TestRepeats plays a flow whose server falls silent, around the wrap of the
// sequence numbers.
func TestRepeats(t *testing.T) {
	const start = 1<<32 - 101
	f := play(t, []step{
		{1 * ms, agatesegment.Segment{Sequence: start, Flags: agatesegment.SYN}, agatetrack.Event{}},
		{201 * ms, agatesegment.Segment{Sequence: start, Acknowledged: 1, Flags: agatesegment.SYN}, agatetrack.Event{Repeated: true, Since: 1 * ms}},
		{601 * ms, agatesegment.Segment{Sequence: start, Acknowledged: 2, Flags: agatesegment.SYN}, agatetrack.Event{Repeated: true, Since: 201 * ms}},
		{610 * ms, agatesegment.Segment{Sequence: start + 1, Acknowledged: 500, Length: 200, Flags: ack}, agatetrack.Event{Opened: true, Answered: true, Requested: true}},
		{810 * ms, agatesegment.Segment{Sequence: start + 1, Acknowledged: 500, Length: 200, Flags: ack}, agatetrack.Event{Repeated: true, Since: 610 * ms}},
		{1210 * ms, agatesegment.Segment{Sequence: start + 1, Acknowledged: 500, Length: 200, Flags: ack}, agatetrack.Event{Repeated: true, Since: 610 * ms}},
	})
	if f.Repeats != 2 || !f.Waiting {
		t.Errorf("%d repeats, waiting %t", f.Repeats, f.Waiting)
	}
}

// TestUpload takes data beyond the window as a sign that the server has
// acknowledged what was before it.
func TestUpload(t *testing.T) {
	steps := []step{
		{1 * ms, agatesegment.Segment{Sequence: 99, Flags: agatesegment.SYN}, agatetrack.Event{}},
		{7 * ms, agatesegment.Segment{Sequence: 100, Acknowledged: 500, Flags: ack}, agatetrack.Event{Opened: true, Answered: true}},
	}
	for i := range uint32(20) {
		want := agatetrack.Event{Requested: i == 0, Answered: i == 16}
		steps = append(steps, step{10 * ms, agatesegment.Segment{Sequence: 100 + i*1200, Acknowledged: 500, Length: 1200, Flags: ack}, want})
	}
	play(t, steps)
}

// TestBound draws segments of many flows: the table holds at most its capacity,
// and each flow that leaves it is told once.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 8).Draw(t, "capacity")
		held := make(map[*agatetrack.Flow[int]]bool)
		table := agatetrack.New(capacity, window, func(f *agatetrack.Flow[int]) {
			if !held[f] {
				t.Fatal("a flow has left twice")
			}
			delete(held, f)
		})
		now := time.Second
		for range rapid.IntRange(1, 60).Draw(t, "segments") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * ms
			s := agatesegment.Segment{
				Flow:     tuple(rapid.Uint16Range(1, 20).Draw(t, "port")),
				Sequence: rapid.Uint32().Draw(t, "sequence"), Acknowledged: rapid.Uint32().Draw(t, "acknowledged"),
				Length: rapid.Uint16Range(0, 1200).Draw(t, "length"),
				Flags:  agatesegment.Flags(rapid.IntRange(0, 15).Draw(t, "flags")),
			}
			f, _, _ := table.Observe(s, now)
			held[f] = true
			if rapid.IntRange(0, 9).Draw(t, "expire") == 0 {
				table.Expire(now - time.Second)
			}
			if table.Len() > capacity || table.Len() != len(held) {
				t.Fatalf("%d flows, capacity %d, %d told", table.Len(), capacity, len(held))
			}
		}
		last := time.Duration(1 << 62)
		table.Each(func(f *agatetrack.Flow[int]) {
			if f.Seen > last {
				t.Fatal("the order is broken")
			}
			last = f.Seen
		})
	})
}

// BenchmarkObserve takes in segments of flows that are held.
func BenchmarkObserve(b *testing.B) {
	table := agatetrack.New(1<<14, window, func(*agatetrack.Flow[int]) {})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		s := agatesegment.Segment{Flow: tuple(uint16(i % 10000)), Sequence: uint32(i), Acknowledged: uint32(i), Flags: ack}
		table.Observe(s, time.Duration(i))
	}
}
