// Package agatecodec encodes and decodes CBOR with the options that all wire types share.
package agatecodec

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Limits of one decoded CBOR item: nesting levels, and elements of one array or pairs of
// one map.
const (
	maxNestingLevels = 16
	maxElements      = 1 << 18
)

// DecodeError reports input that is not the expected CBOR item.
type DecodeError struct {
	// What names the item that was being decoded.
	What string
	// Err is the error of the CBOR library.
	Err error
}

// Error returns a message with the item and the cause.
func (e *DecodeError) Error() string { return fmt.Sprintf("decode %s: %v", e.What, e.Err) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// EncodeError reports a value that cannot be encoded.
type EncodeError struct {
	// What names the item that was being encoded.
	What string
	// Err is the error of the CBOR library.
	Err error
}

// Error returns a message with the item and the cause.
func (e *EncodeError) Error() string { return fmt.Sprintf("encode %s: %v", e.What, e.Err) }

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Err }

// Codec encodes and decodes CBOR. The zero value is ready for use. It is safe for
// concurrent use.
type Codec struct{}

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{
		Sort:          cbor.SortNone,
		Time:          cbor.TimeUnixMicro,
		TextMarshaler: cbor.TextMarshalerTextString,
	}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNestingLevels,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		TextUnmarshaler:  cbor.TextUnmarshalerTextString,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the CBOR encoding of v; item names v in errors. The error is an
// *EncodeError.
func (Codec) Encode(item string, v any) ([]byte, error) {
	b, err := encoder.Marshal(v)
	if err != nil {
		return nil, &EncodeError{What: item, Err: err}
	}
	return b, nil
}

// Decode decodes b, which must hold exactly one item, into v; item names v in errors. The
// error is a *DecodeError.
func (Codec) Decode(item string, b []byte, v any) error {
	if err := decoder.Unmarshal(b, v); err != nil {
		return &DecodeError{What: item, Err: err}
	}
	return nil
}

// First decodes the first item of b into v and returns the bytes after it; item names v in
// errors. The error is a *DecodeError.
func (Codec) First(item string, b []byte, v any) ([]byte, error) {
	rest, err := decoder.UnmarshalFirst(b, v)
	if err != nil {
		return nil, &DecodeError{What: item, Err: err}
	}
	return rest, nil
}
