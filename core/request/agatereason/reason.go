// Package agatereason defines the reasons for which datagrams are refused.
package agatereason

import "fmt"

// Reason is the reason for a refusal, encoded as a CBOR text string.
type Reason string

// The values of a Reason.
const (
	// None is the reason of datagrams that are not refusals.
	None Reason = ""
	// Malformed means that the datagram could not be decoded.
	Malformed Reason = "malformed"
	// Version means that the version of the datagram's format is not supported.
	Version Reason = "version"
	// Oversized means that the datagram exceeds the size limit.
	Oversized Reason = "oversized"
	// Token means that the token's authentication code is wrong.
	Token Reason = "token"
	// Expired means that the token's lifetime has ended.
	Expired Reason = "expired"
	// Service means that the token or server belongs to another service.
	Service Reason = "service"
	// Denied means that a rule denies the flow.
	Denied Reason = "denied"
	// NoServer means that no backend server is eligible for the work.
	NoServer Reason = "noserver"
	// Gone means that the incarnation of the flow's backend server is no longer in
	// service.
	Gone Reason = "gone"
	// Limit means that a limit of the team or the caller is reached.
	Limit Reason = "limit"
	// Overload means that the backend servers have no free capacity in time.
	Overload Reason = "overload"
	// Deadline means that the deadline cannot be met or has passed.
	Deadline Reason = "deadline"
	// Draining means that the process is shutting down.
	Draining Reason = "draining"
	// Stale means that the process must refresh its view of the fleet first.
	Stale Reason = "stale"
	// Guard means that the flow's guard, or the guard's record of it, is gone. The
	// guard is the entry that issued the flow's token.
	Guard Reason = "guard"
	// Pending means that an earlier copy of the request is still running.
	Pending Reason = "pending"
	// Cancelled means that the caller cancelled the request.
	Cancelled Reason = "cancelled"
	// Failed means that the backend server failed.
	Failed Reason = "failed"
)

// ValueError reports input that is not a known Reason.
type ValueError struct {
	// Text is the start of the input, or of its hexadecimal form; see maxQuotedText.
	Text string
}

// Error returns a message that quotes the input.
func (e *ValueError) Error() string { return fmt.Sprintf("unknown reason %q", e.Text) }

// maxQuotedText limits the input that a ValueError quotes, in bytes.
const maxQuotedText = 32

// longTextByte is the lowest CBOR initial byte of a text string whose length follows in
// bytes of its own.
const longTextByte = 0x78

// emptyTextByte is the CBOR initial byte of an empty text string.
const emptyTextByte = 0x60

// Parse returns the Reason with the given text. It returns a constant rather than the input,
// so that a decoded value does not keep the datagram's memory alive. The error is a
// *ValueError.
func Parse(text []byte) (Reason, error) {
	switch string(text) {
	case "":
		return None, nil
	case "malformed":
		return Malformed, nil
	case "version":
		return Version, nil
	case "oversized":
		return Oversized, nil
	case "token":
		return Token, nil
	case "expired":
		return Expired, nil
	case "service":
		return Service, nil
	case "denied":
		return Denied, nil
	case "noserver":
		return NoServer, nil
	case "gone":
		return Gone, nil
	case "limit":
		return Limit, nil
	case "overload":
		return Overload, nil
	case "deadline":
		return Deadline, nil
	case "draining":
		return Draining, nil
	case "stale":
		return Stale, nil
	case "guard":
		return Guard, nil
	case "pending":
		return Pending, nil
	case "cancelled":
		return Cancelled, nil
	case "failed":
		return Failed, nil
	}
	return "", &ValueError{Text: string(text[:min(len(text), maxQuotedText)])}
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Reason) UnmarshalText(text []byte) error {
	parsed, err := Parse(text)
	if err != nil {
		return err
	}
	*k = parsed
	return nil
}

// UnmarshalCBOR implements cbor.Unmarshaler. It does not allocate for valid input.
func (k *Reason) UnmarshalCBOR(item []byte) error {
	if len(item) == 0 || item[0] < emptyTextByte || item[0] >= longTextByte {
		return &ValueError{Text: fmt.Sprintf("%x", item[:min(len(item), maxQuotedText)])}
	}
	return k.UnmarshalText(item[1:])
}
