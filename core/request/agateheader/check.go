package agateheader

import (
	"io"

	"agatereach/core/request/agatekind"
)

// errUnexpectedEOF is the decoder's error for truncated input.
var errUnexpectedEOF = io.ErrUnexpectedEOF

// FieldError reports a header with a field that is missing or not valid for its kind.
type FieldError struct {
	// Field is the name of the field, in lower case.
	Field string
	// Kind is the datagram's kind.
	Kind agatekind.Kind
}

// Error returns a message with the field and the kind.
func (e *FieldError) Error() string {
	return "field " + e.Field + " does not fit a datagram of kind " + string(e.Kind)
}

// validate checks the version and the fields that the kind requires. The errors are
// *VersionError and *MalformedError.
func (h *Header) validate() error {
	switch {
	case h.Version != Version:
		return &VersionError{Have: h.Version}
	case h.Service == 0:
		return &MalformedError{Err: &FieldError{Field: "service", Kind: h.Kind}}
	case h.Flow == 0:
		return &MalformedError{Err: &FieldError{Field: "flow", Kind: h.Kind}}
	case h.hasRequestNumber() && h.Number == 0:
		return &MalformedError{Err: &FieldError{Field: "number", Kind: h.Kind}}
	}
	return nil
}

// hasRequestNumber reports whether datagrams of the kind must name a request.
func (h *Header) hasRequestNumber() bool {
	switch h.Kind {
	case agatekind.Request, agatekind.Answer, agatekind.Cancel:
		return true
	}
	return false
}
