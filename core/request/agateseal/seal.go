// Package agateseal defines the encoded and signed form of a route token, as datagrams
// carry it.
package agateseal

import "fmt"

// Size is the length of a sealed token in bytes.
const Size = 86

// CBOR initial bytes of a byte string with a one-byte length and of an empty one.
const (
	byteStringHead  = 0x58
	emptyByteString = 0x40
)

// SizeError reports a sealed token of the wrong length.
type SizeError struct {
	// Have is the actual length, in bytes.
	Have int
}

// Error returns a message with the actual and the expected length.
func (e *SizeError) Error() string {
	return fmt.Sprintf("sealed token has %d bytes, want %d", e.Have, Size)
}

// Seal is an encoded route token followed by its message authentication code. The zero
// value means that there is no token.
type Seal [Size]byte

// IsZero reports whether there is no token. Its first byte, the format's version, is
// never 0 in a token.
func (s *Seal) IsZero() bool { return s[0] == 0 }

// MarshalCBOR implements cbor.Marshaler. It returns a byte string, empty if there is no
// token.
func (s Seal) MarshalCBOR() ([]byte, error) {
	if s.IsZero() {
		return []byte{emptyByteString}, nil
	}
	item := make([]byte, 0, Size+2)
	item = append(item, byteStringHead, Size)
	return append(item, s[:]...), nil
}

// UnmarshalCBOR implements cbor.Unmarshaler. It accepts a byte string of Size bytes or an
// empty one. The error is a *SizeError.
func (s *Seal) UnmarshalCBOR(item []byte) error {
	if len(item) == 1 && item[0] == emptyByteString {
		*s = Seal{}
		return nil
	}
	if len(item) != Size+2 || item[0] != byteStringHead || item[1] != Size {
		return &SizeError{Have: max(len(item)-2, 0)}
	}
	copy(s[:], item[2:])
	return nil
}
