// Package agateoutcome defines the outcomes of requests that get no answer.
package agateoutcome

import "fmt"

// Outcome states whether a request without an answer ran, encoded as a CBOR text string.
type Outcome string

// The values of an Outcome.
const (
	// None is the outcome of datagrams that do not refuse a request.
	None Outcome = ""
	// NotRun means that no copy of the request has run or will run.
	NotRun Outcome = "notrun"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// ValueError reports input that is not a known Outcome.
type ValueError struct {
	// Text is the start of the input, or of its hexadecimal form; see maxQuotedText.
	Text string
}

// Error returns a message that quotes the input.
func (e *ValueError) Error() string { return fmt.Sprintf("unknown outcome %q", e.Text) }

// maxQuotedText limits the input that a ValueError quotes, in bytes.
const maxQuotedText = 32

// longTextByte is the lowest CBOR initial byte of a text string whose length follows in
// bytes of its own.
const longTextByte = 0x78

// emptyTextByte is the CBOR initial byte of an empty text string.
const emptyTextByte = 0x60

// Parse returns the Outcome with the given text. It returns a constant rather than the input,
// so that a decoded value does not keep the datagram's memory alive. The error is a
// *ValueError.
func Parse(text []byte) (Outcome, error) {
	switch string(text) {
	case "":
		return None, nil
	case "notrun":
		return NotRun, nil
	case "unknown":
		return Unknown, nil
	}
	return "", &ValueError{Text: string(text[:min(len(text), maxQuotedText)])}
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Outcome) UnmarshalText(text []byte) error {
	parsed, err := Parse(text)
	if err != nil {
		return err
	}
	*k = parsed
	return nil
}

// UnmarshalCBOR implements cbor.Unmarshaler. It does not allocate for valid input.
func (k *Outcome) UnmarshalCBOR(item []byte) error {
	if len(item) == 0 || item[0] < emptyTextByte || item[0] >= longTextByte {
		return &ValueError{Text: fmt.Sprintf("%x", item[:min(len(item), maxQuotedText)])}
	}
	return k.UnmarshalText(item[1:])
}
