// Package agatepick chooses the backend server of a new flow by the load that
// an entry knows of. It handles uneven load: servers that have just started,
// that are busy with long requests, or that are too few in one data centre
// while others are idle.
package agatepick

// Candidate is a server that may get the flow.
type Candidate struct {
	// Load is the expected number of requests in progress; not negative.
	Load float64
	// Capacity is the number of requests that the server can process at once at
	// full speed, less than its slots while it is cold; positive.
	Capacity float64
	// Remote is whether the server is in another data centre.
	Remote bool
	// Silent is whether the server is assumed not to answer.
	Silent bool
	// Full is whether the server holds as many flows as it may.
	Full bool
	// PreviousAttempt is whether the flow was sent to this server before and
	// got no answer.
	PreviousAttempt bool
	// FailureProbability is the estimated probability, from 0 to 1, that the
	// server fails a request.
	FailureProbability float64
	// Barred is whether PickSecond leaves the server out.
	Barred bool
}

// Policy holds the weights of a choice.
type Policy struct {
	// RemotePenalty is the load per unit of capacity that is added for servers
	// of other data centres.
	RemotePenalty float64
	// FailurePenalty is the load per unit of capacity that is added for a
	// server that fails all of its requests.
	FailurePenalty float64
	// MaxSilentShare is the maximum share of the own data centre's servers,
	// from 0 to 1, that may be excluded as silent. If more seem silent, the
	// fault is probably in the entry itself.
	MaxSilentShare float64
}

// Pick returns the index of the chosen candidate, or -1 if there are none.
// random must return numbers in [0, 1); it resolves ties.
func (p Policy) Pick(candidates []Candidate, random func() float64) int {
	useSilent := p.tooManySilent(candidates)
	for _, allowed := range []func(*Candidate) bool{
		func(c *Candidate) bool { return !c.Full && !c.PreviousAttempt && (!c.Silent || useSilent && !c.Remote) },
		func(c *Candidate) bool { return !c.PreviousAttempt && (!c.Silent || useSilent && !c.Remote) },
		func(c *Candidate) bool { return !c.Silent },
		func(*Candidate) bool { return true },
	} {
		if best := p.cheapest(candidates, allowed, random); best >= 0 {
			return best
		}
	}
	return -1
}

// PickSecond returns the index of the candidate of the lowest cost besides the first one that
// could take the same flow, or -1 if there is none. It leaves out those that are barred, full,
// silent or tried before, and remote ones if the first is local and a local one is left.
func (p Policy) PickSecond(candidates []Candidate, first int, random func() float64) int {
	useRemote := candidates[first].Remote
	for {
		best := p.cheapest(candidates, func(c *Candidate) bool {
			return c != &candidates[first] && !c.Barred && !c.Full && !c.Silent && !c.PreviousAttempt && (useRemote || !c.Remote)
		}, random)
		if best >= 0 || useRemote {
			return best
		}
		useRemote = true
	}
}

// tooManySilent reports whether so many servers of the own data centre seem
// silent that none of them is excluded.
func (p Policy) tooManySilent(candidates []Candidate) bool {
	local, silent := 0, 0
	for i := range candidates {
		if candidates[i].Remote {
			continue
		}
		local++
		if candidates[i].Silent {
			silent++
		}
	}
	return float64(silent) > p.MaxSilentShare*float64(local)
}

// cheapest returns the index of the allowed candidate with the lowest cost, or
// -1 if there is none.
func (p Policy) cheapest(candidates []Candidate, allowed func(*Candidate) bool, random func() float64) int {
	best, lowest, ties := -1, 0.0, 0
	for i := range candidates {
		c := &candidates[i]
		if !allowed(c) {
			continue
		}
		cost := p.cost(c)
		switch {
		case best < 0 || cost < lowest:
			best, lowest, ties = i, cost, 1
		case cost == lowest:
			ties++
			if random()*float64(ties) < 1 {
				best = i
			}
		}
	}
	return best
}

// cost returns the load per unit of capacity with the new flow, plus the
// penalties.
func (p Policy) cost(c *Candidate) float64 {
	cost := (c.Load+1)/c.Capacity + p.FailurePenalty*c.FailureProbability
	if c.Remote {
		cost += p.RemotePenalty
	}
	return cost
}
