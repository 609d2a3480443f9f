package agatecatalog

import (
	"net/netip"
	"time"

	"agatereach/core/version/agateprofile"
	"agatereach/core/version/agatestamp"
	"agatereach/core/version/agatevip"
)

// Config is one complete version of the configuration. It is immutable.
type Config struct {
	// Version is the number that operators assign; 0 before the first version.
	Version int64 `cbor:"1,keyasint"`
	// Era and Revision are the store's when the configuration was written.
	Era      uint32 `cbor:"4,keyasint,omitempty"`
	Revision int64  `cbor:"5,keyasint,omitempty"`
	// VIPs holds the virtual addresses; their addresses are unique.
	VIPs []agatevip.VIP `cbor:"2,keyasint"`
	// IdleTimeout is how long a flow may be idle before its state is dropped.
	IdleTimeout time.Duration `cbor:"3,keyasint,omitempty"`
	// Profiles holds the limits of services' servers, each service at most once.
	Profiles []agateprofile.Profile `cbor:"6,keyasint,omitempty"`
}

// Stamp returns what identifies the configuration.
func (c *Config) Stamp() agatestamp.Stamp { return agatestamp.New(c.Version, c.Era, c.Revision) }

// Check returns the error of the first virtual address that is not valid.
func (c *Config) Check() error {
	for _, vip := range c.VIPs {
		if err := vip.Check(); err != nil {
			return err
		}
	}
	for _, profile := range c.Profiles {
		if err := profile.Check(); err != nil {
			return err
		}
	}
	return nil
}

// vipsByAddress returns the virtual addresses by address.
func (c *Config) vipsByAddress() map[netip.AddrPort]agatevip.VIP {
	vips := make(map[netip.AddrPort]agatevip.VIP, len(c.VIPs))
	for _, vip := range c.VIPs {
		vips[vip.Address] = vip
	}
	return vips
}

// profilesByService returns the profiles by the name of their service.
func (c *Config) profilesByService() map[string]agateprofile.Profile {
	profiles := make(map[string]agateprofile.Profile, len(c.Profiles))
	for _, profile := range c.Profiles {
		profiles[profile.Service] = profile
	}
	return profiles
}
