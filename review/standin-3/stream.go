package main

import (
	"time"
)

// Times of an end of a flow, as PROTOCOL.md says.
const (
	firstResend = 200 * time.Millisecond
	maxResend   = 1600 * time.Millisecond
	window      = 16
)

// sent is a packet that isn't acknowledged yet.
type sent struct {
	p      packet
	at     time.Time
	delay  time.Duration
	copies int
}

// stream is one end of an open flow.
type stream struct {
	head packet
	// next is the sequence number of the next byte to send, and want that of the next byte
	// to receive.
	next, want uint32
	queue      []byte
	flight     []sent
	early      map[uint32][]byte
	input      []byte
	unacked    int
	echo       uint32
	send       func(packet)
	finished   bool
}

func newStream(head packet, next, want, echo uint32, send func(packet)) *stream {
	return &stream{head: head, next: next, want: want, echo: echo, send: send, early: make(map[uint32][]byte)}
}

// make returns a packet of this end.
func (s *stream) make(flags byte, seq uint32, data []byte) packet {
	p := s.head
	p.flags, p.seq, p.ack, p.echo, p.data = flags, seq, s.want, s.echo, data
	return p
}

// write queues data and sends what fits.
func (s *stream) write(data []byte) {
	s.queue = append(s.queue, data...)
	s.pump()
}

func (s *stream) pump() {
	for len(s.queue) > 0 && len(s.flight) < window {
		n := min(len(s.queue), maxData)
		p := s.make(flagACK, s.next, append([]byte(nil), s.queue[:n]...))
		s.queue = s.queue[n:]
		s.next += uint32(n)
		s.flight = append(s.flight, sent{p: p, at: time.Now(), delay: firstResend})
		s.unacked = 0
		s.send(p)
	}
}

// receive takes a packet of the other end. Each second packet is acknowledged, and each that
// is a copy.
func (s *stream) receive(p packet) {
	s.echo = p.echo
	if p.has(flagACK) {
		kept := s.flight[:0]
		for _, each := range s.flight {
			if after(each.p.seq+uint32(len(each.p.data)), p.ack) {
				kept = append(kept, each)
			}
		}
		s.flight = kept
		s.pump()
	}
	if len(p.data) == 0 {
		return
	}
	s.unacked++
	if after(p.seq+uint32(len(p.data)), s.want) {
		s.early[p.seq] = p.data
		for {
			data, ok := s.early[s.want]
			if !ok {
				break
			}
			delete(s.early, s.want)
			s.input = append(s.input, data...)
			s.want += uint32(len(data))
		}
	} else {
		s.unacked = 2
	}
	if s.unacked >= 2 {
		s.unacked = 0
		s.send(s.make(flagACK, s.next, nil))
	}
}

// resend sends what is overdue, and returns the largest number of copies of a packet.
func (s *stream) resend() int {
	most := 0
	for i := range s.flight {
		each := &s.flight[i]
		most = max(most, each.copies)
		if time.Since(each.at) < each.delay {
			continue
		}
		each.copies++
		each.at, each.delay = time.Now(), min(2*each.delay, maxResend)
		each.p.ack, each.p.echo = s.want, s.echo
		s.send(each.p)
	}
	return most
}

// finish sends a FIN.
func (s *stream) finish() {
	if !s.finished {
		s.finished = true
		s.send(s.make(flagFIN|flagACK, s.next, nil))
	}
}
