package agatelink

import "fmt"

// ProofError reports a peer that does not know the shared secret.
type ProofError struct {
	// VM is the name that the peer has given.
	VM string
}

// Error names the peer.
func (e *ProofError) Error() string {
	return fmt.Sprintf("peer %q does not prove that it knows the secret", e.VM)
}

// BusyError reports a peer that runs and takes no link now.
type BusyError struct{}

// Error says so.
func (*BusyError) Error() string { return "peer takes no link now" }

// VersionError reports a peer that speaks another version of the protocol.
type VersionError struct {
	// Have is the peer's version.
	Have int
}

// Error names the version.
func (e *VersionError) Error() string {
	return fmt.Sprintf("peer speaks version %d of the link protocol, want %d", e.Have, version)
}

// SelfError reports a link of a process to itself.
type SelfError struct{}

// Error says so.
func (*SelfError) Error() string { return "link leads back to this process" }

// TagError reports a message that was changed on its way.
type TagError struct {
	// Count is the number of the message on its link, from 0.
	Count uint64
}

// Error names the message.
func (e *TagError) Error() string {
	return fmt.Sprintf("message %d has a wrong authentication code", e.Count)
}

// TypeError reports a WebSocket message that is not binary.
type TypeError struct{}

// Error says so.
func (*TypeError) Error() string { return "message is not binary" }

// DuplicateError reports a link to a peer that is linked already.
type DuplicateError struct {
	// Boot is the peer's boot id.
	Boot uint64
}

// Error names the peer.
func (e *DuplicateError) Error() string { return fmt.Sprintf("peer %x is linked already", e.Boot) }

// SecretError reports a secret that is too short.
type SecretError struct {
	// Have is its length in bytes.
	Have int
}

// Error names the length.
func (e *SecretError) Error() string {
	return fmt.Sprintf("secret of the links has %d bytes, want at least %d", e.Have, minSecret)
}

// SlowError reports a peer that was dropped because it did not keep up.
type SlowError struct {
	// Boot is the peer's boot id.
	Boot uint64
}

// Error names the peer.
func (e *SlowError) Error() string { return fmt.Sprintf("peer %x does not keep up", e.Boot) }
