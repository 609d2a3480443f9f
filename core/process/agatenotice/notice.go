// Package agatenotice defines the datagrams that the entries of a deployment
// exchange if their backend servers reply to callers directly.
package agatenotice

import (
	"fmt"
	"net/netip"
	"slices"

	"agatereach/core/request/agatecodec"
	"agatereach/core/request/agateload"
	"agatereach/core/version/agateevacuation"
	"agatereach/core/version/agateinstance"
	"agatereach/core/version/agateposition"
	"agatereach/core/version/agatestamp"
)

// Limits on the content of a notice, so that it fits into one datagram and a forged
// one costs little to process.
const (
	// MaxSize is the maximum size of an encoded notice, in bytes.
	MaxSize      = 8 << 10
	maxPeers     = 64
	maxLoads     = 1 << 10
	maxInstances = 1 << 10
	maxPages     = 1 << 12
	// maxEvacuations is far beyond the number of data centres.
	maxEvacuations = 1 << 10
	maxNameLength  = 256
	// maxParts limits the number of parts of a configuration change, and
	// maxPartSize the bytes of each. A configuration of 11,000 addresses takes a
	// quarter of the parts.
	maxParts    = 1 << 10
	maxPartSize = 2 << 10
)

// FieldError reports a field with an invalid value.
type FieldError struct {
	// Field is the name of the field.
	Field string
}

// Error returns a message with the name of the field.
func (e *FieldError) Error() string { return fmt.Sprintf("notice: field %s is not valid", e.Field) }

// Notice is the content of one datagram. Exactly one of its fields is set.
type Notice struct {
	// Heartbeat is a heartbeat.
	Heartbeat *Heartbeat `cbor:"1,keyasint,omitempty"`
	// Query is a query for what the sender lacks.
	Query *Query `cbor:"2,keyasint,omitempty"`
	// Page is a page of registrations.
	Page *Page `cbor:"3,keyasint,omitempty"`
	// Part is a part of a configuration change.
	Part *Part `cbor:"4,keyasint,omitempty"`
}

// Heartbeat reports the state of the entry that sends it.
type Heartbeat struct {
	// Name is the name of the sender's VM, and Centre that of its data centre.
	Name   string `cbor:"1,keyasint"`
	Centre string `cbor:"2,keyasint"`
	// Boot is a random number that identifies the run of the sender's process; not
	// 0.
	Boot uint64 `cbor:"3,keyasint"`
	// Era, Revision and Digest identify the sender's catalog, and Version, ConfigEra
	// and ConfigRevision its configuration.
	Version        int64  `cbor:"4,keyasint"`
	Revision       int64  `cbor:"5,keyasint"`
	Digest         uint64 `cbor:"6,keyasint"`
	Era            uint32 `cbor:"15,keyasint,omitempty"`
	ConfigEra      uint32 `cbor:"16,keyasint,omitempty"`
	ConfigRevision int64  `cbor:"17,keyasint,omitempty"`
	// ConfirmedAge is how long ago the catalog was known to be the newest, in ms; 0
	// if it never was.
	ConfirmedAge uint32 `cbor:"7,keyasint,omitempty"`
	// Peers holds addresses of other entries of the receiver's data centre, and
	// RemotePeers some of other data centres.
	Peers       []netip.AddrPort `cbor:"8,keyasint,omitempty"`
	RemotePeers []netip.AddrPort `cbor:"14,keyasint,omitempty"`
	// Loads holds the loads of servers that the sender has measured.
	Loads []agateload.Load `cbor:"9,keyasint,omitempty"`
	// Partial is whether Loads holds only loads that are urgent, or none, rather
	// than all.
	Partial bool `cbor:"13,keyasint,omitempty"`
	// Leaving is whether the sender's process is about to end.
	Leaving bool `cbor:"10,keyasint,omitempty"`
	// Failing is whether the sender cannot read the store.
	Failing bool `cbor:"12,keyasint,omitempty"`
	// WantReply asks the receiver for its own heartbeat.
	WantReply bool `cbor:"11,keyasint,omitempty"`
}

// Position returns the position of the sender's catalog.
func (b *Heartbeat) Position() agateposition.Position {
	return agateposition.Position{Era: b.Era, Revision: b.Revision}
}

// Stamp returns the stamp of the sender's configuration.
func (b *Heartbeat) Stamp() agatestamp.Stamp {
	return agatestamp.New(b.Version, b.ConfigEra, b.ConfigRevision)
}

// Query asks for the registrations after a position and for a configuration that
// replaces the sender's.
type Query struct {
	// Era and After are the position of the sender's catalog.
	After int64  `cbor:"1,keyasint"`
	Era   uint32 `cbor:"3,keyasint,omitempty"`
	// Version, ConfigEra and ConfigRevision identify the sender's configuration.
	Version        int64  `cbor:"2,keyasint"`
	ConfigEra      uint32 `cbor:"4,keyasint,omitempty"`
	ConfigRevision int64  `cbor:"5,keyasint,omitempty"`
}

// Position returns the position of the sender's catalog.
func (q *Query) Position() agateposition.Position {
	return agateposition.Position{Era: q.Era, Revision: q.After}
}

// Stamp returns the stamp of the sender's configuration.
func (q *Query) Stamp() agatestamp.Stamp {
	return agatestamp.New(q.Version, q.ConfigEra, q.ConfigRevision)
}

// Page is one of the datagrams that carry the registrations and evacuations after a
// position.
type Page struct {
	// FromEra and From, and ToEra and To, are the positions that all pages together
	// lead from and to. If the eras differ, the pages hold what changed when the store
	// was restored, and apply to no other position.
	From    int64  `cbor:"1,keyasint"`
	To      int64  `cbor:"2,keyasint"`
	FromEra uint32 `cbor:"7,keyasint,omitempty"`
	ToEra   uint32 `cbor:"8,keyasint,omitempty"`
	// Index is the position of this page, and Total the number of pages.
	Index int `cbor:"3,keyasint"`
	Total int `cbor:"4,keyasint"`
	// Snapshot is whether all pages together hold every registration and evacuation, so
	// that one that is on none of them no longer exists. From is 0 then.
	Snapshot bool `cbor:"6,keyasint,omitempty"`
	// Instances holds the registrations of this page.
	Instances []agateinstance.Instance `cbor:"5,keyasint,omitempty"`
	// Evacuations holds the evacuations of this page, and the ends of such.
	Evacuations []agateevacuation.Evacuation `cbor:"9,keyasint,omitempty"`
}

// FromPosition returns the position that all pages together lead from.
func (p *Page) FromPosition() agateposition.Position {
	return agateposition.Position{Era: p.FromEra, Revision: p.From}
}

// ToPosition returns the position that all pages together lead to.
func (p *Page) ToPosition() agateposition.Position {
	return agateposition.Position{Era: p.ToEra, Revision: p.To}
}

// Part is one of the datagrams that carry a configuration change.
type Part struct {
	// From, FromEra and FromRevision identify the configuration that the change leads
	// from, and Version, Era and Revision the one that it leads to. From is 0 for a
	// whole configuration.
	From         int64  `cbor:"6,keyasint,omitempty"`
	FromEra      uint32 `cbor:"7,keyasint,omitempty"`
	FromRevision int64  `cbor:"8,keyasint,omitempty"`
	Version      int64  `cbor:"1,keyasint"`
	Era          uint32 `cbor:"9,keyasint,omitempty"`
	Revision     int64  `cbor:"10,keyasint,omitempty"`
	// Index is the position of this part, and Total the number of parts.
	Index int `cbor:"2,keyasint"`
	Total int `cbor:"3,keyasint"`
	// Checksum is the CRC-32 of the encoded change. It distinguishes parts of
	// different changes; parts of the same change may come from several senders.
	Checksum uint32 `cbor:"4,keyasint"`
	// Data is this part's section of the encoded change; not empty.
	Data []byte `cbor:"5,keyasint"`
}

// Base returns the stamp of the configuration that the change leads from.
func (p *Part) Base() agatestamp.Stamp { return agatestamp.New(p.From, p.FromEra, p.FromRevision) }

// Stamp returns the stamp of the configuration that the change leads to.
func (p *Part) Stamp() agatestamp.Stamp { return agatestamp.New(p.Version, p.Era, p.Revision) }

// Encode returns the notice as a datagram.
func (n Notice) Encode() ([]byte, error) { return agatecodec.Codec{}.Encode("notice", n) }

// Decode decodes and validates a datagram. Its errors are *agatecodec.DecodeError,
// *FieldError and the errors of invalid registrations and evacuations.
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
	if n.Heartbeat != nil {
		set++
		err = n.Heartbeat.check()
	}
	if n.Query != nil {
		set++
		err = n.Query.check()
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

func (b *Heartbeat) check() error {
	switch {
	case b.Name == "" || len(b.Name) > maxNameLength:
		return &FieldError{Field: "name"}
	case b.Centre == "" || len(b.Centre) > maxNameLength:
		return &FieldError{Field: "centre"}
	case b.Boot == 0:
		return &FieldError{Field: "boot"}
	case b.Revision < 0 || !b.Stamp().Valid():
		return &FieldError{Field: "revision"}
	case len(b.Peers) > maxPeers || len(b.RemotePeers) > maxPeers:
		return &FieldError{Field: "peers"}
	case len(b.Loads) > maxLoads:
		return &FieldError{Field: "loads"}
	}
	for _, peer := range slices.Concat(b.Peers, b.RemotePeers) {
		if !peer.IsValid() || !peer.Addr().Is4() || peer.Port() == 0 {
			return &FieldError{Field: "peers"}
		}
	}
	return nil
}

func (q *Query) check() error {
	if q.After < 0 || !q.Stamp().Valid() {
		return &FieldError{Field: "after"}
	}
	return nil
}

func (p *Page) check() error {
	if p.From < 0 || p.To < 0 || p.FromPosition().After(p.ToPosition()) || !validIndex(p.Index, p.Total) || len(p.Instances) > maxInstances || len(p.Evacuations) > maxEvacuations {
		return &FieldError{Field: "page"}
	}
	for _, instance := range p.Instances {
		if err := instance.Check(); err != nil {
			return err
		}
	}
	for _, evacuation := range p.Evacuations {
		if err := evacuation.Check(); err != nil {
			return err
		}
	}
	return nil
}

func (p *Part) check() error {
	if !p.Base().Valid() || !p.Stamp().Valid() || !p.Stamp().After(p.Base()) || !validIndex(p.Index, p.Total) || p.Total > maxParts || len(p.Data) == 0 || len(p.Data) > maxPartSize {
		return &FieldError{Field: "part"}
	}
	return nil
}

// validIndex reports whether index is valid for a total number of pages or parts,
// and whether that number is within the limit.
func validIndex(index, total int) bool {
	return total > 0 && total <= maxPages && index >= 0 && index < total
}
