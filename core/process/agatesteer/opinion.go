package agatesteer

import "time"

// Belief is the state that an entry infers for a backend server.
type Belief string

// The beliefs that are reported.
const (
	// HeldSilent means that the server doesn't answer, and TakenBack that it
	// does so again.
	HeldSilent Belief = "held silent"
	TakenBack  Belief = "taken back"
	// HeldFailing means that the server's answers are probably failures, and
	// Recovered that they are normal again.
	HeldFailing Belief = "held failing"
	Recovered   Belief = "recovered"
)

// Opinion is a change of the state that an entry infers for a backend server.
type Opinion struct {
	// Server is the server's id, and Centre is its data centre.
	Server uint64
	Centre string
	// Belief is the new state.
	Belief Belief
	// Missed is the number of unanswered flows, and Heard is the time since the
	// server last answered; 0 if it never did.
	Missed int
	Heard  time.Duration
	// Failing is the estimated probability, from 0 to 1, that the server fails
	// a request.
	Failing float64
}

// Opinions returns the changes since the last call: servers that became or
// stopped being silent or failing.
func (s *Steerer) Opinions(now time.Duration) []Opinion {
	var changed []Opinion
	for each := range s.activeServers {
		silent := each.silence.Suspected(s.policy.Silence) || s.centreUnreachable(each)
		if silent != each.reportedSilent {
			each.reportedSilent = silent
			changed = append(changed, s.opinion(each, selectBelief(silent, HeldSilent, TakenBack), now))
		}
		failing := each.totalFailureEvidence().Held(s.policy.Answers)
		if failing != each.reportedFailing {
			each.reportedFailing = failing
			changed = append(changed, s.opinion(each, selectBelief(failing, HeldFailing, Recovered), now))
		}
	}
	return changed
}

// selectBelief returns worse if bad is set, and better otherwise.
func selectBelief(bad bool, worse, better Belief) Belief {
	if bad {
		return worse
	}
	return better
}

// opinion returns the state of a server with the evidence for it.
func (s *Steerer) opinion(each *server, b Belief, now time.Duration) Opinion {
	o := Opinion{
		Server: each.instance.ID, Centre: each.instance.Centre, Belief: b,
		Missed: each.silence.TotalEvidence().Flows, Failing: each.totalFailureEvidence().Failing(s.policy.Answers),
	}
	if last := each.silence.LastAnswer(); last > 0 {
		o.Heard = now - last
	}
	return o
}
