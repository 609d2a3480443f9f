// Package agateheader defines the header of every datagram between a caller, the
// entries and a backend server. The body follows the header as raw bytes.
package agateheader

import (
	"errors"
	"fmt"

	"agatereach/core/request/agateclass"
	"agatereach/core/request/agatecodec"
	"agatereach/core/request/agatekind"
	"agatereach/core/request/agateoutcome"
	"agatereach/core/request/agatereason"
	"agatereach/core/request/agateseal"
)

const (
	// Version is the version of the format that this package encodes and decodes.
	Version = 1
	// MaxDatagram is the maximum size of a datagram, in bytes.
	MaxDatagram = 8 << 10
	// minDatagram is a lower bound of the size of an encoded header, in bytes.
	minDatagram = 14
	// arrayByte is the CBOR initial byte of the array of fields.
	arrayByte = 0x80 | fieldCount
	// fieldCount is the number of the header's fields.
	fieldCount = 14
)

// TruncatedError reports a datagram that ends inside its header.
type TruncatedError struct {
	// Have is the datagram's size in bytes.
	Have int
}

// Error returns a message with the size.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("datagram of %d bytes is truncated", e.Have)
}

// OversizedError reports a datagram that is longer than MaxDatagram.
type OversizedError struct {
	// Have is the datagram's size in bytes.
	Have int
}

// Error returns a message with the size and the limit.
func (e *OversizedError) Error() string {
	return fmt.Sprintf("datagram of %d bytes is longer than %d", e.Have, MaxDatagram)
}

// VersionError reports a format version that is not supported.
type VersionError struct {
	// Have is the version of the datagram.
	Have uint8
}

// Error returns a message with the version.
func (e *VersionError) Error() string {
	return fmt.Sprintf("format version %d is not supported", e.Have)
}

// MalformedError reports a datagram without a valid header.
type MalformedError struct {
	// Err is the decoder's error or a *FieldError.
	Err error
}

// Error returns a message with the cause.
func (e *MalformedError) Error() string { return fmt.Sprintf("malformed header: %v", e.Err) }

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Err }

// Header is the header of a datagram. It is encoded as a CBOR array of its fields in
// the order of their declaration.
type Header struct {
	_ struct{} `cbor:",toarray"`
	// Version is the version of the format, equal to the constant Version.
	Version uint8
	// Kind is the kind of the datagram.
	Kind agatekind.Kind
	// Service is the number of the flow's service; not 0.
	Service uint32
	// Flow is the flow's number, not 0. The caller draws it at random and never reuses
	// it.
	Flow uint64
	// Number is the number of the request within its flow, counted from 1; 0 in
	// datagrams that belong to no request.
	Number uint64
	// Token is the flow's route token; empty in a datagram of kind open.
	Token agateseal.Seal
	// Customer is the caller's customer number; 0 for none.
	Customer uint32
	// Deadline is the time left until the request's deadline, in milliseconds; 0 for
	// no deadline.
	Deadline uint32
	// Class is the class of work of the flow or request.
	Class agateclass.Class
	// Idempotent is whether the request may run more than once.
	Idempotent bool
	// Priority orders requests under overload; the highest is served first.
	Priority uint8
	// Outcome states in a refusal whether the request ran.
	Outcome agateoutcome.Outcome
	// Reason is the reason for a refusal.
	Reason agatereason.Reason
	// Wait is the time after which the caller may retry after a refusal, in
	// milliseconds; 0 if none is suggested.
	Wait uint32
}

// Append appends the encoded header and the body to b. The errors are
// *agatecodec.EncodeError and *OversizedError.
func (h *Header) Append(b, body []byte) ([]byte, error) {
	head, err := agatecodec.Codec{}.Encode("header", h)
	if err != nil {
		return b, err
	}
	if size := len(head) + len(body); size > MaxDatagram {
		return b, &OversizedError{Have: size}
	}
	b = append(b, head...)
	return append(b, body...), nil
}

// Decode decodes the header of datagram into h and returns the body, which shares the
// datagram's memory. The errors are *TruncatedError, *OversizedError, *VersionError and
// *MalformedError. After an *OversizedError or a *VersionError, h holds the header if it
// could be decoded in this version's format, so that a refusal can be sent to the
// sender; otherwise h is zero.
func (h *Header) Decode(datagram []byte) ([]byte, error) {
	if len(datagram) < minDatagram {
		return nil, &TruncatedError{Have: len(datagram)}
	}
	if len(datagram) > MaxDatagram {
		h.decodeBestEffort(datagram[:MaxDatagram])
		return nil, &OversizedError{Have: len(datagram)}
	}
	if datagram[0] == arrayByte && datagram[1] != Version {
		h.decodeBestEffort(datagram)
		return nil, &VersionError{Have: datagram[1]}
	}
	rest, err := agatecodec.Codec{}.First("header", datagram, h)
	if errors.Is(err, errUnexpectedEOF) {
		return nil, &TruncatedError{Have: len(datagram)}
	}
	if err != nil {
		return nil, &MalformedError{Err: err}
	}
	return rest, h.validate()
}

// decodeBestEffort decodes the header of a datagram that is refused in any case. It
// leaves h zero if the header cannot be decoded.
func (h *Header) decodeBestEffort(datagram []byte) {
	if _, err := (agatecodec.Codec{}).First("header", datagram, h); err != nil {
		*h = Header{}
	}
}

// Kind returns the kind of a datagram without decoding the rest of its header. The errors
// have the same types as those of Header.Decode.
func Kind(datagram []byte) (agatekind.Kind, error) {
	if len(datagram) < minDatagram {
		return "", &TruncatedError{Have: len(datagram)}
	}
	if len(datagram) > MaxDatagram {
		return "", &OversizedError{Have: len(datagram)}
	}
	if datagram[0] != arrayByte {
		return "", &MalformedError{Err: &FieldError{Field: "kind"}}
	}
	if datagram[1] != Version {
		return "", &VersionError{Have: datagram[1]}
	}
	end := kindAt + 1 + int(datagram[kindAt]&textLengthMask)
	var kind agatekind.Kind
	if err := kind.UnmarshalCBOR(datagram[kindAt:min(end, len(datagram))]); err != nil {
		return "", &MalformedError{Err: err}
	}
	return kind, nil
}

const (
	// kindAt is the offset of the kind, in bytes.
	kindAt = 2
	// textLengthMask selects the length in the CBOR initial byte of a short text string.
	textLengthMask = 0x1f
)
