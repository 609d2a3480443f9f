// Package agateaudit judges a ticket against the state that it would change,
// before the ticket is published.
package agateaudit

import "fmt"

// Severity says how grave a finding is.
type Severity string

// The severities of a finding.
const (
	// Fault is a finding for which the ticket must not be published.
	Fault Severity = "fault"
	// Warning is a finding that an operator may have intended.
	Warning Severity = "warning"
)

// Finding is one remark about a ticket.
type Finding struct {
	// Severity says how grave it is.
	Severity Severity `json:"severity"`
	// Object names the object, such as "backend server 12".
	Object string `json:"object"`
	// Text says what is wrong, in one sentence without a full stop.
	Text string `json:"text"`
}

// String returns the finding in one line.
func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.Severity, f.Object, f.Text) }
