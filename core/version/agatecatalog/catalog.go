// Package agatecatalog holds the configuration and the registered backend
// servers as an immutable value: monotone by version and by revision, whatever
// order the sources deliver in.
package agatecatalog

import (
	"cmp"
	"iter"
	"maps"
	"net/netip"
	"slices"

	"agatereach/core/version/agateinstance"
	"agatereach/core/version/agateshard"
	"agatereach/core/version/agatevip"
)

// Lookup says what a flow token names.
type Lookup string

// What a flow token may name.
const (
	// Found is one known incarnation.
	Found Lookup = "found"
	// Unknown is no incarnation that is held.
	Unknown Lookup = "unknown"
	// Ambiguous is more than one, so that none may be chosen.
	Ambiguous Lookup = "ambiguous"
)

// Catalog is the configuration and the backend servers. The zero value is
// empty. It is never changed, so that any goroutine may read it.
type Catalog struct {
	// config is the newest configuration; nil before the first one.
	config *Config
	// vips are the virtual addresses of config by address.
	vips map[netip.AddrPort]agatevip.VIP
	// instances are all incarnations that are held, also those that are gone.
	instances agateshard.Map[agateinstance.Key, agateinstance.Instance]
	// newest is the key of the newest incarnation of each id.
	newest agateshard.Map[uint64, agateinstance.Key]
	// tokens are the incarnations that a token may stand for; more than one
	// is a collision.
	tokens agateshard.Map[uint32, []agateinstance.Key]
	// holders are the incarnations in service by address.
	holders agateshard.Map[netip.AddrPort, agateinstance.Key]
	// digest is the exclusive or of the digests of all instances.
	digest uint64
	// floor is the revision from which on the removals are known as instances
	// that are gone; at most revision.
	floor int64
	// revision is the highest revision of the store that is contained whole.
	revision int64
}

// Version returns the version of the configuration, 0 before the first one.
func (c *Catalog) Version() int64 {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

// Revision returns the revision of the store up to which nothing is missing.
func (c *Catalog) Revision() int64 { return c.revision }

// Floor returns the revision from which on removals are known. Whoever is behind
// it must be told everything rather than what has changed.
func (c *Catalog) Floor() int64 { return c.floor }

// Digest returns a hash of the registrations that are in service, which two
// catalogs that hold the same ones share.
func (c *Catalog) Digest() uint64 { return c.digest }

// Config returns the configuration, nil before the first one.
func (c *Catalog) Config() *Config { return c.config }

// VIP returns the virtual address that a flow was sent to.
func (c *Catalog) VIP(address netip.AddrPort) (agatevip.VIP, bool) {
	vip, ok := c.vips[address]
	return vip, ok
}

// Instance returns an incarnation.
func (c *Catalog) Instance(key agateinstance.Key) (agateinstance.Instance, bool) {
	return c.instances.Get(key)
}

// Newest returns the newest incarnation of a server's id.
func (c *Catalog) Newest(id uint64) (agateinstance.Instance, bool) {
	key, ok := c.newest.Get(id)
	if !ok {
		return agateinstance.Instance{}, false
	}
	return c.Instance(key)
}

// Replaced reports whether the incarnation is known to have ended: its server
// has started anew, or another server has its address.
func (c *Catalog) Replaced(instance agateinstance.Instance) bool {
	latest, held := c.newest.Get(instance.ID)
	holder, taken := c.holders.Get(instance.Address)
	return held && latest.Born > instance.Born || taken && holder != instance.Key
}

// Instances returns all incarnations that are held, in the order of their ids
// and starts.
func (c *Catalog) Instances() []agateinstance.Instance {
	return slices.SortedFunc(c.All(), func(a, b agateinstance.Instance) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born))
	})
}

// All returns all incarnations that are held, in any order.
func (c *Catalog) All() iter.Seq[agateinstance.Instance] {
	return func(yield func(agateinstance.Instance) bool) {
		for _, instance := range c.instances.All() {
			if !yield(instance) {
				return
			}
		}
	}
}

// Changed returns the incarnations whose records differ from those of another
// catalog, those that only one of the two holds, and those whose token may be
// another since they share one with them, each once.
func (c *Catalog) Changed(other *Catalog) []agateinstance.Key {
	if other.instances.Empty() {
		return slices.Collect(c.instances.Keys())
	}
	found := make(map[agateinstance.Key]bool)
	same := func(a, b agateinstance.Instance) bool { return a == b }
	for key := range c.instances.Changes(other.instances, same) {
		found[key] = true
		for salt := range uint32(agateinstance.TokenSalts) {
			sharing, _ := c.tokens.Get(key.Token(salt))
			former, _ := other.tokens.Get(key.Token(salt))
			for _, each := range slices.Concat(sharing, former) {
				found[each] = true
			}
		}
	}
	return slices.Collect(maps.Keys(found))
}

// Token returns the token for new flows of an incarnation: the first of its
// tokens that no other incarnation has. Without one it returns false, and the
// incarnation can take no flow.
func (c *Catalog) Token(key agateinstance.Key) (uint32, bool) {
	for salt := range uint32(agateinstance.TokenSalts) {
		token := key.Token(salt)
		if keys, _ := c.tokens.Get(token); len(keys) == 1 {
			return token, true
		}
	}
	return 0, false
}

// Find returns the incarnation that a token names.
func (c *Catalog) Find(token uint32) (agateinstance.Instance, Lookup) {
	keys, _ := c.tokens.Get(token)
	switch len(keys) {
	case 0:
		return agateinstance.Instance{}, Unknown
	case 1:
		instance, _ := c.Instance(keys[0])
		return instance, Found
	default:
		return agateinstance.Instance{}, Ambiguous
	}
}

// WithConfig returns the catalog with the configuration if it is newer than
// the one held, and reports whether it was.
func (c *Catalog) WithConfig(config *Config) (*Catalog, bool) {
	if config == nil || config.Version <= c.Version() {
		return c, false
	}
	next := *c
	next.config = config
	next.vips = config.index()
	return &next, true
}

// WithRevision returns the catalog as whole up to the revision.
func (c *Catalog) WithRevision(revision int64) *Catalog {
	if revision <= c.revision {
		return c
	}
	next := *c
	next.revision = revision
	return &next
}

// WithFloor returns the catalog with removals known from a revision on.
func (c *Catalog) WithFloor(revision int64) *Catalog {
	if revision <= c.floor {
		return c
	}
	next := *c
	next.floor = revision
	return &next
}

// WithInstances returns the catalog with the records that are newer than those
// held, and reports whether there was one. An older incarnation of an id is
// gone as soon as a newer one is known.
func (c *Catalog) WithInstances(records []agateinstance.Instance) (*Catalog, bool) {
	var d draft
	for _, record := range records {
		if c.supersedes(&d, record) {
			d.open(c)
			d.put(record)
		}
	}
	if !d.opened {
		return c, false
	}
	return d.close(c), true
}

// supersedes reports whether the record says something new.
func (c *Catalog) supersedes(d *draft, record agateinstance.Instance) bool {
	instances := c.instances
	if d.opened {
		instances = d.instances.Map
	}
	held, ok := instances.Get(record.Key)
	return !ok || record.Revision > held.Revision
}

// Without returns the catalog without the records of incarnations that are gone
// and for which forget reports true.
func (c *Catalog) Without(forget func(agateinstance.Instance) bool) *Catalog {
	var d draft
	floor := c.floor
	for key, instance := range c.instances.All() {
		if instance.State == agateinstance.Gone && forget(instance) {
			d.open(c)
			d.remove(key)
			floor = max(floor, instance.Revision)
		}
	}
	if !d.opened {
		return c
	}
	return d.close(c).WithFloor(min(floor, c.revision))
}
