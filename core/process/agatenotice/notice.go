// Package agatenotice defines the datagrams that the entries of a deployment
// send each other when their backend servers answer callers themselves.
package agatenotice

import (
	"fmt"
	"net/netip"
	"slices"

	"agatereach/core/request/agatecodec"
	"agatereach/core/request/agateload"
	"agatereach/core/version/agateinstance"
)

// Limits on what a notice may hold, so that it fits into one datagram and a
// forged one costs little.
const (
	// MaxSize is the size of the longest notice that is accepted, in bytes.
	MaxSize  = 8 << 10
	maxPeers = 64
	maxLoads = 1 << 10
	maxItems = 1 << 10
	maxParts = 1 << 12
	maxName  = 256
	// maxPieces and maxPiece bound the parts of a change of the configuration and
	// the bytes of each: that of 11,000 addresses takes a quarter of the parts.
	maxPieces = 1 << 10
	maxPiece  = 2 << 10
)

// FieldError reports a field that breaks its invariant.
type FieldError struct {
	// Field names the field.
	Field string
}

// Error names the field.
func (e *FieldError) Error() string { return fmt.Sprintf("notice: field %s is not valid", e.Field) }

// Notice is one datagram. Exactly one of its fields is set.
type Notice struct {
	// Beat says who the sender is and what it holds.
	Beat *Beat `cbor:"1,keyasint,omitempty"`
	// Ask asks for what the sender lacks.
	Ask *Ask `cbor:"2,keyasint,omitempty"`
	// Page holds registrations.
	Page *Page `cbor:"3,keyasint,omitempty"`
	// Part holds a piece of a change of the configuration.
	Part *Part `cbor:"4,keyasint,omitempty"`
}

// Beat is the heartbeat of an entry.
type Beat struct {
	// Name is the name of the sender's VM, Centre that of its data centre.
	Name   string `cbor:"1,keyasint"`
	Centre string `cbor:"2,keyasint"`
	// Boot is a random number that names the run of the process; not 0.
	Boot uint64 `cbor:"3,keyasint"`
	// Version, Revision and Digest say what catalog it holds.
	Version  int64  `cbor:"4,keyasint"`
	Revision int64  `cbor:"5,keyasint"`
	Digest   uint64 `cbor:"6,keyasint"`
	// Confirmed is how long ago the catalog was known to be the newest, in ms;
	// 0 if it never was.
	Confirmed uint32 `cbor:"7,keyasint,omitempty"`
	// Peers are addresses of other entries of the receiver's data centre, and Far
	// some of others.
	Peers []netip.AddrPort `cbor:"8,keyasint,omitempty"`
	Far   []netip.AddrPort `cbor:"14,keyasint,omitempty"`
	// Loads are what it has seen of servers.
	Loads []agateload.Load `cbor:"9,keyasint,omitempty"`
	// Partial says that Loads are only those that have become urgent.
	Partial bool `cbor:"13,keyasint,omitempty"`
	// Leaving says that the process is about to end.
	Leaving bool `cbor:"10,keyasint,omitempty"`
	// Failing says that the sender cannot read the store.
	Failing bool `cbor:"12,keyasint,omitempty"`
	// Answer asks the receiver for its own heartbeat.
	Answer bool `cbor:"11,keyasint,omitempty"`
}

// Ask asks for the registrations after a revision and for a configuration that
// is newer than a version.
type Ask struct {
	After   int64 `cbor:"1,keyasint"`
	Version int64 `cbor:"2,keyasint"`
}

// Page is one of the datagrams that bring the registrations after a revision.
type Page struct {
	// From and To are the revisions that all pages together lead from and to.
	From int64 `cbor:"1,keyasint"`
	To   int64 `cbor:"2,keyasint"`
	// Index is the page's place, and Total the number of pages.
	Index int `cbor:"3,keyasint"`
	Total int `cbor:"4,keyasint"`
	// Whole says that all pages together hold every registration, so that what
	// they lack is gone; From is 0 then.
	Whole bool `cbor:"6,keyasint,omitempty"`
	// Instances are the page's registrations.
	Instances []agateinstance.Instance `cbor:"5,keyasint,omitempty"`
}

// Part is one of the datagrams that bring a change of the configuration.
type Part struct {
	// From and Version are the versions that the change leads from and to; From
	// is 0 for a whole configuration.
	From    int64 `cbor:"6,keyasint,omitempty"`
	Version int64 `cbor:"1,keyasint"`
	// Index is the part's place, and Total the number of parts.
	Index int `cbor:"2,keyasint"`
	Total int `cbor:"3,keyasint"`
	// Sum is a checksum of the whole change, by which parts of one change that
	// come from several senders are told from those of another.
	Sum uint32 `cbor:"4,keyasint"`
	// Data is the part's piece of the change in its wire form; not empty.
	Data []byte `cbor:"5,keyasint"`
}

// Encode returns the datagram.
func (n Notice) Encode() ([]byte, error) { return agatecodec.Codec{}.Encode("notice", n) }

// Decode reads and checks a datagram. The errors are *agatecodec.DecodeError,
// *FieldError and those of what it holds.
func Decode(datagram []byte) (Notice, error) {
	var n Notice
	if len(datagram) > MaxSize {
		return n, &FieldError{Field: "size"}
	}
	if err := (agatecodec.Codec{}).Decode("notice", datagram, &n); err != nil {
		return Notice{}, err
	}
	if err := n.check(); err != nil {
		return Notice{}, err
	}
	return n, nil
}

func (n *Notice) check() error {
	set := 0
	var err error
	if n.Beat != nil {
		set++
		err = n.Beat.check()
	}
	if n.Ask != nil {
		set++
		err = n.Ask.check()
	}
	if n.Page != nil {
		set++
		err = n.Page.check()
	}
	if n.Part != nil {
		set++
		err = n.Part.check()
	}
	if set != 1 {
		return &FieldError{Field: "kind"}
	}
	return err
}

func (b *Beat) check() error {
	switch {
	case b.Name == "" || len(b.Name) > maxName:
		return &FieldError{Field: "name"}
	case b.Centre == "" || len(b.Centre) > maxName:
		return &FieldError{Field: "centre"}
	case b.Boot == 0:
		return &FieldError{Field: "boot"}
	case b.Version < 0 || b.Revision < 0:
		return &FieldError{Field: "revision"}
	case len(b.Peers) > maxPeers || len(b.Far) > maxPeers:
		return &FieldError{Field: "peers"}
	case len(b.Loads) > maxLoads:
		return &FieldError{Field: "loads"}
	}
	for _, peer := range slices.Concat(b.Peers, b.Far) {
		if !peer.IsValid() || !peer.Addr().Is4() || peer.Port() == 0 {
			return &FieldError{Field: "peers"}
		}
	}
	return nil
}

func (a *Ask) check() error {
	if a.After < 0 || a.Version < 0 {
		return &FieldError{Field: "after"}
	}
	return nil
}

func (p *Page) check() error {
	if p.From < 0 || p.To < p.From || !fits(p.Index, p.Total) || len(p.Instances) > maxItems {
		return &FieldError{Field: "page"}
	}
	for _, instance := range p.Instances {
		if err := instance.Check(); err != nil {
			return err
		}
	}
	return nil
}

func (p *Part) check() error {
	if p.From < 0 || p.Version <= p.From || !fits(p.Index, p.Total) || p.Total > maxPieces || len(p.Data) == 0 || len(p.Data) > maxPiece {
		return &FieldError{Field: "part"}
	}
	return nil
}

// fits reports whether a place is one of the given number.
func fits(index, total int) bool {
	return total > 0 && total <= maxParts && index >= 0 && index < total
}
