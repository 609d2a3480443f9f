// Package agaterefusal defines the record of a ticket that failed its checks.
package agaterefusal

// maxReason bounds a reason, in bytes.
const maxReason = 256

// Refusal names a ticket that was refused whole and says why.
type Refusal struct {
	// Ticket is the ticket's number, 0 if it could not be read.
	Ticket uint64 `json:"ticket"`
	// Reason is the text of the check's error, at most 256 bytes.
	Reason string `json:"reason"`
}

// New returns the refusal of the ticket for the given error.
func New(ticket uint64, err error) Refusal {
	reason := err.Error()
	return Refusal{Ticket: ticket, Reason: reason[:min(len(reason), maxReason)]}
}
