package agatesteer

import "time"

// Health is the state that an entry infers for a backend server.
type Health string

// The states that are reported.
const (
	// HealthSilent means that the server doesn't answer, and HealthAnswering that
	// it does so again.
	HealthSilent    Health = "held silent"
	HealthAnswering Health = "taken back"
	// HealthFailing means that the server's answers are probably failures, and
	// HealthRecovered that they are normal again.
	HealthFailing   Health = "held failing"
	HealthRecovered Health = "recovered"
	// HealthCold means that the server has just started, or may have, and that its
	// service limits the flows of such a server.
	HealthCold Health = "cold"
	// HealthSlower and HealthFaster mean that the server takes more, or less, time for
	// requests than is usual at their virtual addresses, and HealthEven that it no
	// longer does.
	HealthSlower Health = "slower than usual"
	HealthFaster Health = "faster than usual"
	HealthEven   Health = "as fast as usual"
)

// HealthChange is a change of the state that an entry infers for a backend server.
type HealthChange struct {
	// Server is the server's id, and Centre is its data centre.
	Server uint64
	Centre string
	// Health is the new state.
	Health Health
	// UnansweredFlows is the number of unanswered flows, and SinceAnswer is the
	// time since the server last answered; 0 if it never did.
	UnansweredFlows int
	SinceAnswer     time.Duration
	// FailureProbability is the estimated probability, from 0 to 1, that the
	// server fails a request.
	FailureProbability float64
	// ColdFor is how long the server counts as cold; 0 unless Health is HealthCold.
	ColdFor time.Duration
	// Speed is the speed as a ratio to the usual one, SpeedWeight is the number of
	// samples that it rests on, and SpeedReporters the number of other entries that have
	// reported some of them.
	Speed, SpeedWeight float64
	SpeedReporters     int
	// ReportAge is the time since the oldest report of another entry; 0 without any.
	ReportAge time.Duration
}

// HealthChanges returns the changes since the last call: servers that became or
// stopped being silent, failing, or slower or faster than usual, or began to count as cold.
func (s *Steerer) HealthChanges(now time.Duration) []HealthChange {
	changed := s.coldChanges(now)
	for each := range s.activeServers {
		silent := each.silence.Suspected(s.policy.Silence) || s.centreUnreachable(each)
		if silent != each.reportedSilent {
			each.reportedSilent = silent
			changed = append(changed, s.healthChange(each, selectHealth(silent, HealthSilent, HealthAnswering), now))
		}
		failing := each.totalFailureEvidence().IsFailing(s.policy.Answers)
		if failing != each.reportedFailing {
			each.reportedFailing = failing
			changed = append(changed, s.healthChange(each, selectHealth(failing, HealthFailing, HealthRecovered), now))
		}
		if speed := each.speed.health(); each.speed != nil && speed != each.speed.reported {
			each.speed.reported = speed
			if speed == "" {
				speed = HealthEven
			}
			changed = append(changed, s.healthChange(each, speed, now))
		}
	}
	return changed
}

// selectHealth returns worse if bad is set, and better otherwise.
func selectHealth(bad bool, worse, better Health) Health {
	if bad {
		return worse
	}
	return better
}

// healthChange returns the state of a server with the evidence for it.
func (s *Steerer) healthChange(each *server, health Health, now time.Duration) HealthChange {
	c := HealthChange{
		Server: each.instance.ID, Centre: each.instance.Centre, Health: health,
		UnansweredFlows: each.silence.TotalEvidence().Flows, FailureProbability: each.totalFailureEvidence().FailureProbability(s.policy.Answers),
		Speed: each.speed.factor(), SpeedWeight: each.speed.mergedWeight(), SpeedReporters: each.speed.reporters(), ReportAge: s.oldestReport(now),
	}
	if last := each.silence.LastAnswer(); last > 0 {
		c.SinceAnswer = now - last
	}
	return c
}

// oldestReport returns the age of the oldest report of another entry; 0 without any.
func (s *Steerer) oldestReport(now time.Duration) time.Duration {
	oldest := now
	for _, report := range s.peerReports {
		oldest = min(oldest, report.receivedAt)
	}
	return now - oldest
}
