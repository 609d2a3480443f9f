package agatesteer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"agatereach/core/process/agatemerge"
	"agatereach/core/process/agatesteer"
	"agatereach/core/request/agateaddress"
	"agatereach/core/request/agatetuple"
	"agatereach/core/version/agatecatalog"
	"agatereach/core/version/agatechange"
	"agatereach/core/version/agateinstance"
	"agatereach/core/version/agatevip"
)

const (
	// beatInterval is the time between two writes of a server to the store, and lapseTime
	// how long after the last one its entry is removed.
	beatInterval = 1200 * ms
	lapseTime    = 3 * beatInterval
	// longestRecordDelay is the longest time by which a late record is late.
	longestRecordDelay = 2000 * ms
	// spares is the number of addresses that no server has at first, and of ids that no
	// server has.
	spares = 2
	// firstStartTime is the start time of the first start of each server, in Unix
	// milliseconds, and longestClockStep the furthest that clocks are off.
	firstStartTime   = 1_000_000
	longestClockStep = 5000
	// ownAddress stands for the address that a server has already.
	ownAddress = -1
)

// replicaPolicy holds the grace periods of entries. No record is forgotten.
var replicaPolicy = agatemerge.Policy{RemovalGrace: 500 * ms, OutageGrace: 2000 * ms, LeaseTime: lapseTime, GoneRetention: time.Minute}

// restart is a further start of a server under its id.
type restart struct {
	// After is how long the start before lasts, Pause the time from its end to this one,
	// and Late the time from there to the first registration.
	After, Pause, Late time.Duration
	// Leaves is whether the server removes its entry before it restarts.
	Leaves bool
	// Address is the index of its address, or ownAddress.
	Address int
	// Clock is by how much its start time is later than the one before, in milliseconds.
	Clock int64
}

// oddEntry is an entry of another writer.
type oddEntry struct {
	At time.Duration
	// ID is the id that it is written under, and Address the index of the address in it,
	// or ownAddress for the address of the server with that id.
	ID      uint64
	Address int
	Service string
	State   agateinstance.State
	// Clock is by how much its start time is later than that of the server with its id,
	// in milliseconds.
	Clock int64
	// Unreadable is whether it can't be read.
	Unreadable bool
}

// entryStart is a start of an entry in the middle of a plan. It knows at first what a
// listing says that lacks the last Behind changes.
type entryStart struct {
	At            time.Duration
	Entry, Behind int
}

// recordsPlan is how the store and its other writers behave.
type recordsPlan struct {
	Odd    []oddEntry
	Starts []entryStart
	// Late, Repeated and Skipped are the shares of records that reach an entry late,
	// twice, and not at all if the store has a newer one under the same id.
	Late, Repeated, Skipped float64
}

// modelStore is the platform's store.
type modelStore struct {
	recordsPlan
	s *simulation
	// random is the store's own, so that the draws of others don't depend on it.
	random *rand.Rand
	config *agatecatalog.Config
	// history holds one record or removal for each revision from 1 on, writtenAt when they
	// were written, and newest the last revision under each id.
	history   []agatechange.Changes
	writtenAt []time.Duration
	newest    map[uint64]int64
}

// reduces is a virtual address like orders, of a service of its own.
var reduces = vip(orders.Name, orders.Address.Port(), orders.Kind, "reduce")

// newStore returns the empty store of a plan. What other writers and the entries of the
// plan do is due in it.
func newStore(s *simulation, p plan) *modelStore {
	m := &modelStore{
		recordsPlan: *p.Records, s: s, random: rand.New(rand.NewPCG(p.Seed, 2)), newest: make(map[uint64]int64),
		config: &agatecatalog.Config{Version: 1, VIPs: []agatevip.VIP{feeds, reduces}},
	}
	for _, each := range s.entries {
		each.replica = newReplica(m)
	}
	for _, each := range m.Odd {
		s.after(each.At-s.now, func() { m.writeOdd(each) })
	}
	for _, each := range m.Starts {
		s.after(each.At-s.now, func() { s.entries[each.Entry].restart(m, each.Behind) })
	}
	for i, each := range p.Servers {
		for _, gone := range each.Gone {
			s.after(gone.From-s.now, func() { m.remove(uint64(i + 1)) })
		}
	}
	return m
}

// idOf returns the id that a change of the history is under.
func idOf(c agatechange.Changes) uint64 {
	if len(c.Removals) > 0 {
		return c.Removals[0].ID
	}
	return c.Instances[0].ID
}

// write writes a record under its id.
func (m *modelStore) write(record agateinstance.Instance) {
	record.Revision = int64(len(m.history) + 1)
	m.append(agatechange.Changes{Revision: record.Revision, Instances: []agateinstance.Instance{record}})
}

// remove removes what is under an id, or makes it unreadable.
func (m *modelStore) remove(id uint64) {
	revision := int64(len(m.history) + 1)
	m.append(agatechange.Changes{Revision: revision, Removals: []agatechange.Removal{{ID: id, Revision: revision}}})
}

func (m *modelStore) append(c agatechange.Changes) {
	m.history, m.writtenAt = append(m.history, c), append(m.writtenAt, m.s.now)
	m.newest[idOf(c)] = c.Revision
	for _, each := range m.s.entries {
		m.deliver(c, each)
	}
}

// deliver brings a change to an entry, as the plan says: once or twice, late or not, or not
// at all.
func (m *modelStore) deliver(c agatechange.Changes, to *modelEntry) {
	times := 1
	if m.random.Float64() < m.Repeated {
		times++
	}
	for range times {
		d := to.catalogDelay
		if m.random.Float64() < m.Late {
			d += time.Duration(m.random.Float64() * float64(longestRecordDelay))
		}
		m.s.after(d, func() {
			if m.newest[idOf(c)] == c.Revision || m.random.Float64() >= m.Skipped {
				to.learn(m, c)
			}
		})
	}
}

// writeOdd writes an entry of another writer.
func (m *modelStore) writeOdd(o oddEntry) {
	if o.Unreadable {
		m.remove(o.ID)
		return
	}
	key := agateinstance.Key{ID: o.ID, StartTime: firstStartTime}
	for _, each := range m.s.servers {
		if each.key.ID == o.ID {
			key = each.key
		}
	}
	if o.Address != ownAddress {
		key.Address = addressOf(o.Address)
	}
	key.StartTime += o.Clock
	m.write(agateinstance.Instance{Key: key, Service: o.Service, Centre: "a", Slots: 8, State: o.State})
}

// replica is what an entry has learnt from the store.
type replica struct {
	merger *agatemerge.Merger
	// newest holds the last revision learnt under each id, and position the last revision
	// of which nothing is missing that is still in force.
	newest   map[uint64]int64
	position int64
}

func newReplica(m *modelStore) *replica {
	r := &replica{merger: agatemerge.New(replicaPolicy), newest: make(map[uint64]int64)}
	r.merger.ApplyConfig(m.config)
	return r
}

// list applies a listing that has all changes up to a revision.
func (r *replica) list(m *modelStore, revision int64, now time.Duration) {
	listed := make(map[uint64]agatechange.Changes)
	for _, c := range m.history[:revision] {
		listed[idOf(c)] = c
		r.newest[idOf(c)] = c.Revision
	}
	r.position = revision
	listing := agatechange.Changes{Revision: revision, Complete: true}
	for _, c := range m.history[:revision] {
		if listed[idOf(c)].Revision == c.Revision {
			listing.Instances = append(listing.Instances, c.Instances...)
		}
	}
	r.merger.Apply(listing, now)
}

// learn applies a change and advances the position.
func (r *replica) learn(m *modelStore, c agatechange.Changes, now time.Duration) {
	r.newest[idOf(c)] = max(r.newest[idOf(c)], c.Revision)
	for _, next := range m.history[r.position:] {
		if r.newest[idOf(next)] < next.Revision {
			break
		}
		r.position = next.Revision
	}
	c.Revision = r.position
	r.merger.Apply(c, now)
}

// learn applies a change that the entry has learnt.
func (e *modelEntry) learn(m *modelStore, c agatechange.Changes) {
	e.replica.learn(m, c, e.s.now)
	e.steerer.Update(e.replica.merger.Catalog(), e.s.now)
}

// refresh ends grace periods that are over, and returns when the entry's catalog was last
// the newest one.
func (e *modelEntry) refresh() time.Duration {
	e.replica.merger.Tick(e.s.now)
	e.steerer.Update(e.replica.merger.Catalog(), e.s.now)
	store := e.s.store
	if missing := e.replica.position; missing < int64(len(store.history)) {
		return store.writtenAt[missing] - 1
	}
	return e.s.now
}

// restart starts the entry anew with a listing that lacks the last changes, and brings it
// those.
func (e *modelEntry) restart(m *modelStore, behind int) {
	e.steerer = agatesteer.New(agatesteer.DefaultPolicy(), e.centre, e.s.random.Float64)
	e.waiting, e.queued = nil, 0
	e.replica = newReplica(m)
	listed := max(0, len(m.history)-behind)
	e.replica.list(m, int64(listed), e.s.now)
	e.steerer.Update(e.replica.merger.Catalog(), e.s.now)
	for _, c := range m.history[listed:] {
		m.deliver(c, e)
	}
}

// addressOf returns the address with an index: that of the server which has it first, or a
// spare one.
func addressOf(index int) agateaddress.Address { return keyOf(uint64(index + 1)).Address }

// begin makes the server write to the store, for the first time after a time, and start
// again as planned.
func (m *modelServer) begin(late time.Duration) {
	m.s.after(late, m.beat)
	if len(m.Restarts) == 0 {
		return
	}
	next := m.Restarts[0]
	m.CrashAt = m.s.now + next.After
	m.s.after(next.After, func() {
		if next.Leaves {
			m.s.store.remove(m.key.ID)
		}
	})
	m.s.after(next.After+next.Pause, func() { m.startAgain(next) })
}

// startAgain starts the server under its id, without its flows.
func (m *modelServer) startAgain(r restart) {
	again := &modelServer{serverPlan: m.serverPlan, s: m.s, key: m.key, flows: make(map[agatetuple.Tuple]*flowEnd)}
	again.Restarts, again.CrashAt = m.Restarts[1:], 0
	again.key.StartTime += r.Clock
	again.key.Address = m.s.freeAddress(m.key.Address, r.Address)
	m.s.servers = append(m.s.servers, again)
	again.begin(r.Late)
}

// freeAddress returns the wanted address if no server is at work there, else the former
// one, else a new one.
func (s *simulation) freeAddress(former agateaddress.Address, wanted int) agateaddress.Address {
	candidates := []agateaddress.Address{former, {IP: [4]byte{10, 0, 1, byte(len(s.servers))}, Port: former.Port}}
	if wanted != ownAddress {
		candidates = append([]agateaddress.Address{addressOf(wanted)}, candidates...)
	}
	taken := make(map[agateaddress.Address]bool)
	for _, each := range s.servers {
		if !each.crashed() {
			taken[each.key.Address] = true
		}
	}
	for taken[candidates[0]] {
		candidates = candidates[1:]
	}
	return candidates[0]
}

// beat writes the server's entry, unless it isn't registered at the time, and again later.
// Without another write under its id, the entry lapses.
func (m *modelServer) beat() {
	if m.crashed() {
		return
	}
	m.s.after(beatInterval, m.beat)
	if during(m.Gone, m.s.now) > 0 {
		return
	}
	m.register(agateinstance.Ready)
	store := m.s.store
	written := store.newest[m.key.ID]
	m.s.after(lapseTime, func() {
		if store.newest[m.key.ID] == written {
			store.remove(m.key.ID)
		}
	})
}

// serverAt returns the last server that began under the id and at the address of a verdict,
// or nil if there is none: a server takes no packet that is meant for another id.
func (s *simulation) serverAt(v agatesteer.Verdict) *modelServer {
	var found *modelServer
	for _, each := range s.servers {
		if each.serves(v) {
			found = each
		}
	}
	return found
}

// serves reports whether a verdict names the server.
func (m *modelServer) serves(v agatesteer.Verdict) bool {
	return m.key.ID == v.Server && m.key.Address.AddrPort() == v.Address
}

// checkServer records whether an entry sends a packet of an open flow elsewhere than to its
// server. A copy of a SYN may go elsewhere: no other server opens the flow.
func (e *modelEntry) checkServer(p packet, v agatesteer.Verdict) {
	if p.Opens() {
		return
	}
	for _, each := range e.s.servers {
		f := each.flows[p.Flow]
		if f == nil || !f.open || f.closed || each.crashed() || each.serves(v) {
			continue
		}
		e.s.moved = append(e.s.moved, fmt.Sprintf(
			"%v: entry %s forwards (%s) a segment of flow %v to server %d at %s, want server %d, started at %d, at %s",
			e.s.now, e.name, v.Reason, p.Flow.LogValue(), v.Server, v.Address, each.key.ID, each.key.StartTime, each.key.Address))
	}
}

// drawClock draws by how much a start time is later than another one, in milliseconds.
func drawClock(t *rapid.T, name string) int64 {
	return rapid.SampledFrom([]int64{1, 1000, longestClockStep, -1, -1000, -longestClockStep}).Draw(t, name)
}

// drawableTimes are the times that drawTime chooses from.
var drawableTimes = func() []time.Duration {
	var all []time.Duration
	for at := simulatedStart; at < simulatedStart+simulatedTime; at += 10 * ms {
		all = append(all, at)
	}
	return all
}()

// drawTime draws a time during the simulation. Unlike drawPeriod, it has no preference for
// early ones.
func drawTime(t *rapid.T, name string) time.Duration {
	return rapid.SampledFrom(drawableTimes).Draw(t, name)
}

func drawRestart(t *rapid.T, addresses int) restart {
	spans := func(name string, each ...time.Duration) time.Duration { return rapid.SampledFrom(each).Draw(t, name) }
	return restart{
		After: spans("lasts", 300*ms, 1000*ms, 2500*ms, 5000*ms), Pause: spans("down", 0, 50*ms, 500*ms, 1500*ms),
		Late:   spans("registers late", 0, 100*ms, 1000*ms, 2500*ms),
		Leaves: rapid.Bool().Draw(t, "leaves"), Address: drawAddress(t, addresses), Clock: drawClock(t, "clock"),
	}
}

func drawAddress(t *rapid.T, addresses int) int {
	if rapid.Bool().Draw(t, "own address") {
		return ownAddress
	}
	return rapid.IntRange(0, addresses-1).Draw(t, "address")
}

func drawOdd(t *rapid.T, servers int) oddEntry {
	o := oddEntry{
		At: drawTime(t, "odd at"), ID: uint64(rapid.IntRange(1, servers+spares).Draw(t, "odd id")),
		Unreadable: rapid.IntRange(0, 3).Draw(t, "unreadable") == 0,
	}
	if o.Unreadable {
		return o
	}
	o.Address = drawAddress(t, servers+spares)
	o.Service = rapid.SampledFrom([]string{"map", "reduce", "unnamed"}).Draw(t, "odd service")
	o.State = rapid.SampledFrom([]agateinstance.State{agateinstance.Ready, agateinstance.Draining}).Draw(t, "odd state")
	if rapid.Bool().Draw(t, "odd start") {
		o.Clock = drawClock(t, "odd clock")
	}
	return o
}

// drawRecords draws a plan in which servers restart, other writers write to the store, and
// entries begin in the middle and learn of records in any order.
func drawRecords(t *rapid.T) plan {
	p := drawFaults(t)
	servers := len(p.Servers)
	for i := range p.Servers {
		p.Servers[i].Service = rapid.SampledFrom([]string{"map", "reduce"}).Draw(t, "service")
		p.Servers[i].Restarts = drawTimes(t, 0, 2, "restarts", func() restart { return drawRestart(t, servers+spares) })
	}
	p.Records = &recordsPlan{
		Odd: drawTimes(t, 0, 20, "odd entries", func() oddEntry { return drawOdd(t, servers) }),
		Starts: drawTimes(t, 0, 3, "entry starts", func() entryStart {
			return entryStart{At: drawTime(t, "entry start"), Entry: rapid.IntRange(0, len(p.Entries)-1).Draw(t, "entry"), Behind: rapid.IntRange(0, 8).Draw(t, "behind")}
		}),
		Late: drawShare(t, 60, "late"), Repeated: drawShare(t, 50, "repeated"), Skipped: drawShare(t, 100, "skipped"),
	}
	return p
}

// TestRecordsMoveNoFlows guards against segments of open flows that go to another server
// than the flow's, and against resets of such flows, whatever records entries learn of, in
// whatever order.
func TestRecordsMoveNoFlows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := simulate(drawRecords(t))
		for _, each := range s.moved {
			t.Error(each)
		}
		for _, each := range s.wrong {
			t.Error(each)
		}
	})
}
