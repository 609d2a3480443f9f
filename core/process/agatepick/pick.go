// Package agatepick chooses the backend server of a new flow by the load that
// an entry knows of. It answers uneven load: servers that are cold, busy with
// long work, or few in one data centre while others are idle.
package agatepick

// Candidate is a server that may take the flow.
type Candidate struct {
	// Load is the expected number of requests under way; not negative.
	Load float64
	// Capacity is the number of requests that it serves at its full speed at a
	// time, less than its slots while it is cold; positive.
	Capacity float64
	// Remote says that it is in another data centre.
	Remote bool
	// Silent says that it is held to answer nothing.
	Silent bool
	// Tried says that the flow was given to it before, without an answer.
	Tried bool
	// Failing is the share of its answers that are failures, from 0 to 1.
	Failing float64
}

// Policy holds the weights.
type Policy struct {
	// Distance is the load for each unit of capacity by which a server of
	// another data centre must be the better one.
	Distance float64
	// Failing is the load for each unit of capacity that a server which fails
	// all its requests must be the better one by.
	Failing float64
	// MaxSilent is the share of the own data centre's servers, from 0 to 1,
	// that may be left out as silent: beyond it the fault is rather the
	// entry's own.
	MaxSilent float64
}

// Pick returns the place of the chosen candidate, -1 if there is none. random
// returns numbers in [0, 1) and decides between equals.
func (p Policy) Pick(candidates []Candidate, random func() float64) int {
	spare := p.spareSilent(candidates)
	for _, allowed := range []func(*Candidate) bool{
		func(c *Candidate) bool { return !c.Tried && (!c.Silent || spare && !c.Remote) },
		func(c *Candidate) bool { return !c.Silent },
		func(*Candidate) bool { return true },
	} {
		if best := p.least(candidates, allowed, random); best >= 0 {
			return best
		}
	}
	return -1
}

// spareSilent reports whether so many servers of the own data centre seem
// silent that none is left out.
func (p Policy) spareSilent(candidates []Candidate) bool {
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
	return float64(silent) > p.MaxSilent*float64(local)
}

// least returns the place of the allowed candidate of the least cost.
func (p Policy) least(candidates []Candidate, allowed func(*Candidate) bool, random func() float64) int {
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

// cost returns the load for each unit of capacity once the flow is there.
func (p Policy) cost(c *Candidate) float64 {
	cost := (c.Load+1)/c.Capacity + p.Failing*c.Failing
	if c.Remote {
		cost += p.Distance
	}
	return cost
}
