package agatesteer

import (
	"time"

	"agatereach/core/process/agateadmission"
	"agatereach/core/process/agateanswer"
	"agatereach/core/process/agatecheck"
	"agatereach/core/process/agatehedge"
	"agatereach/core/process/agatepick"
	"agatereach/core/process/agatesilence"
	"agatereach/core/process/agatewarmup"
)

// Policy holds the limits and weights of a Steerer.
type Policy struct {
	// Flows is the maximum number of tracked flows.
	Flows int
	// Window is the maximum number of bytes that a caller sends beyond the
	// server's last acknowledgement.
	Window uint32
	// MinRetransmitDelay is the minimum time between a segment and its first copy for
	// the copy to count as evidence, which doubles with each further copy: slightly
	// less than the callers' first retransmission timeout.
	MinRetransmitDelay time.Duration
	// LagGrace is how long an entry that was behind with its packets ignores
	// retransmissions: longer than the callers' retransmission timeout.
	LagGrace time.Duration
	// LossGrace is how long at least no flow is reset because of silence after one has
	// been seen whose segments are lost on their way: as long as callers may send copies
	// of what was lost at the same time.
	LossGrace time.Duration
	// FlowIdle is how long a flow is tracked after its last segment, unless the
	// configuration sets another time.
	FlowIdle time.Duration
	// Handshake is how long a handshake may take before it counts as failed.
	Handshake time.Duration
	// Request is how long a request counts as in progress if its virtual
	// address has no timeout.
	Request time.Duration
	// ColdShare is the share of its slots, from 0 to 1, that a server which has
	// just started counts for.
	ColdShare float64
	// MaxCatalogAge is the maximum age of the catalog with which a flow without a
	// virtual address or server is reset. With an older catalog its SYN is
	// dropped.
	MaxCatalogAge time.Duration
	// MinReportAge is the minimum time for which the load report of another
	// entry counts.
	MinReportAge time.Duration
	// Transit is the assumed transit time of a report from another entry; the
	// ages in a report refer to the time when it was written.
	Transit time.Duration
	// MaxCandidates is the maximum number of servers in the own data centre,
	// and of servers in all others, that are compared for a new flow.
	MaxCandidates int
	// Pick holds the weights for the choice of a server.
	Pick agatepick.Policy
	// Checks holds the bounds of checks. ControlAge is how recent the last answer of a
	// server must be for a control connection to it to be preferred.
	Checks     agatecheck.Policy
	ControlAge time.Duration
	// QuietTime is how long before a check a server must not have answered callers, as far
	// as this entry knows, to be confirmed down by silence. FindingTime is how long a check
	// waits for the hints that it lacks, and ConfirmationTime how long a server stays
	// confirmed down.
	QuietTime, FindingTime, ConfirmationTime time.Duration
	// ClosedTime is the time from the first to the last of the refusals by which flows of a
	// closed server are reset: one that leaves may close its listener before its registration says so.
	ClosedTime time.Duration
	// ListeningTime is how long an accepted connection of one server shows that the others of
	// its service listen.
	ListeningTime time.Duration
	// MinUntestedDelay and MaxUntestedDelay bound the time, which doubles, until a server is
	// checked again that may take no connections at all.
	MinUntestedDelay, MaxUntestedDelay time.Duration
	// Silence holds the thresholds for servers that don't answer, and Answers
	// those for servers whose answers are failures.
	Silence agatesilence.Policy
	Answers agateanswer.Policy
	// WarmUp limits the flows of cold servers of a service whose profile has a rate.
	WarmUp agatewarmup.Policy
	// RestartTime is the shortest silence in which such a server may have restarted.
	// RegistrationLag is the longest time from the start of a server to the arrival of
	// its registration.
	RestartTime, RegistrationLag time.Duration
	// Admission holds the thresholds for services that are short of room, and
	// MaxFailingShare the share of servers, from 0 to 1, above which failing servers are
	// signs of that: a server that is full answers as one that fails does.
	Admission agateadmission.Policy
	// FullGrace is how long after a lack of room the evidence of failing servers that it
	// left still counts as that of full ones: until little of it is left.
	FullGrace time.Duration
	// MaxLoadedShare is the share of servers, from 0 to 1, up to which those with more
	// requests than slots are left out when a service's room is judged.
	MaxLoadedShare  float64
	MaxFailingShare float64
	// Hedge limits the flows that are offered to two servers.
	Hedge agatehedge.Policy
}

// DefaultPolicy returns the policy of deployments without settings of their
// own.
func DefaultPolicy() Policy {
	return Policy{
		Flows:              1 << 16,
		Window:             16 * 1200,
		MinRetransmitDelay: 170 * time.Millisecond,
		LagGrace:           500 * time.Millisecond,
		LossGrace:          2 * time.Second,
		FlowIdle:           15 * time.Second,
		Handshake:          1500 * time.Millisecond,
		Request:            10 * time.Second,
		ColdShare:          0.6,
		MaxCatalogAge:      2 * time.Second,
		MinReportAge:       5 * time.Second,
		Transit:            20 * time.Millisecond,
		// The least loaded of 64 servers has nearly the least load of all.
		MaxCandidates: 64,
		Pick:          agatepick.Policy{RemotePenalty: 0.7, FailurePenalty: 5, MaxSilentShare: 0.5},
		Checks:        agatecheck.DefaultPolicy(),
		ControlAge:    time.Second,
		QuietTime:     time.Second,
		// Callers send a request again 200 and 600 ms after it, and a check takes 300 ms
		// from the first copy on.
		FindingTime:      500 * time.Millisecond,
		ConfirmationTime: 5 * time.Second,
		// Callers send a request again after 200 ms, and flows of a server that has ended are
		// to be given up within 500 ms of it.
		ClosedTime:    150 * time.Millisecond,
		ListeningTime: time.Minute,
		// 20 such servers would use up all checks of a second without a wait.
		MinUntestedDelay: time.Second,
		MaxUntestedDelay: 30 * time.Second,
		Silence: agatesilence.Policy{
			SuspectFlows:      2,
			CentreFlows:       3,
			FirmFlows:         2,
			Witnesses:         3,
			ReliableWitnesses: 2,
			CentreWitnesses:   2,
			ReportLifetime:    time.Second,
			ConfirmationTime:  2 * time.Second,
			MinSilence:        350 * time.Millisecond,
			ContradictionTime: 200 * time.Millisecond,
			TrialInterval:     time.Second,
			MaxTrialInterval:  4 * time.Second,
		},
		Answers: agateanswer.Policy{
			// Successful answers vary by less than this; refusals and errors
			// carry a header only.
			ShortRatio:        0.45,
			FailingShortShare: 0.5,
			HealthyShortShare: 0.02,
			MaxEvidence:       6,
			// One short answer, at an address where none was short before, adds
			// 3.1.
			FailingThreshold: 3,
			// With a Decay each 100 ms, half of the evidence is gone after 3.4
			// s; then the server is tried again.
			DecayFactor:     0.98,
			ReportThreshold: 2,
		},
		WarmUp:      agatewarmup.DefaultPolicy(),
		RestartTime: time.Second,
		// Registrations lag by up to several seconds.
		RegistrationLag: 10 * time.Second,
		Admission:       agateadmission.DefaultPolicy(),
		MaxFailingShare: 0.5,
		FullGrace:       5 * time.Second,
		MaxLoadedShare:  0.5,
		Hedge:           agatehedge.DefaultPolicy(),
	}
}
