package agatesteer

import "time"

// Belief is what an entry holds of a backend server.
type Belief string

// The beliefs that are told.
const (
	// HeldSilent is a server that answers nothing, and TakenBack one that does again.
	HeldSilent Belief = "held silent"
	TakenBack  Belief = "taken back"
	// HeldFailing is a server whose answers are failures, and Recovered one whose
	// answers are as usual again.
	HeldFailing Belief = "held failing"
	Recovered   Belief = "recovered"
)

// Opinion is a change of what an entry holds of a backend server.
type Opinion struct {
	// Server is the server's id, and Centre its data centre.
	Server uint64
	Centre string
	// Belief is what is held now.
	Belief Belief
	// Missed is the number of flows without an answer, and Heard the time since
	// its last sign of life; 0 if it never gave one.
	Missed int
	Heard  time.Duration
	// Failing is the share of its answers that are taken for failures.
	Failing float64
}

// Opinions returns the servers that are held silent or failing, or no longer,
// since the last call.
func (s *Steerer) Opinions(now time.Duration) []Opinion {
	var changed []Opinion
	for each := range s.active {
		silent := each.silence.Suspected(s.policy.Silence) || s.unreachable(each)
		if silent != each.heldSilent {
			each.heldSilent = silent
			changed = append(changed, s.opinion(each, belief(silent, HeldSilent, TakenBack), now))
		}
		failing := each.evidence().Held(s.policy.Answers)
		if failing != each.heldFailing {
			each.heldFailing = failing
			changed = append(changed, s.opinion(each, belief(failing, HeldFailing, Recovered), now))
		}
	}
	return changed
}

// belief returns one of two.
func belief(bad bool, worse, better Belief) Belief {
	if bad {
		return worse
	}
	return better
}

// opinion returns what is held of a server with the evidence.
func (s *Steerer) opinion(each *server, b Belief, now time.Duration) Opinion {
	o := Opinion{
		Server: each.instance.ID, Centre: each.instance.Centre, Belief: b,
		Missed: each.silence.Missing().Flows, Failing: each.evidence().Failing(s.policy.Answers),
	}
	if heard := each.silence.LastHeard(); heard > 0 {
		o.Heard = now - heard
	}
	return o
}
