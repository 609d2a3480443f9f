package agatecatalog

import (
	"maps"
	"net/netip"
	"slices"

	"agatereach/core/version/agateinstance"
)

// draft is a copy of a catalog's maps while it is changed.
type draft struct {
	// opened says whether the maps are copies of their own.
	opened    bool
	digest    uint64
	instances map[agateinstance.Key]agateinstance.Instance
	newest    map[uint64]agateinstance.Key
	tokens    map[uint32][]agateinstance.Key
	holders   map[netip.AddrPort]agateinstance.Key
}

// open copies the maps of the catalog unless they have been copied.
func (d *draft) open(c *Catalog) {
	if d.opened {
		return
	}
	d.opened = true
	d.digest = c.digest
	d.instances = clone(c.instances)
	d.newest = clone(c.newest)
	d.tokens = clone(c.tokens)
	d.holders = clone(c.holders)
}

// clone returns a copy that is never nil.
func clone[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}

// close returns the changed catalog.
func (d *draft) close(c *Catalog) *Catalog {
	next := *c
	next.digest = d.digest
	next.instances = d.instances
	next.newest = d.newest
	next.tokens = d.tokens
	next.holders = d.holders
	return &next
}

// put adds or replaces a record.
func (d *draft) put(record agateinstance.Instance) {
	if _, known := d.instances[record.Key]; !known {
		d.addTokens(record.Key)
	}
	latest, known := d.newest[record.ID]
	switch {
	case !known || record.Born > latest.Born:
		d.newest[record.ID] = record.Key
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
	if former, known := d.instances[record.Key]; known {
		d.digest ^= former.Digest()
	}
	d.digest ^= record.Digest()
	d.instances[record.Key] = record
}

// hold enters who has an address.
func (d *draft) hold(record agateinstance.Instance) {
	if record.State != agateinstance.Gone {
		d.holders[record.Address] = record.Key
		return
	}
	if d.holders[record.Address] == record.Key {
		delete(d.holders, record.Address)
	}
}

// supersede marks an earlier incarnation as gone.
func (d *draft) supersede(key agateinstance.Key, revision int64) {
	earlier := d.instances[key]
	d.set(earlier.WithState(agateinstance.Gone, max(revision, earlier.Revision)))
}

// remove forgets an incarnation.
func (d *draft) remove(key agateinstance.Key) {
	d.digest ^= d.instances[key].Digest()
	delete(d.instances, key)
	if d.newest[key.ID] == key {
		delete(d.newest, key.ID)
	}
	for salt := range uint32(agateinstance.TokenSalts) {
		d.dropToken(key.Token(salt), key)
	}
}

// addTokens enters all tokens of an incarnation.
func (d *draft) addTokens(key agateinstance.Key) {
	for salt := range uint32(agateinstance.TokenSalts) {
		token := key.Token(salt)
		d.tokens[token] = append(slices.Clip(d.tokens[token]), key)
	}
}

// dropToken removes an incarnation from those of a token.
func (d *draft) dropToken(token uint32, key agateinstance.Key) {
	var rest []agateinstance.Key
	for _, other := range d.tokens[token] {
		if other != key {
			rest = append(rest, other)
		}
	}
	if len(rest) == 0 {
		delete(d.tokens, token)
		return
	}
	d.tokens[token] = rest
}
