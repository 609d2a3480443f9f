// Package agatemerge merges what the sources deliver into the catalog. It
// keeps servers whose registrations have lapsed with an outage of the source
// until they have had time to register again.
package agatemerge

import (
	"time"

	"agatereach/core/version/agatecatalog"
	"agatereach/core/version/agatechange"
	"agatereach/core/version/agateinstance"
)

// Policy holds the times.
type Policy struct {
	// Unannounced is how long a server is kept that vanished without draining.
	// An outage that began and ended while a read was under way is not noticed
	// in any other way.
	Unannounced time.Duration
	// Outage is how long after the last failed read a vanished server is kept.
	Outage time.Duration
	// Memory is how long an incarnation that is gone is remembered, at least as
	// long as its flows may last.
	Memory time.Duration
}

// lapse is a registration that has vanished.
type lapse struct {
	// revision is the one of the removal.
	revision int64
	// until is when the server is held to be gone.
	until time.Duration
}

// Merger owns the newest catalog. It is used by one goroutine.
type Merger struct {
	policy  Policy
	catalog *agatecatalog.Catalog
	// lapsed are the registrations that have vanished and are still used.
	lapsed map[agateinstance.Key]lapse
	// gone is when each incarnation was found to be gone.
	gone map[agateinstance.Key]time.Duration
	// dated is the catalog whose incarnations that are gone are all in gone.
	dated *agatecatalog.Catalog
	// failed is when a read last failed; negative before the first failure.
	failed time.Duration
}

// New returns a merger that holds nothing.
func New(policy Policy) *Merger {
	return &Merger{
		policy:  policy,
		catalog: &agatecatalog.Catalog{},
		dated:   &agatecatalog.Catalog{},
		lapsed:  make(map[agateinstance.Key]lapse),
		gone:    make(map[agateinstance.Key]time.Duration),
		failed:  -policy.Outage,
	}
}

// Catalog returns the newest catalog.
func (m *Merger) Catalog() *agatecatalog.Catalog { return m.catalog }

// Failed notes that the source could not be read.
func (m *Merger) Failed(now time.Duration) { m.failed = now }

// Apply takes in a delivery and reports whether the catalog has changed.
func (m *Merger) Apply(c agatechange.Changes, now time.Duration) bool {
	before := m.catalog
	m.catalog, _ = m.catalog.WithConfig(c.Config)
	removed := c.Removed
	records := c.Instances
	if c.Whole {
		removed = append(removed, m.missing(c)...)
	} else {
		records = m.current(records)
	}
	m.catalog, _ = m.catalog.WithInstances(records)
	m.revive(records)
	m.remove(removed, now)
	if c.Whole && before.Revision() == 0 {
		m.catalog = m.catalog.WithFloor(c.Revision)
	}
	m.catalog = m.catalog.WithRevision(c.Revision)
	return m.catalog != before
}

// current returns the records without those that the catalog should hold by its
// revision and does not: they were removed before it.
func (m *Merger) current(records []agateinstance.Instance) []agateinstance.Instance {
	kept := make([]agateinstance.Instance, 0, len(records))
	for _, record := range records {
		_, held := m.catalog.Instance(record.Key)
		if held || record.Revision > m.catalog.Revision() {
			kept = append(kept, record)
		}
	}
	return kept
}

// revive drops the lapses of servers that have registered again, or that others
// know to be gone.
func (m *Merger) revive(records []agateinstance.Instance) {
	for _, record := range records {
		held, ok := m.lapsed[record.Key]
		if ok && (record.Revision > held.revision || record.State == agateinstance.Gone) {
			delete(m.lapsed, record.Key)
		}
		if record.State != agateinstance.Gone {
			delete(m.gone, record.Key)
		}
	}
}

// missing returns the removals that a whole listing implies.
func (m *Merger) missing(c agatechange.Changes) []agatechange.Removal {
	listed := make(map[uint64]bool, len(c.Instances))
	for _, record := range c.Instances {
		listed[record.ID] = true
	}
	var removed []agatechange.Removal
	for instance := range m.catalog.All() {
		if !listed[instance.ID] && instance.State != agateinstance.Gone && instance.Revision <= c.Revision {
			removed = append(removed, agatechange.Removal{ID: instance.ID, Revision: c.Revision})
		}
	}
	return removed
}

// remove lets registrations lapse. Of two removals the later one counts, so that
// a record between them does not come back.
func (m *Merger) remove(removed []agatechange.Removal, now time.Duration) {
	for _, removal := range removed {
		instance, held := m.catalog.Newest(removal.ID)
		if !held || instance.Revision > removal.Revision {
			continue
		}
		if instance.State == agateinstance.Gone {
			again := instance.WithState(agateinstance.Gone, removal.Revision)
			m.catalog, _ = m.catalog.WithInstances([]agateinstance.Instance{again})
			continue
		}
		pending, known := m.lapsed[instance.Key]
		if !known {
			pending.until = m.until(instance, now)
		}
		pending.revision = max(pending.revision, removal.Revision)
		m.lapsed[instance.Key] = pending
	}
	m.Tick(now)
}

// until returns how long a server is kept whose registration has vanished.
func (m *Merger) until(instance agateinstance.Instance, now time.Duration) time.Duration {
	if instance.State == agateinstance.Draining {
		return now
	}
	return max(now+m.policy.Unannounced, m.failed+m.policy.Outage)
}

// Tick lets lapsed servers go and forgets those that went long ago. It reports
// whether the catalog has changed.
func (m *Merger) Tick(now time.Duration) bool {
	before := m.catalog
	m.expire(now)
	m.date(now)
	m.forget(now)
	return m.catalog != before
}

// expire marks the servers as gone whose time has run out.
func (m *Merger) expire(now time.Duration) {
	var ended []agateinstance.Instance
	for key, held := range m.lapsed {
		if now < held.until {
			continue
		}
		delete(m.lapsed, key)
		instance, ok := m.catalog.Instance(key)
		if ok && instance.State != agateinstance.Gone && instance.Revision <= held.revision {
			// A record of the same revision does not replace another.
			ended = append(ended, instance.WithState(agateinstance.Gone, max(held.revision, instance.Revision+1)))
		}
	}
	m.catalog, _ = m.catalog.WithInstances(ended)
}

// date notes when incarnations were found to be gone.
func (m *Merger) date(now time.Duration) {
	if m.catalog == m.dated {
		return
	}
	changed := m.catalog.Changed(m.dated)
	m.dated = m.catalog
	for _, key := range changed {
		instance, held := m.catalog.Instance(key)
		if !held || instance.State != agateinstance.Gone {
			continue
		}
		if _, dated := m.gone[key]; !dated {
			m.gone[key] = now
		}
	}
}

// forget drops the incarnations that went long ago.
func (m *Merger) forget(now time.Duration) {
	old := func(since time.Duration) bool { return now-since > m.policy.Memory }
	due := false
	for key, since := range m.gone {
		if old(since) {
			due = true
			defer delete(m.gone, key)
		}
	}
	if due {
		m.catalog = m.catalog.Without(func(i agateinstance.Instance) bool { return old(m.gone[i.Key]) })
	}
}
