// Package agatemessage defines the messages on the links between entries.
package agatemessage

import (
	"fmt"

	"agatereach/core/process/agateclaim"
	"agatereach/core/process/agatesuspicion"
	"agatereach/core/process/agatetransfer"
	"agatereach/core/request/agatecodec"
	"agatereach/core/version/agatebatch"
	"agatereach/core/version/agatedigest"
	"agatereach/core/version/agatepage"
)

// Kind says what a message is.
type Kind string

// The kinds of messages.
const (
	// Digest is a heartbeat that says what the sender holds.
	Digest Kind = "digest"
	// Batch brings tickets.
	Batch Kind = "batch"
	// Want asks for the tickets after a number.
	Want Kind = "want"
	// None answers a Want that the sender cannot meet.
	None Kind = "none"
	// Page brings one page of a snapshot.
	Page Kind = "page"
	// More asks for the next page.
	More Kind = "more"
	// Members brings claims of processes and suspicions about them.
	Members Kind = "members"
	// Buckets holds hashes of the sender's claims and asks for those that differ.
	Buckets Kind = "buckets"
	// Transfer brings guard records.
	Transfer Kind = "transfer"
	// Receipt confirms a Transfer.
	Receipt Kind = "receipt"
)

// Sizes in bytes.
const (
	// MaxSize is the size of the longest message of any kind.
	MaxSize = largeSize + maxKind

	largeSize    = 2 << 20
	transferSize = 256 << 10
	membersSize  = 64 << 10
	digestSize   = 8 << 10
	shortSize    = 256
	maxKind      = 16
)

// Numbers of items.
const (
	// MaxClaims is the number of claims, and of suspicions, in one message.
	MaxClaims = 128
	// MaxBuckets is the number of hashes in one message.
	MaxBuckets = 64
)

// KindError reports a message of an unknown kind, or one without the content
// that its kind needs.
type KindError struct {
	// Kind is the kind that was named.
	Kind Kind
}

// Error names the kind.
func (e *KindError) Error() string { return fmt.Sprintf("message of kind %q is not valid", e.Kind) }

// SizeError reports a message that is longer than its kind allows.
type SizeError struct {
	// Kind is the message's kind.
	Kind Kind
	// Have is the size in bytes.
	Have int
}

// Error names the kind and the size.
func (e *SizeError) Error() string { return fmt.Sprintf("%s message has %d bytes", e.Kind, e.Have) }

// Message is one message. Its kind says which of the other fields is set.
type Message struct {
	// Kind says what the message is. It travels in front of the rest.
	Kind Kind `json:"-"`
	// Digest is set in a Digest.
	Digest *agatedigest.Digest `json:"digest,omitempty"`
	// Batch is set in a Batch.
	Batch *agatebatch.Batch `json:"batch,omitempty"`
	// After is the number in a Want.
	After uint64 `json:"after,omitempty"`
	// Whole, in a Want, asks for a snapshot whatever the log holds.
	Whole bool `json:"whole,omitempty"`
	// Page is set in a Page.
	Page *agatepage.Page `json:"page,omitempty"`
	// Claims and Suspicions are those of a Members message.
	Claims     []agateclaim.Claim         `json:"claims,omitempty"`
	Suspicions []agatesuspicion.Suspicion `json:"suspicions,omitempty"`
	// Sync, in a Members message, says that it answers a Buckets message.
	Sync bool `json:"sync,omitempty"`
	// Hashes holds those of a Buckets message.
	Hashes []uint64 `json:"hashes,omitempty"`
	// Transfer is set in a Transfer and a Receipt.
	Transfer *agatetransfer.Transfer `json:"transfer,omitempty"`
}

// limit returns the longest body of the kind in bytes, 0 for an unknown kind.
func (k Kind) limit() int {
	switch k {
	case Batch, Page:
		return largeSize
	case Transfer:
		return transferSize
	case Members:
		return membersSize
	case Digest:
		return digestSize
	case Buckets:
		return MaxBuckets*10 + shortSize
	case Want, None, More, Receipt:
		return shortSize
	}
	return 0
}

// Check returns a *KindError unless the message holds what its kind needs.
func (m *Message) Check() error {
	complete := true
	switch m.Kind {
	case Digest:
		complete = m.Digest != nil
	case Batch:
		complete = m.Batch != nil
	case Page:
		complete = m.Page != nil
	case Members:
		complete = len(m.Claims) <= MaxClaims && len(m.Suspicions) <= MaxClaims
	case Buckets:
		complete = len(m.Hashes) == MaxBuckets
	case Transfer, Receipt:
		complete = m.Transfer != nil
	case Want, None, More:
	default:
		complete = false
	}
	if !complete {
		return &KindError{Kind: m.Kind}
	}
	return nil
}

// Encode returns the message's wire form: the kind and the rest, as two CBOR
// items. The errors are *agatecodec.EncodeError, *KindError and *SizeError.
func (m *Message) Encode() ([]byte, error) {
	if err := m.Check(); err != nil {
		return nil, err
	}
	codec := agatecodec.Codec{}
	kind, err := codec.Encode("kind", m.Kind)
	if err != nil {
		return nil, err
	}
	body, err := codec.Encode("message", m)
	if err != nil {
		return nil, err
	}
	if len(body) > m.Kind.limit() {
		return nil, &SizeError{Kind: m.Kind, Have: len(body)}
	}
	return append(kind, body...), nil
}

// Decode reads and checks a message. It refuses a long message by its kind
// before it looks at the rest. The errors are those of Encode and
// *agatecodec.DecodeError.
func (m *Message) Decode(b []byte) error {
	var kind Kind
	codec := agatecodec.Codec{}
	body, err := codec.First("kind", b, &kind)
	if err != nil {
		return err
	}
	if kind.limit() == 0 {
		return &KindError{Kind: kind[:min(len(kind), maxKind)]}
	}
	if len(body) > kind.limit() {
		return &SizeError{Kind: kind, Have: len(body)}
	}
	*m = Message{Kind: kind}
	if err := codec.Decode("message", body, m); err != nil {
		return err
	}
	return m.Check()
}
