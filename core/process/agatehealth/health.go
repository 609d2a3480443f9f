// Package agatehealth ejects failing backend servers (outlier detection). It
// combines the outcomes of requests with the answers of health endpoints, which may
// lag. The state that an endpoint reports never ejects a server by itself, and at
// most a configured share of a service's servers is ejected at a time.
package agatehealth

import (
	"time"

	"agatereach/core/version/agateserver"
)

const (
	// defaultFailures is the number of consecutive failures that ejects a
	// server unless its endpoint reports that it is up.
	defaultFailures = 5
	// upFactor multiplies the number of failures that ejects a server while
	// its endpoint reports that it is up.
	upFactor = 3
	// defaultMaxEjected is the largest share of a service's servers that may
	// be ejected.
	defaultMaxEjected = 0.34
	// defaultProbeLifetime is how long an endpoint's answer is used.
	defaultProbeLifetime = 15 * time.Second
	// minEjection is the length of the first ejection, maxEjection that of the
	// longest.
	minEjection = 5 * time.Second
	maxEjection = time.Minute
	// slowStart is how long a server stays in standing Slow after an ejection.
	slowStart = 10 * time.Second
	// ejectionMemory is the time since the end of the last ejection after
	// which former ejections no longer lengthen a new one.
	ejectionMemory = 2 * time.Minute
)

// Standing determines how a server may be used.
type Standing string

// The standings of a server.
const (
	// In is a server in full use.
	In Standing = "in"
	// Slow is a server in slow start after an ejection.
	Slow Standing = "slow"
	// Out is an ejected server. It gets new work only if too few others can
	// take it.
	Out Standing = "out"
	// Barred is a server that gets no new work in any case: another server
	// answers at its address, or its identity has not been confirmed yet.
	Barred Standing = "barred"
)

// Option configures a Health.
type Option func(*Health)

// WithFailures sets the number of consecutive failures that ejects a server, at
// least 1.
func WithFailures(count int) Option { return func(h *Health) { h.failureLimit = max(count, 1) } }

// WithShare sets the largest share of a service's servers that may be ejected, 0 to
// 1.
func WithShare(share float64) Option { return func(h *Health) { h.maxEjected = min(max(share, 0), 1) } }

// WithLease sets how long an endpoint's answer is used.
func WithLease(lease time.Duration) Option { return func(h *Health) { h.probeLifetime = lease } }

// WithConfirmation bars a server that this process probes until its endpoint or an
// answer of its own has confirmed its identity, as long as at least half of its
// service's servers are usable without unconfirmed ones.
func WithConfirmation() Option { return func(h *Health) { h.requireConfirmation = true } }

// Health tracks the health of one data centre's backend servers. It is not safe for
// concurrent use.
type Health struct {
	// The options; see WithFailures, WithShare, WithLease and WithConfirmation.
	failureLimit        int
	maxEjected          float64
	probeLifetime       time.Duration
	requireConfirmation bool

	// servers holds the state of the servers.
	servers map[key]*member
	// changed is whether a standing may have changed since the last Tick.
	changed bool
	// nextChange is when a standing may change because of time, zero for never.
	nextChange time.Time
}

// key names one incarnation of a server. Late evidence about a former one must not touch
// what is known of the present one.
type key struct {
	server      uint32
	incarnation uint64
}

// member is the state of one incarnation of a server.
type member struct {
	// failures counts the failures since the last answer. When an ejection
	// ends, it is set to one below the number that ejects the server.
	failures int
	// lastAnswer is when the server last answered or refused a request.
	lastAnswer time.Time
	// lastProbe is when the endpoint last answered. identityMatches is whether
	// it then named this server, true before the first answer, and reportsUp
	// whether it reported StateUp.
	lastProbe                  time.Time
	identityMatches, reportsUp bool
	// confirmed is whether the endpoint or the server itself has ever confirmed
	// the identity.
	confirmed bool
	// ejectedAt is when the current ejection began, zero for none, and
	// ejections the number of ejections so far.
	ejectedAt time.Time
	ejections int
	// readmittedAt is when the last ejection ended, zero for never.
	readmittedAt time.Time
}

// New returns a Health without any servers.
func New(options ...Option) *Health {
	h := &Health{
		failureLimit:  defaultFailures,
		maxEjected:    defaultMaxEjected,
		probeLifetime: defaultProbeLifetime,
		servers:       make(map[key]*member),
	}
	for _, option := range options {
		option(h)
	}
	return h
}

// Answered records that the server answered or refused a request itself.
func (h *Health) Answered(now time.Time, server uint32, incarnation uint64) {
	m := h.member(server, incarnation)
	h.changed = h.changed || !m.confirmed || !m.identityMatches
	m.failures = 0
	m.lastAnswer = now
	m.confirmed = true
}

// Failed records a failure of the server: a request that failed or was not answered
// in time.
func (h *Health) Failed(now time.Time, server uint32, incarnation uint64) {
	m := h.member(server, incarnation)
	m.failures++
	if m.ejectedAt.IsZero() && m.failures >= h.threshold(now, m) {
		h.changed = true
	}
}

// Probed records the results of health probes. A probe without an answer changes
// nothing.
func (h *Health) Probed(now time.Time, reports []Report) {
	for i := range reports {
		h.recordProbe(now, &reports[i])
	}
}

func (h *Health) recordProbe(now time.Time, r *Report) {
	if r.Result != Answered {
		return
	}
	m := h.member(r.Server, r.Expected)
	m.lastProbe = now
	m.identityMatches = r.Fits()
	m.reportsUp = r.State == StateUp
	m.confirmed = m.confirmed || m.identityMatches
	h.changed = true
}

// member returns the state of the server, which starts anew with each incarnation.
func (h *Health) member(server uint32, incarnation uint64) *member {
	k := key{server: server, incarnation: incarnation}
	m := h.servers[k]
	if m == nil {
		m = &member{identityMatches: true}
		h.servers[k] = m
	}
	return m
}

// Retain removes the state of the incarnations for which keep returns false.
func (h *Health) Retain(keep func(server uint32, incarnation uint64) bool) {
	for k := range h.servers {
		if !keep(k.server, k.incarnation) {
			delete(h.servers, k)
		}
	}
}

// Tick reports whether standings may have changed since the last call.
func (h *Health) Tick(now time.Time) bool {
	due := !h.nextChange.IsZero() && !now.Before(h.nextChange)
	changed := h.changed || due
	if due {
		h.nextChange = time.Time{}
	}
	h.changed = false
	return changed
}

// threshold returns the number of consecutive failures that ejects m.
func (h *Health) threshold(now time.Time, m *member) int {
	if m.reportsUp && m.identityMatches && now.Sub(m.lastProbe) < h.probeLifetime {
		return h.failureLimit * upFactor
	}
	return h.failureLimit
}

// addressReused reports whether another server answers at the server's address:
// the last probe found another identity, and the server itself has answered neither
// since then nor within probeLifetime before.
func (h *Health) addressReused(now time.Time, m *member) bool {
	return !m.identityMatches && m.lastAnswer.Before(m.lastProbe.Add(-h.probeLifetime))
}

// acceptsWork reports whether the server may be given new work and so counts among
// its service's servers.
func acceptsWork(s *agateserver.Server) bool { return s.Takes() }
