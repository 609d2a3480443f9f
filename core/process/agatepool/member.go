package agatepool

import (
	"time"

	"agatereach/core/process/agatelimit"
	"agatereach/core/version/agateserver"
)

// Server is a backend server as tickets and health probes describe it.
type Server struct {
	// ID is the server's number.
	ID uint32
	// Incarnation changes whenever the server restarts.
	Incarnation uint64
	// Slots is the number of requests that run at a time, at least 1.
	Slots int
	// Connections is the largest number of feeds that the server accepts.
	Connections int
	// State determines whether the server may be given new work.
	State agateserver.State
	// Ejected is whether the health checks have ejected the server.
	Ejected bool
}

// Report is the load that a server reports with its answers.
type Report struct {
	// Busy is the number of slots in use.
	Busy int
	// Queued is the number of requests that wait for a slot.
	Queued int
	// Draining is whether the server asks for no new work.
	Draining bool
}

// loadState is what the pool knows about the load of a server, other than from this
// entry's own requests.
type loadState string

const (
	// loadUnknown means that there is no report or the last one has expired.
	loadUnknown loadState = "unknown"
	// loadReported means that the last report is recent.
	loadReported loadState = "reported"
	// loadFull means that the server has no free slot: it has just shed a
	// request.
	loadFull loadState = "full"
)

// indexCount is the number of indexes that contain a member.
const indexCount = 2

// Member is a server of a pool and its state.
type Member struct {
	server Server
	// positions holds the member's position in each memberIndex.
	positions [indexCount]position
	// usableIndex is the member's index in Pool.usable, -1 if it is not usable.
	usableIndex int
	// removed is whether the server has left the pool.
	removed bool

	// own counts the requests of this entry at the server, and long those of
	// them that are long.
	own, long int
	// feeds counts the feeds that this entry has opened at the server and
	// that are not known to have ended; it decays with time.
	feeds float64
	// limit is the adaptive limit of own.
	limit agatelimit.Concurrency

	loadState loadState
	// load is the number of requests at the server by its last report, or the
	// estimate made at a later shed; ownAtReport is the value of own then.
	load, ownAtReport int
	// loadTime is when loadState was last set by a report or a shed.
	loadTime time.Time
	// draining is whether the server asks for no new work.
	draining bool

	// latency is the smoothed response time, 0 before the first answer.
	latency time.Duration

	// failures counts consecutive failed attempts.
	failures int
	// ejections counts the ejections since the last answer.
	ejections int
	// ejectedUntil is when the ejection for failures ends, zero for none.
	ejectedUntil time.Time
	// rampStart is when the slow start began, zero if there is none.
	rampStart time.Time
	// weight is the usable part of the server's slots, 0 < weight <= 1.
	weight float64
}

// Server returns the server as tickets describe it.
func (m *Member) Server() Server { return m.server }

// Removed reports whether the server has left the pool.
func (m *Member) Removed() bool { return m.removed }

// Own returns the number of requests that this entry has at the server.
func (m *Member) Own() int { return m.own }

// Long returns the number of long requests that this entry has at the server.
func (m *Member) Long() int { return m.long }

// Latency returns the smoothed response time, 0 before the first answer.
func (m *Member) Latency() time.Duration { return m.latency }

// Limit returns the number of requests that this entry may have at the server.
func (m *Member) Limit() int { return m.limit.Limit() }

// Slots returns the number of the server's slots that may be used now, at least 1.
// It grows during slow start.
func (m *Member) Slots() int {
	return max(int(m.weight*float64(m.server.Slots)+almostOne), 1)
}

// almostOne makes the conversion to int round up.
const almostOne = 0.999

// LongCap returns the number of slots that long requests may take: all but one, so
// that they never block short requests, but at least one.
func (m *Member) LongCap() int { return max(m.server.Slots-1, 1) }

// Load returns the estimated number of requests at the server: its last known load,
// whatever its age, adjusted by the change in this entry's requests.
func (m *Member) Load() int {
	return max(m.load+m.own-m.ownAtReport, m.own)
}

// LoadKnown reports whether Load is based on a recent report or refusal.
func (m *Member) LoadKnown() bool { return m.loadState != loadUnknown }

// acceptsWork reports whether the server is in the pool and its state allows new
// work.
func (m *Member) acceptsWork() bool {
	return !m.removed && !m.draining && (m.server.State == agateserver.Up || m.server.State == agateserver.Cold)
}

// ejected reports whether health checks or failures have ejected the server.
func (m *Member) ejected(now time.Time) bool {
	return m.server.Ejected || now.Before(m.ejectedUntil)
}

// loadKey returns the load per usable slot as an index key below limit.
func loadKey(load, slots, limit int) int {
	return min(load*loadKeyScale/slots, limit-1)
}

// loadKeyScale is the number of keys for each request per slot.
const loadKeyScale = 8
