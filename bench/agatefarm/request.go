package agatefarm

import (
	"encoding/binary"
	"time"
)

// Request is what a caller asks a server for. It precedes the body of a call.
type Request struct {
	// ID names the request, and is that of its first try for those that may run
	// once.
	ID uint64
	// Once says that it must not run twice.
	Once bool
	// Size is the size of the body, and Answer that of the answer's, in bytes.
	Size, Answer uint32
	// Work is the time that it takes.
	Work time.Duration
}

// Sizes of the heads of requests and answers, in bytes.
const (
	requestSize = 21
	answerSize  = 12
)

// Encode returns the request with a body.
func (r Request) Encode() []byte {
	b := binary.BigEndian.AppendUint64(nil, r.ID)
	once := byte(0)
	if r.Once {
		once = 1
	}
	b = append(b, once)
	b = binary.BigEndian.AppendUint32(b, r.Size)
	b = binary.BigEndian.AppendUint32(b, r.Answer)
	b = binary.BigEndian.AppendUint32(b, uint32(r.Work.Milliseconds()))
	return append(b, pattern(r.ID, r.Size)...)
}

// decode returns the request at the head of the bytes and its size with the
// body; false if it is not whole, or not as its caller wrote it.
func decode(b []byte) (Request, int, bool) {
	if len(b) < requestSize {
		return Request{}, 0, false
	}
	r := Request{
		ID: binary.BigEndian.Uint64(b), Once: b[8] == 1, Size: binary.BigEndian.Uint32(b[9:]),
		Answer: binary.BigEndian.Uint32(b[13:]), Work: time.Duration(binary.BigEndian.Uint32(b[17:])) * time.Millisecond,
	}
	size := requestSize + int(r.Size)
	return r, size, len(b) >= size
}

// answer returns the answer to the request.
func (r Request) answer() []byte {
	b := binary.BigEndian.AppendUint64(nil, r.ID)
	b = binary.BigEndian.AppendUint32(b, r.Answer)
	return append(b, pattern(r.ID, r.Answer)...)
}

// Answered reports whether the bytes hold the whole answer, and whether they are
// right as far as they go.
func (r Request) Answered(b []byte) (whole, right bool) {
	want := r.answer()
	if len(b) > len(want) {
		return false, false
	}
	return len(b) == len(want), string(want[:len(b)]) == string(b)
}

// pattern returns bytes that tell one request's body from another's.
func pattern(id uint64, size uint32) []byte {
	b := make([]byte, size)
	for i := range b {
		b[i] = byte(id) + byte(i)*byte(id>>8|1)
	}
	return b
}
