package agatecatalog

import (
	"slices"
	"unique"

	"agatereach/core/version/agateinstance"
	"agatereach/core/version/agateposition"
	"agatereach/core/version/agateshard"
)

// draft holds editable copies of a catalog's maps.
type draft struct {
	// started is whether the editors have been created.
	started   bool
	digest    uint64
	instances *agateshard.Editor[agateinstance.Key, agateinstance.Instance]
	newest    *agateshard.Editor[uint64, agateinstance.Key]
	tokens    *agateshard.Editor[uint32, []agateinstance.Key]
}

// start creates the editors of the catalog's maps if they don't exist yet.
func (d *draft) start(c *Catalog) {
	if d.started {
		return
	}
	d.started = true
	d.digest = c.digest
	d.instances = c.instances.Edit()
	d.newest = c.newest.Edit()
	d.tokens = c.tokens.Edit()
}

// commit returns the catalog with the edited maps.
func (d *draft) commit(c *Catalog) *Catalog {
	next := *c
	next.digest = d.digest
	next.instances = d.instances.Close()
	next.newest = d.newest.Close()
	next.tokens = d.tokens.Close()
	return &next
}

// put adds or replaces a record. An incarnation older than the newest one of its
// id is stored as gone.
func (d *draft) put(record agateinstance.Instance) {
	if _, known := d.instances.Get(record.Key); !known {
		d.addTokens(record.Key)
	}
	key, known := d.newest.Get(record.ID)
	latest, _ := d.instances.Get(key)
	switch {
	case !known || newer(record, latest):
		d.newest.Set(record.ID, record.Key)
		if known {
			d.markGone(key, record.Position())
		}
	case record.Key != key:
		record.State = agateinstance.Gone
		if ends(record, latest) {
			// Not as of the record's position: the newest one may have been written there.
			d.markGone(key, latest.Position())
		}
	}
	d.set(record)
}

// ends reports whether the record of an incarnation that is gone says so of the newest one
// as well: both are of one server and start, so what was written later under the server's
// id has taken the place of both. Positions of different eras aren't compared, since a
// restored source may list what was replaced before.
func ends(record, latest agateinstance.Instance) bool {
	return record.StartTime == latest.StartTime && record.Era == latest.Era && record.Revision > latest.Revision && latest.State != agateinstance.Gone
}

// newer reports whether a record is of a newer incarnation than the newest known one: by
// their start times, or by their positions if those are the same. Then the one that was
// written before is gone as of the position of the other one.
func newer(record, latest agateinstance.Instance) bool {
	if record.StartTime != latest.StartTime {
		return record.StartTime > latest.StartTime
	}
	return record.Key != latest.Key && record.State != agateinstance.Gone && !latest.Position().After(record.Position())
}

// set stores a record and updates the digest.
func (d *draft) set(record agateinstance.Instance) {
	if former, known := d.instances.Get(record.Key); known {
		d.digest ^= former.Digest()
	}
	d.digest ^= record.Digest()
	// Interned, since each response of a source has its own copies of the names.
	record.Service, record.Centre = unique.Make(record.Service).Value(), unique.Make(record.Centre).Value()
	d.instances.Set(record.Key, record)
}

// markGone marks an earlier incarnation as gone.
func (d *draft) markGone(key agateinstance.Key, written agateposition.Position) {
	earlier, _ := d.instances.Get(key)
	d.set(earlier.WithState(agateinstance.Gone, written.Max(earlier.Position())))
}

// delete drops the record and the tokens of an incarnation.
func (d *draft) delete(key agateinstance.Key) {
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

// addTokens adds all tokens of an incarnation.
func (d *draft) addTokens(key agateinstance.Key) {
	for salt := range uint32(agateinstance.TokenSalts) {
		token := key.Token(salt)
		known, _ := d.tokens.Get(token)
		d.tokens.Set(token, append(slices.Clip(known), key))
	}
}

// dropToken removes an incarnation from those that have a token.
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
