// Package agatecatalog holds the configuration and the registered backend servers
// as an immutable value. Newer values never have a lower version or an earlier position
// in the store's history, whatever the order in which the sources deliver.
package agatecatalog

import (
	"iter"
	"maps"
	"net/netip"
	"slices"

	"agatereach/core/version/agateevacuation"
	"agatereach/core/version/agateinstance"
	"agatereach/core/version/agateposition"
	"agatereach/core/version/agateprofile"
	"agatereach/core/version/agateshard"
	"agatereach/core/version/agatestamp"
	"agatereach/core/version/agatevip"
)

// Lookup is the result of looking up a flow token.
type Lookup string

// The results of looking up a flow token.
const (
	// Found means that exactly one known incarnation has the token.
	Found Lookup = "found"
	// Unknown means that no known incarnation has the token.
	Unknown Lookup = "unknown"
	// Ambiguous means that several incarnations share the token, so that none
	// may be chosen.
	Ambiguous Lookup = "ambiguous"
)

// Catalog is an immutable snapshot of the configuration and the backend servers.
// The zero value is empty. It is safe for concurrent use.
type Catalog struct {
	// config is the newest configuration; nil before the first one.
	config *Config
	// vips holds the virtual addresses of config by address.
	vips map[netip.AddrPort]agatevip.VIP
	// profiles holds the profiles of config by service.
	profiles map[string]agateprofile.Profile
	// instances holds all known incarnations, including those that are gone.
	instances agateshard.Map[agateinstance.Key, agateinstance.Instance]
	// newest holds the key of the newest incarnation of each server id. Of two with the
	// same start time, of which only one can be the server's own, it is the one that was
	// written later.
	newest agateshard.Map[uint64, agateinstance.Key]
	// tokens holds the incarnations that have a token; more than one is a
	// collision.
	tokens agateshard.Map[uint32, []agateinstance.Key]
	// evacuations holds the newest known record of each data centre, by name.
	evacuations map[string]agateevacuation.Evacuation
	// digest is the exclusive or of the digests of all instances and evacuations.
	digest uint64
	// floor is the position after which every removal is still held as an
	// instance that is gone, and every end of an evacuation as a record that is not
	// active; at most position.
	floor agateposition.Position
	// position is that in the store's history up to which all changes are included.
	position agateposition.Position
}

// Version returns the version of the configuration, 0 before the first one.
func (c *Catalog) Version() int64 {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

// Stamp returns what identifies the configuration, the zero value before the first one.
func (c *Catalog) Stamp() agatestamp.Stamp {
	if c.config == nil {
		return agatestamp.Stamp{}
	}
	return c.config.Stamp()
}

// Position returns the position in the store's history up to which all changes are
// included, the zero value before the first catalog.
func (c *Catalog) Position() agateposition.Position { return c.position }

// Revision returns the revision of the position.
func (c *Catalog) Revision() int64 { return c.position.Revision }

// Floor returns the position after which every removal is still held. A reader
// whose position is before it needs a complete listing, since the changes after its
// position may lack removals.
func (c *Catalog) Floor() agateposition.Position { return c.floor }

// Digest returns a hash of the registrations that are not gone and of the evacuations
// that are active. It is equal for two catalogs that hold the same ones.
func (c *Catalog) Digest() uint64 { return c.digest }

// Config returns the configuration, nil before the first one.
func (c *Catalog) Config() *Config { return c.config }

// VIP returns the virtual address configured for the destination of a flow.
func (c *Catalog) VIP(address netip.AddrPort) (agatevip.VIP, bool) {
	vip, ok := c.vips[address]
	return vip, ok
}

// Profile returns the limits of the servers of a service, and whether the configuration
// holds any.
func (c *Catalog) Profile(service string) (agateprofile.Profile, bool) {
	profile, ok := c.profiles[service]
	return profile, ok
}

// Instance returns the record of an incarnation and reports whether it is known.
func (c *Catalog) Instance(key agateinstance.Key) (agateinstance.Instance, bool) {
	return c.instances.Get(key)
}

// Newest returns the newest incarnation of a server and reports whether there is
// one.
func (c *Catalog) Newest(id uint64) (agateinstance.Instance, bool) {
	key, ok := c.newest.Get(id)
	if !ok {
		return agateinstance.Instance{}, false
	}
	return c.Instance(key)
}

// Successor returns the incarnation that receives what is sent to another one: the
// newest of the server if it has the same address, else the given one itself. A flow may
// have been opened with the successor before that was registered, so the token doesn't
// tell which of the two holds it.
func (c *Catalog) Successor(instance agateinstance.Instance) agateinstance.Instance {
	if instance.State != agateinstance.Gone {
		return instance
	}
	latest, held := c.Newest(instance.ID)
	if !held || latest.Address != instance.Address {
		return instance
	}
	return latest
}

// Instances returns all known incarnations, ordered by id and start time.
func (c *Catalog) Instances() []agateinstance.Instance {
	return slices.SortedFunc(c.All(), func(a, b agateinstance.Instance) int { return a.Compare(b.Key) })
}

// All returns all known incarnations, in no particular order.
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
// catalog or that only one of the two catalogs holds, and all incarnations that
// share a token with one of them, since their own token may change with it. Each
// is returned once.
func (c *Catalog) Changed(other *Catalog) []agateinstance.Key {
	if other.instances.Empty() {
		return slices.Collect(c.instances.Keys())
	}
	changed := make(map[agateinstance.Key]bool)
	same := func(a, b agateinstance.Instance) bool { return a == b }
	for key := range c.instances.Changes(other.instances, same) {
		changed[key] = true
		for salt := range uint32(agateinstance.TokenSalts) {
			sharing, _ := c.tokens.Get(key.Token(salt))
			former, _ := other.tokens.Get(key.Token(salt))
			for _, sharer := range slices.Concat(sharing, former) {
				changed[sharer] = true
			}
		}
	}
	return slices.Collect(maps.Keys(changed))
}

// Contradicted returns the incarnations whose registration is another one than in an
// earlier catalog because their server is registered with the same start time at another
// address: one of the two isn't the server's own.
func (c *Catalog) Contradicted(earlier *Catalog) []agateinstance.Instance {
	var contradicted []agateinstance.Instance
	same := func(a, b agateinstance.Instance) bool { return a == b }
	for key := range c.instances.Changes(earlier.instances, same) {
		instance, _ := c.instances.Get(key)
		if newest, held := c.newest.Get(key.ID); held && instance.State == agateinstance.Gone && newest != key && newest.StartTime == key.StartTime {
			contradicted = append(contradicted, instance)
		}
	}
	return contradicted
}

// Token returns the token for new flows of an incarnation: the first of its
// tokens that no other incarnation has. It returns false if there is none; the
// incarnation can't take new flows then.
func (c *Catalog) Token(key agateinstance.Key) (uint32, bool) {
	for salt := range uint32(agateinstance.TokenSalts) {
		token := key.Token(salt)
		if keys, _ := c.tokens.Get(token); len(keys) == 1 {
			return token, true
		}
	}
	return 0, false
}

// Find returns the incarnation that has a token, if there is exactly one.
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

// WithConfig returns the catalog with the configuration if it replaces the current one,
// and reports whether it does.
func (c *Catalog) WithConfig(config *Config) (*Catalog, bool) {
	if config == nil || !config.Stamp().After(c.Stamp()) {
		return c, false
	}
	next := *c
	next.config = config
	next.vips = config.vipsByAddress()
	next.profiles = config.profilesByService()
	return &next, true
}

// WithPosition returns the catalog marked as complete up to the position. The position
// never becomes an earlier one.
func (c *Catalog) WithPosition(position agateposition.Position) *Catalog {
	if !position.After(c.position) {
		return c
	}
	next := *c
	next.position = position
	return &next
}

// WithFloor returns the catalog with a floor of at least the given position.
func (c *Catalog) WithFloor(position agateposition.Position) *Catalog {
	if !position.After(c.floor) {
		return c
	}
	next := *c
	next.floor = position
	return &next
}

// WithInstances returns the catalog with those records that replace its own, and
// reports whether there was one. An incarnation is marked as gone when a
// newer one with the same id is added.
func (c *Catalog) WithInstances(records []agateinstance.Instance) (*Catalog, bool) {
	var d draft
	for _, record := range records {
		if c.replaces(&d, record) {
			d.start(c)
			d.put(record)
		}
	}
	if !d.started {
		return c, false
	}
	return d.commit(c), true
}

// replaces reports whether the record replaces the one in the draft, or in the
// catalog if the draft has not been started.
func (c *Catalog) replaces(d *draft, record agateinstance.Instance) bool {
	instances := c.instances
	if d.started {
		instances = d.instances.Map
	}
	held, ok := instances.Get(record.Key)
	return !ok || record.Replaces(held)
}

// WithoutGone returns the catalog without the records of those incarnations that
// are gone and for which forget returns true. It raises the floor to the last
// position of a dropped record.
func (c *Catalog) WithoutGone(forget func(agateinstance.Instance) bool) *Catalog {
	var d draft
	floor := c.floor
	for key, instance := range c.instances.All() {
		if instance.State == agateinstance.Gone && forget(instance) {
			d.start(c)
			d.delete(key)
			floor = floor.Max(instance.Position())
		}
	}
	if !d.started {
		return c
	}
	if floor.After(c.position) {
		floor = c.position
	}
	return d.commit(c).WithFloor(floor)
}
