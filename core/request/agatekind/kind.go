// Package agatekind defines the kinds of datagrams.
package agatekind

import "fmt"

// Kind is the kind of a datagram, encoded as a CBOR text string.
type Kind string

// The values of a Kind.
const (
	// Open requests a new flow.
	Open Kind = "open"
	// Opened accepts a new flow, or renews the token of an existing one.
	Opened Kind = "opened"
	// Data carries bytes of a feed, in either direction.
	Data Kind = "data"
	// Request carries one request to a backend server.
	Request Kind = "request"
	// Answer carries the response to a request.
	Answer Kind = "answer"
	// Refuse reports that a datagram was not served, and the reason.
	Refuse Kind = "refuse"
	// Cancel asks to cancel a request.
	Cancel Kind = "cancel"
	// Ping keeps a flow alive and renews the route by which the server reaches the
	// caller.
	Ping Kind = "ping"
	// Pong answers a ping.
	Pong Kind = "pong"
)

// ValueError reports input that is not a known Kind.
type ValueError struct {
	// Text is the start of the input, or of its hexadecimal form; see maxQuotedText.
	Text string
}

// Error returns a message that quotes the input.
func (e *ValueError) Error() string { return fmt.Sprintf("unknown kind %q", e.Text) }

// maxQuotedText limits the input that a ValueError quotes, in bytes.
const maxQuotedText = 32

// longTextByte is the lowest CBOR initial byte of a text string whose length follows in
// bytes of its own.
const longTextByte = 0x78

// emptyTextByte is the CBOR initial byte of an empty text string.
const emptyTextByte = 0x60

// Parse returns the Kind with the given text. It returns a constant rather than the input,
// so that a decoded value does not keep the datagram's memory alive. The error is a
// *ValueError.
func Parse(text []byte) (Kind, error) {
	switch string(text) {
	case "open":
		return Open, nil
	case "opened":
		return Opened, nil
	case "data":
		return Data, nil
	case "request":
		return Request, nil
	case "answer":
		return Answer, nil
	case "refuse":
		return Refuse, nil
	case "cancel":
		return Cancel, nil
	case "ping":
		return Ping, nil
	case "pong":
		return Pong, nil
	}
	return "", &ValueError{Text: string(text[:min(len(text), maxQuotedText)])}
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Kind) UnmarshalText(text []byte) error {
	parsed, err := Parse(text)
	if err != nil {
		return err
	}
	*k = parsed
	return nil
}

// UnmarshalCBOR implements cbor.Unmarshaler. It does not allocate for valid input.
func (k *Kind) UnmarshalCBOR(item []byte) error {
	if len(item) == 0 || item[0] < emptyTextByte || item[0] >= longTextByte {
		return &ValueError{Text: fmt.Sprintf("%x", item[:min(len(item), maxQuotedText)])}
	}
	return k.UnmarshalText(item[1:])
}
