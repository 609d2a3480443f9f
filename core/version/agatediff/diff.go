// Package agatediff computes the difference between two versions of the
// configuration, and encodes it in a compressed form for the network. In a large
// deployment with thousands of virtual addresses, a difference is much smaller
// than the complete configuration.
package agatediff

import (
	"bytes"
	"cmp"
	"compress/flate"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"
	"time"

	"agatereach/core/request/agatecodec"
	"agatereach/core/version/agatecatalog"
	"agatereach/core/version/agateprofile"
	"agatereach/core/version/agatestamp"
	"agatereach/core/version/agatevip"
)

// maxSize is the maximum size of the decompressed form in bytes, several times that
// of the 11,000 virtual addresses that a deployment may have.
const maxSize = 8 << 20

// FieldError reports a field whose value is not valid.
type FieldError struct {
	// Field names the field.
	Field string
}

// Error names the field.
func (e *FieldError) Error() string { return fmt.Sprintf("diff: field %s is not valid", e.Field) }

// BaseError reports a diff that was applied to another configuration than its base.
type BaseError struct {
	// Stamp is that of the configuration that the diff was applied to, and Want that
	// of its base.
	Stamp, Want agatestamp.Stamp
}

// Error gives both versions and where they were written.
func (e *BaseError) Error() string {
	return fmt.Sprintf("diff from version %d written at %s applied to version %d written at %s",
		e.Want.Version, e.Want.Written, e.Stamp.Version, e.Stamp.Written)
}

// Diff is the difference between a version of the configuration and a later one.
type Diff struct {
	// From, FromEra and FromRevision identify the base; From is 0 for no
	// configuration. Version, Era and Revision identify the resulting configuration,
	// which replaces the base.
	From         int64  `cbor:"1,keyasint"`
	FromEra      uint32 `cbor:"6,keyasint,omitempty"`
	FromRevision int64  `cbor:"7,keyasint,omitempty"`
	Version      int64  `cbor:"2,keyasint"`
	Era          uint32 `cbor:"8,keyasint,omitempty"`
	Revision     int64  `cbor:"9,keyasint,omitempty"`
	// IdleTimeout is the idle timeout of the resulting version.
	IdleTimeout time.Duration `cbor:"3,keyasint,omitempty"`
	// Set holds the virtual addresses that are new or changed, and Removed those
	// that no longer exist, both ordered by address.
	Set     []agatevip.VIP   `cbor:"4,keyasint,omitempty"`
	Removed []netip.AddrPort `cbor:"5,keyasint,omitempty"`
	// SetProfiles holds the profiles that are new or changed, and RemovedProfiles the
	// services whose profile no longer exists, both ordered by service.
	SetProfiles     []agateprofile.Profile `cbor:"10,keyasint,omitempty"`
	RemovedProfiles []string               `cbor:"11,keyasint,omitempty"`
}

// New returns the diff from one configuration to a later one. If before is nil, the
// diff contains the complete later configuration.
func New(before, after *agatecatalog.Config) Diff {
	d := Diff{Version: after.Version, Era: after.Era, Revision: after.Revision, IdleTimeout: after.IdleTimeout}
	former := make(map[netip.AddrPort]agatevip.VIP)
	if before != nil {
		d.From, d.FromEra, d.FromRevision = before.Version, before.Era, before.Revision
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
	d.addProfiles(before, after)
	return d
}

// addProfiles adds the differences between the profiles of two configurations.
func (d *Diff) addProfiles(before, after *agatecatalog.Config) {
	former := make(map[string]agateprofile.Profile)
	if before != nil {
		for _, profile := range before.Profiles {
			former[profile.Service] = profile
		}
	}
	for _, profile := range after.Profiles {
		if known, ok := former[profile.Service]; !ok || known != profile {
			d.SetProfiles = append(d.SetProfiles, profile)
		}
		delete(former, profile.Service)
	}
	d.RemovedProfiles = slices.Sorted(maps.Keys(former))
	slices.SortFunc(d.SetProfiles, compareProfiles)
}

// compareProfiles orders profiles by service.
func compareProfiles(a, b agateprofile.Profile) int { return cmp.Compare(a.Service, b.Service) }

// Base returns the stamp of the base, the zero value for no configuration.
func (d *Diff) Base() agatestamp.Stamp { return agatestamp.New(d.From, d.FromEra, d.FromRevision) }

// Stamp returns the stamp of the resulting configuration.
func (d *Diff) Stamp() agatestamp.Stamp { return agatestamp.New(d.Version, d.Era, d.Revision) }

// Apply returns the resulting configuration. base is nil for a diff whose base
// version is 0. The error is a *BaseError.
func (d Diff) Apply(base *agatecatalog.Config) (*agatecatalog.Config, error) {
	var stamp agatestamp.Stamp
	var vips []agatevip.VIP
	if base != nil {
		stamp = base.Stamp()
		vips = base.VIPs
	}
	if stamp != d.Base() {
		return nil, &BaseError{Stamp: stamp, Want: d.Base()}
	}
	replaced := make(map[netip.AddrPort]bool, len(d.Set)+len(d.Removed))
	for _, vip := range d.Set {
		replaced[vip.Address] = true
	}
	for _, address := range d.Removed {
		replaced[address] = true
	}
	config := &agatecatalog.Config{Version: d.Version, Era: d.Era, Revision: d.Revision, IdleTimeout: d.IdleTimeout, VIPs: slices.Clone(d.Set)}
	for _, vip := range vips {
		if !replaced[vip.Address] {
			config.VIPs = append(config.VIPs, vip)
		}
	}
	slices.SortFunc(config.VIPs, func(a, b agatevip.VIP) int {
		return cmp.Or(a.Address.Compare(b.Address), cmp.Compare(a.Name, b.Name))
	})
	config.Profiles = d.applyProfiles(base)
	return config, nil
}

// applyProfiles returns the profiles of the resulting configuration.
func (d *Diff) applyProfiles(base *agatecatalog.Config) []agateprofile.Profile {
	profiles := slices.Clone(d.SetProfiles)
	if base != nil {
		for _, profile := range base.Profiles {
			isSet := func(o agateprofile.Profile) bool { return o.Service == profile.Service }
			if !slices.ContainsFunc(d.SetProfiles, isSet) && !slices.Contains(d.RemovedProfiles, profile.Service) {
				profiles = append(profiles, profile)
			}
		}
	}
	slices.SortFunc(profiles, compareProfiles)
	return profiles
}

// Encode returns the compressed form. It is the same in every process. The error
// is an *agatecodec.EncodeError.
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

// Decode decodes and checks the compressed form. The error is an
// *agatecodec.DecodeError, a *FieldError, an *agatevip.FieldError or an
// *agateprofile.FieldError.
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
	case !d.Base().Valid() || !d.Stamp().Valid() || !d.Stamp().After(d.Base()):
		return &FieldError{Field: "version"}
	case d.IdleTimeout < 0:
		return &FieldError{Field: "idle timeout"}
	}
	for _, vip := range d.Set {
		if err := vip.Check(); err != nil {
			return err
		}
	}
	for _, profile := range d.SetProfiles {
		if err := profile.Check(); err != nil {
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
