// Package agatemerge applies the changes that the sources deliver to the catalog.
// A server whose registration disappears is kept for a grace period, so that an
// outage of the source that drops registrations leaves servers time to register
// again.
package agatemerge

import (
	"slices"
	"time"

	"agatereach/core/version/agatecatalog"
	"agatereach/core/version/agatechange"
	"agatereach/core/version/agateevacuation"
	"agatereach/core/version/agateinstance"
	"agatereach/core/version/agateposition"
)

// Policy holds the grace periods and the retention time.
type Policy struct {
	// RemovalGrace is how long a server is kept whose registration is removed
	// without draining first. It also covers an outage of the source that begins
	// and ends during one read and therefore causes no failed read.
	RemovalGrace time.Duration
	// OutageGrace is how long after the last failed read a server is kept whose
	// registration is removed.
	OutageGrace time.Duration
	// LeaseTime is how long a restored source may list a registration whose server has
	// ended: until the lease has run out.
	LeaseTime time.Duration
	// GoneRetention is how long the record of an incarnation that is gone is
	// retained; at least the maximum lifetime of a flow.
	GoneRetention time.Duration
}

// pendingRemoval is a removed registration whose server is still in its grace
// period.
type pendingRemoval struct {
	// position is that of the removal.
	position agateposition.Position
	// deadline is when the server is marked as gone.
	deadline time.Duration
}

// Merger owns the newest catalog. It is not safe for concurrent use.
type Merger struct {
	policy  Policy
	catalog *agatecatalog.Catalog
	// pending holds the removed registrations that are in their grace period, by the id
	// of the server: a record from before the removal may become known in that time.
	pending map[uint64]pendingRemoval
	// eraSince is when the catalog was first one of its era, and carried holds the
	// incarnations whose state is known from an earlier era.
	eraSince time.Duration
	carried  map[agateinstance.Key]bool
	// goneSince is when each incarnation was first seen as gone.
	goneSince map[agateinstance.Key]time.Duration
	// ended holds the evacuations that were seen as ended, by data centre.
	ended map[string]endedEvacuation
	// lastCatalog is the catalog from which goneSince was last updated.
	lastCatalog *agatecatalog.Catalog
	// lastFailure is when a read last failed; negative before the first failure.
	lastFailure time.Duration
}

// New returns a merger with an empty catalog.
func New(policy Policy) *Merger {
	return &Merger{
		policy:      policy,
		catalog:     &agatecatalog.Catalog{},
		lastCatalog: &agatecatalog.Catalog{},
		pending:     make(map[uint64]pendingRemoval),
		goneSince:   make(map[agateinstance.Key]time.Duration),
		carried:     make(map[agateinstance.Key]bool),
		ended:       make(map[string]endedEvacuation),
		lastFailure: -policy.OutageGrace,
	}
}

// Catalog returns the newest catalog.
func (m *Merger) Catalog() *agatecatalog.Catalog { return m.catalog }

// RecordFailure records that a read of the source failed.
func (m *Merger) RecordFailure(now time.Duration) { m.lastFailure = now }

// Apply applies a delivery of a source and reports whether the catalog has
// changed. Of a delivery from an earlier era than the catalog's, and of one from a later
// era that is not complete, only the configuration is applied.
func (m *Merger) Apply(c agatechange.Changes, now time.Duration) bool {
	before := m.catalog
	m.catalog, _ = m.catalog.WithConfig(c.Config)
	switch {
	case c.Era < before.Position().Era || c.Era > before.Position().Era && !c.Complete:
		return m.catalog != before
	case c.Era > before.Position().Era:
		c = m.enterEra(c, now)
	case c.Complete && now-m.eraSince >= m.policy.LeaseTime:
		c = m.withConfirmedStates(c)
	}
	removed := c.Removals
	records := c.Instances
	if c.Complete {
		removed = append(removed, m.impliedRemovals(c)...)
	} else {
		records = m.withoutRemoved(records)
	}
	m.catalog, _ = m.catalog.WithInstances(records)
	m.applyEvacuations(c)
	m.cancelRemovals(records)
	m.scheduleRemovals(removed, c.Era, now)
	if c.Complete && (before.Revision() == 0 || before.Position().Era != c.Era) {
		m.catalog = m.catalog.WithFloor(c.Position())
	}
	m.catalog = m.catalog.WithPosition(c.Position())
	return m.catalog != before
}

// ApplyConfig applies a configuration and reports whether it has replaced the current one.
func (m *Merger) ApplyConfig(config *agatecatalog.Config) bool {
	replaced := false
	m.catalog, replaced = m.catalog.WithConfig(config)
	return replaced
}

// EnterEra applies what the listing of a restored source, of the given position, has
// otherwise than the catalog: records of the source's era, and under their earlier era
// those that it lacks. It has all others unchanged. The evacuations are all that it has.
func (m *Merger) EnterEra(differing []agateinstance.Instance, evacuations []agateevacuation.Evacuation, position agateposition.Position, now time.Duration) {
	c := agatechange.Changes{Era: position.Era, Revision: position.Revision, Evacuations: evacuations}
	differs := make(map[agateinstance.Key]bool, len(differing))
	for _, record := range differing {
		differs[record.Key] = true
		if record.Era == position.Era {
			c.Instances = append(c.Instances, record)
		}
	}
	for held := range m.catalog.All() {
		if !differs[held.Key] && held.State != agateinstance.Gone {
			c.Instances = append(c.Instances, held.WithEra(position.Era))
		}
	}
	c = m.enterEra(c, now)
	m.catalog, _ = m.catalog.WithInstances(c.Instances)
	m.replaceEvacuations(c)
	m.cancelRemovals(c.Instances)
	m.catalog = m.catalog.WithFloor(position).WithPosition(position)
	m.Tick(now)
}

// enterEra begins the era of a listing of a restored source and returns the listing with
// the states that are known from before. Removals that were pending are dropped: a server
// that is listed has its lease again, and one that is not has as long to register as after
// an outage.
func (m *Merger) enterEra(c agatechange.Changes, now time.Duration) agatechange.Changes {
	m.eraSince = now
	if m.catalog.Revision() == 0 {
		return c
	}
	m.RecordFailure(now)
	clear(m.pending)
	records := make([]agateinstance.Instance, len(c.Instances))
	for i, record := range c.Instances {
		if known, held := m.catalog.Instance(record.Key); held && !m.claimed(known) {
			record = record.Carry(known)
		}
		records[i] = record
	}
	c.Instances = records
	return c
}

// claimed reports whether an incarnation is gone only because its server is registered
// with the same start time at another address.
func (m *Merger) claimed(instance agateinstance.Instance) bool {
	newest, held := m.catalog.Newest(instance.ID)
	return held && newest.Key != instance.Key && newest.StartTime == instance.StartTime && newest.State != agateinstance.Gone
}

// withConfirmedStates returns a listing in which the states of those records are
// confirmed that the catalog holds with a state from an earlier era.
func (m *Merger) withConfirmedStates(c agatechange.Changes) agatechange.Changes {
	// A listing with a carried state is another entry's, not the source's.
	if len(m.carried) == 0 || slices.ContainsFunc(c.Instances, agateinstance.Instance.Carried) {
		return c
	}
	records := make([]agateinstance.Instance, len(c.Instances))
	for i, record := range c.Instances {
		if m.carried[record.Key] {
			record = record.WithConfirmedState()
		}
		records[i] = record
	}
	clear(m.carried)
	c.Instances = records
	return c
}

// ListingDue reports whether a listing would confirm states that are known from an earlier
// era only: the leases of servers that had ended when the source was restored have run out.
func (m *Merger) ListingDue(now time.Duration) bool {
	return len(m.carried) > 0 && now-m.eraSince >= m.policy.LeaseTime
}

// withoutRemoved returns the records without those that have already been
// removed: a record that is no newer than the catalog and yet not in it.
func (m *Merger) withoutRemoved(records []agateinstance.Instance) []agateinstance.Instance {
	kept := make([]agateinstance.Instance, 0, len(records))
	for _, record := range records {
		_, held := m.catalog.Instance(record.Key)
		if held || record.Position().After(m.catalog.Position()) {
			kept = append(kept, record)
		}
	}
	return kept
}

// cancelRemovals drops the pending removals of servers that have registered
// again, and of those that a record already marks as gone. It also clears goneSince
// of incarnations that are not gone with the records applied.
func (m *Merger) cancelRemovals(records []agateinstance.Instance) {
	for _, record := range records {
		newest, _ := m.catalog.Newest(record.ID)
		pending, ok := m.pending[record.ID]
		if ok && (newest.Position().After(pending.position) || newest.State == agateinstance.Gone) {
			delete(m.pending, record.ID)
		}
		if held, _ := m.catalog.Instance(record.Key); held.State != agateinstance.Gone {
			delete(m.goneSince, record.Key)
		}
	}
}

// impliedRemovals returns a removal for each server that a complete listing lacks.
func (m *Merger) impliedRemovals(c agatechange.Changes) []agatechange.Removal {
	listed := make(map[uint64]bool, len(c.Instances))
	for _, record := range c.Instances {
		listed[record.ID] = true
	}
	var removed []agatechange.Removal
	for instance := range m.catalog.All() {
		if listed[instance.ID] || instance.Position().After(c.Position()) {
			continue
		}
		if instance.State != agateinstance.Gone || instance.Carried() {
			removed = append(removed, agatechange.Removal{ID: instance.ID, Revision: c.Revision})
		}
	}
	return removed
}

// scheduleRemovals starts the grace period of each removed registration. Of two
// removals the later one counts, so that a late record from between them
// does not bring the server back.
func (m *Merger) scheduleRemovals(removed []agatechange.Removal, era uint32, now time.Duration) {
	for _, removal := range removed {
		position := agateposition.Position{Era: era, Revision: removal.Revision}
		instance, held := m.catalog.Newest(removal.ID)
		if !held || instance.Position().After(position) {
			continue
		}
		if instance.State == agateinstance.Gone {
			updated := instance.WithState(agateinstance.Gone, position)
			m.catalog, _ = m.catalog.WithInstances([]agateinstance.Instance{updated})
			continue
		}
		scheduled, known := m.pending[instance.ID]
		if !known {
			scheduled.deadline = m.removalDeadline(instance, now)
		}
		scheduled.position = scheduled.position.Max(position)
		m.pending[instance.ID] = scheduled
	}
	m.Tick(now)
}

// removalDeadline returns when a server whose registration is removed now is
// marked as gone. One that is draining gets no grace period except soon after a failed
// read: its registration may have lapsed in the outage.
func (m *Merger) removalDeadline(instance agateinstance.Instance, now time.Duration) time.Duration {
	outage := m.lastFailure + m.policy.OutageGrace
	if instance.State == agateinstance.Draining {
		return max(now, outage)
	}
	return max(now+m.policy.RemovalGrace, outage)
}

// Tick marks servers as gone whose grace period has ended and drops the records
// of those whose retention time is over. It reports whether the catalog has
// changed.
func (m *Merger) Tick(now time.Duration) bool {
	before := m.catalog
	m.expire(now)
	m.recordChanges(now)
	m.forget(now)
	m.forgetEvacuations(now)
	return m.catalog != before
}

// expire marks the servers as gone whose grace period has ended.
func (m *Merger) expire(now time.Duration) {
	var expired []agateinstance.Instance
	for id, pending := range m.pending {
		if now < pending.deadline {
			continue
		}
		delete(m.pending, id)
		instance, ok := m.catalog.Newest(id)
		if ok && instance.State != agateinstance.Gone && !instance.Position().After(pending.position) {
			// A record replaces another only with a later position.
			expired = append(expired, instance.WithState(agateinstance.Gone, pending.position.Max(instance.Position().Next())))
		}
	}
	m.catalog, _ = m.catalog.WithInstances(expired)
}

// recordChanges records the time for incarnations that are newly gone, and which ones
// have a state from an earlier era.
func (m *Merger) recordChanges(now time.Duration) {
	if m.catalog == m.lastCatalog {
		return
	}
	changed := m.catalog.Changed(m.lastCatalog)
	m.lastCatalog = m.catalog
	for _, key := range changed {
		instance, held := m.catalog.Instance(key)
		if held && instance.Carried() {
			m.carried[key] = true
		} else {
			delete(m.carried, key)
		}
		if !held || instance.State != agateinstance.Gone {
			continue
		}
		if _, recorded := m.goneSince[key]; !recorded {
			m.goneSince[key] = now
		}
	}
}

// forget drops the incarnations whose retention time is over.
func (m *Merger) forget(now time.Duration) {
	expired := func(at time.Duration) bool { return now-at > m.policy.GoneRetention }
	due := false
	for key, since := range m.goneSince {
		if expired(since) {
			due = true
			defer delete(m.goneSince, key)
		}
	}
	if due {
		m.catalog = m.catalog.WithoutGone(func(i agateinstance.Instance) bool { return expired(m.goneSince[i.Key]) })
	}
}
