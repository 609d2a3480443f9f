// Package agateclass defines the classes of work, by which flows and requests are
// balanced.
package agateclass

import "fmt"

// Class is the class of work of a flow or request, encoded as a CBOR text string.
type Class string

// The values of a Class.
const (
	// None is the class of datagrams that belong to no work.
	None Class = ""
	// Feed is a long-lived stream of data that occupies a connection of its backend
	// server but no slot.
	Feed Class = "feed"
	// Short is a request that is expected to end soon.
	Short Class = "short"
	// Long is a request that is expected to occupy its slot for a long time.
	Long Class = "long"
)

// ValueError reports input that is not a known Class.
type ValueError struct {
	// Text is the start of the input, or of its hexadecimal form; see maxQuotedText.
	Text string
}

// Error returns a message that quotes the input.
func (e *ValueError) Error() string { return fmt.Sprintf("unknown class %q", e.Text) }

// maxQuotedText limits the input that a ValueError quotes, in bytes.
const maxQuotedText = 32

// longTextByte is the lowest CBOR initial byte of a text string whose length follows in
// bytes of its own.
const longTextByte = 0x78

// emptyTextByte is the CBOR initial byte of an empty text string.
const emptyTextByte = 0x60

// Parse returns the Class with the given text. It returns a constant rather than the input,
// so that a decoded value does not keep the datagram's memory alive. The error is a
// *ValueError.
func Parse(text []byte) (Class, error) {
	switch string(text) {
	case "":
		return None, nil
	case "feed":
		return Feed, nil
	case "short":
		return Short, nil
	case "long":
		return Long, nil
	}
	return "", &ValueError{Text: string(text[:min(len(text), maxQuotedText)])}
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Class) UnmarshalText(text []byte) error {
	parsed, err := Parse(text)
	if err != nil {
		return err
	}
	*k = parsed
	return nil
}

// UnmarshalCBOR implements cbor.Unmarshaler. It does not allocate for valid input.
func (k *Class) UnmarshalCBOR(item []byte) error {
	if len(item) == 0 || item[0] < emptyTextByte || item[0] >= longTextByte {
		return &ValueError{Text: fmt.Sprintf("%x", item[:min(len(item), maxQuotedText)])}
	}
	return k.UnmarshalText(item[1:])
}
