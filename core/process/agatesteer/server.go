package agatesteer

import (
	"time"

	"agatereach/core/connection/agatetrack"
	"agatereach/core/process/agateanswer"
	"agatereach/core/process/agatesilence"
	"agatereach/core/version/agateinstance"
)

// flow is a followed flow with what a steerer keeps with it.
type flow = agatetrack.Flow[owner]

// owner is what a steerer keeps with a flow.
type owner struct {
	// server is the flow's server; nil before the first and after it is forgotten.
	server *server
	// usage is that of the flow's virtual address; nil if none is known.
	usage *usage
	// counted says in which of the server's counts the flow is.
	counted agatetrack.Phase
	// tried are the servers that got the flow's SYN, and triedCount their number.
	tried      [3]*server
	triedCount int
	// acknowledged is the caller's newest acknowledgement.
	acknowledged uint32
}

// hasTried reports whether the server got the flow's SYN.
func (o *owner) hasTried(s *server) bool {
	for _, each := range o.tried[:o.triedCount] {
		if each == s {
			return true
		}
	}
	return false
}

// before returns the id of the last server that got the flow's SYN ahead of another
// one, 0 for none.
func (o *owner) before(last *server) uint64 {
	for i := o.triedCount - 1; i >= 0; i-- {
		if o.tried[i] != last {
			return o.tried[i].instance.ID
		}
	}
	return 0
}

// server is what an entry knows of an incarnation beyond its registration.
type server struct {
	instance agateinstance.Instance
	// token is the one for new flows; 0 if it can take none.
	token uint32
	// warm is when it is no longer cold.
	warm time.Duration
	// opening are this entry's flows whose handshake has no answer yet, and open
	// counts those that are open.
	opening map[*flow]struct{}
	open    int
	// waiting are this entry's flows with a request under way.
	waiting map[*flow]struct{}
	// busy is the smoothed number of this entry's requests under way.
	busy float64
	// silence is what is known of it not answering.
	silence agatesilence.Watch
	// heldSilent says what was last told of its silence.
	heldSilent bool
	// contradicted says that another entry suspects it wrongly and should be told.
	contradicted bool
	// failing is what the answers that this entry has seen say of it, and
	// heldFailing what was last told.
	failing     agateanswer.Evidence
	heldFailing bool
	// reported is the load that other entries state, and suspicions are what
	// they say of answers that it owes.
	reported   reported
	suspicions map[string]agatesilence.Evidence
}

// reported is the load that other entries of a server state.
type reported struct {
	// waiting and open are sums over the entries; waiting is smoothed, since
	// what was under way when they wrote is over when it is read.
	waiting, open float64
	// failing is the sum of their evidence from answers.
	failing agateanswer.Evidence
}

// usage is what an entry has learnt of the flows to a virtual address.
type usage struct {
	// open and waiting count the flows that are open, and of these the ones
	// with a request under way.
	open, waiting int
	// busy is the smoothed share of the open flows with a request under way.
	busy float64
	// flows and requests are smoothed counts; their ratio tells how many
	// requests a flow brings.
	flows, requests float64
	// usual is what the answers are like.
	usual agateanswer.Usual
}

// busyWeight is the weight of one sample in smoothed numbers; at a sample each
// 100 ms they follow within a second.
const busyWeight = 0.1

// sample takes the requests under way into the smoothed number.
func (s *server) sample() {
	s.busy += (float64(len(s.waiting)+len(s.opening)) - s.busy) * busyWeight
}

// sample takes the present share into the smoothed one.
func (u *usage) sample() {
	if u.open > 0 {
		u.busy += (float64(u.waiting)/float64(u.open) - u.busy) * busyWeight
	}
}

// long reports whether flows bring several requests each, so that their later
// load counts for more than the load of the moment.
func (u *usage) long() bool { return u.requests > longRequests*u.flows && u.flows > 0 }

// longRequests is the number of requests a flow above which flows count as
// long. Flows of one request have 1; a lost segment does not make it 1.5.
const longRequests = 1.5

// evidence returns what this and other entries hold of the server's answers.
func (s *server) evidence() agateanswer.Evidence { return s.failing + s.reported.failing }

// negligible is the load, and the evidence, below which a server counts as idle.
const negligible = 0.005

// quiet reports whether nothing is known of the server beyond its record and
// when it was heard.
func (s *server) quiet() bool {
	idle := s.open == 0 && len(s.opening) == 0 && len(s.waiting) == 0 && s.busy < negligible
	trusted := s.silence.Own().Flows == 0 && len(s.suspicions) == 0 && !s.contradicted && !s.heldSilent
	return idle && trusted && s.failing < negligible && !s.heldFailing
}

// capacity returns the number of requests that the server runs at full speed.
func (s *server) capacity(p *Policy, now time.Duration) float64 {
	slots := float64(s.instance.Slots)
	if now < s.warm {
		return slots * p.Cold
	}
	return slots
}
