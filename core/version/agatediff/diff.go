// Package agatediff defines what changes between two versions of the
// configuration, and its compressed form on the wire. With the thousands of
// virtual addresses of a large deployment a change is a small part of the whole.
package agatediff

import (
	"bytes"
	"cmp"
	"compress/flate"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"time"

	"agatereach/core/request/agatecodec"
	"agatereach/core/version/agatecatalog"
	"agatereach/core/version/agatevip"
)

// maxSize bounds the inflated form in bytes: several times the 11,000 addresses
// that the design allows for.
const maxSize = 8 << 20

// FieldError reports a field that breaks its invariant.
type FieldError struct {
	// Field names the field.
	Field string
}

// Error names the field.
func (e *FieldError) Error() string { return fmt.Sprintf("diff: field %s is not valid", e.Field) }

// BaseError reports a diff that was applied to another version than its own.
type BaseError struct {
	// Version is the one that it was applied to, and Want the one it is for.
	Version, Want int64
}

// Error gives both versions.
func (e *BaseError) Error() string {
	return fmt.Sprintf("diff from version %d applied to version %d", e.Want, e.Version)
}

// Diff leads from one version of the configuration to a later one.
type Diff struct {
	// From is the version that it leads from, 0 for none at all, and Version the
	// one it leads to, which is higher.
	From    int64 `cbor:"1,keyasint"`
	Version int64 `cbor:"2,keyasint"`
	// IdleTimeout is the later version's.
	IdleTimeout time.Duration `cbor:"3,keyasint,omitempty"`
	// Set are the virtual addresses that are new or differ, and Removed those
	// that are no more, both in the order of their addresses.
	Set     []agatevip.VIP   `cbor:"4,keyasint,omitempty"`
	Removed []netip.AddrPort `cbor:"5,keyasint,omitempty"`
}

// New returns what leads from one configuration to a later one. before is nil
// for the whole of it.
func New(before, after *agatecatalog.Config) Diff {
	d := Diff{Version: after.Version, IdleTimeout: after.IdleTimeout}
	former := make(map[netip.AddrPort]agatevip.VIP)
	if before != nil {
		d.From = before.Version
		for _, vip := range before.VIPs {
			former[vip.Address] = vip
		}
	}
	for _, vip := range after.VIPs {
		if known, ok := former[vip.Address]; !ok || !known.Equal(vip) {
			d.Set = append(d.Set, vip)
		}
		delete(former, vip.Address)
	}
	for address := range former {
		d.Removed = append(d.Removed, address)
	}
	slices.SortFunc(d.Set, func(a, b agatevip.VIP) int { return a.Address.Compare(b.Address) })
	slices.SortFunc(d.Removed, netip.AddrPort.Compare)
	return d
}

// Apply returns the later configuration. base is nil for a diff from nothing.
// The error is a *BaseError.
func (d Diff) Apply(base *agatecatalog.Config) (*agatecatalog.Config, error) {
	version := int64(0)
	var vips []agatevip.VIP
	if base != nil {
		version = base.Version
		vips = base.VIPs
	}
	if version != d.From {
		return nil, &BaseError{Version: version, Want: d.From}
	}
	replaced := make(map[netip.AddrPort]bool, len(d.Set)+len(d.Removed))
	for _, vip := range d.Set {
		replaced[vip.Address] = true
	}
	for _, address := range d.Removed {
		replaced[address] = true
	}
	config := &agatecatalog.Config{Version: d.Version, IdleTimeout: d.IdleTimeout, VIPs: slices.Clone(d.Set)}
	for _, vip := range vips {
		if !replaced[vip.Address] {
			config.VIPs = append(config.VIPs, vip)
		}
	}
	slices.SortFunc(config.VIPs, func(a, b agatevip.VIP) int {
		return cmp.Or(a.Address.Compare(b.Address), cmp.Compare(a.Name, b.Name))
	})
	return config, nil
}

// Encode returns the compressed form, the same in every process. The error is an
// *agatecodec.EncodeError.
func (d Diff) Encode() ([]byte, error) {
	plain, err := agatecodec.Codec{}.Encode("diff", d)
	if err != nil {
		return nil, err
	}
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, &agatecodec.EncodeError{What: "diff", Err: err}
	}
	if _, err := writer.Write(plain); err != nil {
		return nil, &agatecodec.EncodeError{What: "diff", Err: err}
	}
	if err := writer.Close(); err != nil {
		return nil, &agatecodec.EncodeError{What: "diff", Err: err}
	}
	return buffer.Bytes(), nil
}

// Decode reads and checks the compressed form. The errors are
// *agatecodec.DecodeError, *FieldError and those of virtual addresses.
func Decode(b []byte) (Diff, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxSize+1))
	if err != nil {
		return Diff{}, &agatecodec.DecodeError{What: "diff", Err: err}
	}
	if len(plain) > maxSize {
		return Diff{}, &FieldError{Field: "size"}
	}
	var d Diff
	if err := (agatecodec.Codec{}).Decode("diff", plain, &d); err != nil {
		return Diff{}, err
	}
	return d, d.check()
}

func (d *Diff) check() error {
	switch {
	case d.From < 0 || d.Version <= d.From:
		return &FieldError{Field: "version"}
	case d.IdleTimeout < 0:
		return &FieldError{Field: "idle timeout"}
	}
	for _, vip := range d.Set {
		if err := vip.Check(); err != nil {
			return err
		}
	}
	for _, address := range d.Removed {
		if !address.IsValid() {
			return &FieldError{Field: "removed"}
		}
	}
	return nil
}
