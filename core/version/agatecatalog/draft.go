package agatecatalog

import (
	"net/netip"
	"slices"
	"unique"

	"agatereach/core/version/agateinstance"
	"agatereach/core/version/agateshard"
)

// draft is a catalog's maps while they are changed.
type draft struct {
	// opened says whether the editors are there.
	opened    bool
	digest    uint64
	instances *agateshard.Editor[agateinstance.Key, agateinstance.Instance]
	newest    *agateshard.Editor[uint64, agateinstance.Key]
	tokens    *agateshard.Editor[uint32, []agateinstance.Key]
	holders   *agateshard.Editor[netip.AddrPort, agateinstance.Key]
}

// open begins to change the maps of the catalog unless that has begun.
func (d *draft) open(c *Catalog) {
	if d.opened {
		return
	}
	d.opened = true
	d.digest = c.digest
	d.instances = c.instances.Edit()
	d.newest = c.newest.Edit()
	d.tokens = c.tokens.Edit()
	d.holders = c.holders.Edit()
}

// close returns the changed catalog.
func (d *draft) close(c *Catalog) *Catalog {
	next := *c
	next.digest = d.digest
	next.instances = d.instances.Close()
	next.newest = d.newest.Close()
	next.tokens = d.tokens.Close()
	next.holders = d.holders.Close()
	return &next
}

// put adds or replaces a record.
func (d *draft) put(record agateinstance.Instance) {
	if _, known := d.instances.Get(record.Key); !known {
		d.addTokens(record.Key)
	}
	latest, known := d.newest.Get(record.ID)
	switch {
	case !known || record.Born > latest.Born:
		d.newest.Set(record.ID, record.Key)
		if known {
			d.supersede(latest, record.Revision)
		}
	case record.Born < latest.Born:
		record.State = agateinstance.Gone
	}
	d.set(record)
	d.hold(record)
}

// set stores a record and keeps the digest in step.
func (d *draft) set(record agateinstance.Instance) {
	if former, known := d.instances.Get(record.Key); known {
		d.digest ^= former.Digest()
	}
	d.digest ^= record.Digest()
	// Each answer of a source has its own copies of the names.
	record.Service, record.Centre = unique.Make(record.Service).Value(), unique.Make(record.Centre).Value()
	d.instances.Set(record.Key, record)
}

// hold enters who has an address.
func (d *draft) hold(record agateinstance.Instance) {
	if record.State != agateinstance.Gone {
		d.holders.Set(record.Address, record.Key)
		return
	}
	if holder, _ := d.holders.Get(record.Address); holder == record.Key {
		d.holders.Delete(record.Address)
	}
}

// supersede marks an earlier incarnation as gone.
func (d *draft) supersede(key agateinstance.Key, revision int64) {
	earlier, _ := d.instances.Get(key)
	d.set(earlier.WithState(agateinstance.Gone, max(revision, earlier.Revision)))
}

// remove forgets an incarnation.
func (d *draft) remove(key agateinstance.Key) {
	gone, _ := d.instances.Get(key)
	d.digest ^= gone.Digest()
	d.instances.Delete(key)
	if newest, _ := d.newest.Get(key.ID); newest == key {
		d.newest.Delete(key.ID)
	}
	for salt := range uint32(agateinstance.TokenSalts) {
		d.dropToken(key.Token(salt), key)
	}
}

// addTokens enters all tokens of an incarnation.
func (d *draft) addTokens(key agateinstance.Key) {
	for salt := range uint32(agateinstance.TokenSalts) {
		token := key.Token(salt)
		known, _ := d.tokens.Get(token)
		d.tokens.Set(token, append(slices.Clip(known), key))
	}
}

// dropToken removes an incarnation from those of a token.
func (d *draft) dropToken(token uint32, key agateinstance.Key) {
	var rest []agateinstance.Key
	known, _ := d.tokens.Get(token)
	for _, other := range known {
		if other != key {
			rest = append(rest, other)
		}
	}
	if len(rest) == 0 {
		d.tokens.Delete(token)
		return
	}
	d.tokens.Set(token, rest)
}
