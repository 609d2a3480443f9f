package agatesteer

import "time"

// Opinion is a change of what an entry holds of a backend server.
type Opinion struct {
	// Server is the server's id, and Centre its data centre.
	Server uint64
	Centre string
	// Silent says that it is now left out as silent, or taken back.
	Silent bool
	// Missed is the number of flows without an answer, and Heard the time since
	// its last sign of life; 0 if it never gave one.
	Missed int
	Heard  time.Duration
}

// Opinions returns the servers that are held silent, or no longer, since the
// last call.
func (s *Steerer) Opinions(now time.Duration) []Opinion {
	var changed []Opinion
	for _, each := range s.servers {
		silent := each.silence.Suspected(s.policy.Silence) || s.unreachable(each)
		if silent == each.heldSilent {
			continue
		}
		each.heldSilent = silent
		o := Opinion{
			Server: each.instance.ID, Centre: each.instance.Centre, Silent: silent,
			Missed: each.silence.Missing().Flows,
		}
		if heard := each.silence.LastHeard(); heard > 0 {
			o.Heard = now - heard
		}
		changed = append(changed, o)
	}
	return changed
}
