// Package agatesend defines a message on its way to some peers.
package agatesend

import "agatereach/core/process/agatemessage"

// Send is a message and the peers that it goes to.
type Send struct {
	// To holds the boot ids of linked peers.
	To []uint64
	// Message is shared by all of them and must not be changed.
	Message *agatemessage.Message
}
