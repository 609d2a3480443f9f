package agatecatalog

import (
	"net/netip"
	"time"

	"agatereach/core/version/agatevip"
)

// Config is a version of the configuration, whole. It is not changed once made.
type Config struct {
	// Version is the number that operators gave it; 0 before the first one.
	Version int64 `cbor:"1,keyasint"`
	// VIPs are the virtual addresses, each with another address.
	VIPs []agatevip.VIP `cbor:"2,keyasint"`
	// IdleTimeout is how long a flow may be idle before it is forgotten.
	IdleTimeout time.Duration `cbor:"3,keyasint,omitempty"`
}

// Check returns the error of the first virtual address that breaks an
// invariant.
func (c *Config) Check() error {
	for _, vip := range c.VIPs {
		if err := vip.Check(); err != nil {
			return err
		}
	}
	return nil
}

// index returns the virtual addresses by address.
func (c *Config) index() map[netip.AddrPort]agatevip.VIP {
	vips := make(map[netip.AddrPort]agatevip.VIP, len(c.VIPs))
	for _, vip := range c.VIPs {
		vips[vip.Address] = vip
	}
	return vips
}
