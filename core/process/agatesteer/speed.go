package agatesteer

import (
	"math"
	"slices"
	"time"

	"agatereach/core/process/agatespeed"
	"agatereach/core/process/agateusual"
	"agatereach/core/request/agateload"
)

// speedState is what an entry knows of a server's speed.
type speedState struct {
	// own rests on the requests of this entry alone; that is what others are told.
	own agatespeed.Speed
	// views are those of other entries in their last complete reports.
	views []speedView
	// merged is what own and views give together, as of the last merge, and ratio is
	// its ratio; 0 before the first merge, which counts as 1.
	merged agatespeed.Speed
	ratio  float64
	// reported is the last HealthChange on the speed; empty if it was HealthEven or
	// there was none.
	reported Health
}

// speedView is another entry's view of a server's speed.
type speedView struct {
	// reporter is the number of the entry.
	reporter uint32
	// ratio and weight are as in agateload.Load.
	ratio, weight uint8
}

// factor returns the speed as a factor of a server's slots.
func (s *speedState) factor() float64 {
	if s == nil || s.ratio == 0 {
		return 1
	}
	return s.ratio
}

// ownWeight returns the weight of this entry's samples.
func (s *speedState) ownWeight() float64 {
	if s == nil {
		return 0
	}
	return s.own.Weight()
}

// mergedWeight returns the weight of all samples.
func (s *speedState) mergedWeight() float64 {
	if s == nil {
		return 0
	}
	return s.merged.Weight()
}

// reporters returns the number of other entries with a view.
func (s *speedState) reporters() int {
	if s == nil {
		return 0
	}
	return len(s.views)
}

// speedState returns the state of the server's speed, which it creates if need be.
func (s *server) speedState() *speedState {
	if s.speed == nil {
		s.speed = &speedState{}
	}
	return s.speed
}

// add adds the view of another entry.
func (s *speedState) add(reporter uint32, load agateload.Load) {
	s.views = append(s.views, speedView{reporter: reporter, ratio: load.Speed, weight: load.SpeedWeight})
}

// remove removes the view of another entry.
func (s *speedState) remove(reporter uint32) {
	s.views = slices.DeleteFunc(s.views, func(v speedView) bool { return v.reporter == reporter })
}

// halfLoaded reports whether the given number of requests in progress is more than half
// of the server's slots. Then a new request may have to wait for others.
func (s *server) halfLoaded(pending float64) bool {
	const share = 0.5
	return pending > share*float64(s.instance.Slots)
}

// alone reports whether a request of the flow that has just begun is the only one at its
// server as far as this entry knows. Others' reports are averages of some seconds ago.
func (s *Steerer) alone(srv *server, now time.Duration) bool {
	return len(srv.pendingFlows) == 1 && !srv.halfLoaded(srv.peerLoad.pending) && now >= srv.coldUntil
}

// recordSpeed records the time that an exchange of a flow took, a request if responded is
// set and a handshake otherwise; short is whether the answer is. Handshakes tell the time on
// the way, which differs between data centres; requests, less that, the speed of the
// server. Nothing is told by answers that are much shorter than usual, which are refusals
// and errors, nor while this entry is behind with its packets.
func (s *Steerer) recordSpeed(f *flow, took time.Duration, responded, short bool, now time.Duration) {
	if took <= 0 || now < s.ignoreRetransmitsUntil {
		return
	}
	srv, u := f.State.server, f.State.stats
	way := s.roundTrip(srv)
	if !responded {
		*way = way.WithSample(took)
		return
	}
	if !f.State.alone || short {
		return
	}
	// Callers differ in their distance, so what is left may be too little.
	const leastWork = 4
	took = max(took-way.Duration(), took/leastWork)
	usual := u.usualWork.Duration()
	u.usualWork = u.usualWork.WithSample(took)
	if usual > 0 {
		speed := srv.speedState()
		speed.own = speed.own.WithSample(took, usual)
		s.mergeSpeed(srv)
	}
}

// roundTrip returns the usual time of handshakes with servers of the server's data centre.
func (s *Steerer) roundTrip(srv *server) *agateusual.Time {
	if srv.instance.Centre == s.centre {
		return &s.localRoundTrip
	}
	return &s.centreOf(srv).roundTrip
}

// mergeSpeed merges this and other entries' views of a server's speed.
func (s *Steerer) mergeSpeed(srv *server) {
	delete(s.staleSpeeds, srv)
	s.speeds = append(s.speeds[:0], srv.speed.own)
	for _, v := range srv.speed.views {
		s.speeds = append(s.speeds, agatespeed.Decode(v.ratio, v.weight))
	}
	srv.speed.merged = agatespeed.Merge(s.speeds)
	srv.speed.ratio = srv.speed.merged.Ratio()
}

// markSpeedStale has a server's speed merged anew, unless the server is gone.
func (s *Steerer) markSpeedStale(srv *server) {
	if s.servers[srv.instance.Key] == srv {
		s.staleSpeeds[srv] = struct{}{}
	}
}

// maxToldSpeeds is the number of servers whose speed is told in a report. A round of
// heartbeats goes to 8 entries each 750 ms: with 50 loads and 32 speeds it takes 8.8 KB a
// second, and control traffic may take 10.
const maxToldSpeeds = 32

// leastToldWeight returns the weight from which on the speed of a server is told, so that
// those of the maxToldSpeeds servers with the most samples are.
func (s *Steerer) leastToldWeight() float64 {
	s.weights = s.weights[:0]
	for each := range s.activeServers {
		if weight := each.speed.ownWeight(); weight > 0 {
			s.weights = append(s.weights, weight)
		}
	}
	if len(s.weights) == 0 {
		return math.Inf(1)
	}
	slices.Sort(s.weights)
	return s.weights[max(len(s.weights)-maxToldSpeeds, 0)]
}

// maxSpeedMerges is the maximum number of servers whose speed is merged anew in a tick
// because of reports. Entries of large data centres hear of thousands, with reports that
// are old anyway.
const maxSpeedMerges = 64

// mergeStaleSpeeds merges the speeds of servers whose reports have changed.
func (s *Steerer) mergeStaleSpeeds() {
	merges := 0
	for srv := range s.staleSpeeds {
		if merges == maxSpeedMerges {
			return
		}
		merges++
		s.mergeSpeed(srv)
	}
}

// fadeSpeed lets a server's own speed fade over the time of a tick. While the server is
// loaded it gives no samples, so that what is known stays.
func (s *Steerer) fadeSpeed(srv *server, elapsed time.Duration) {
	if srv.speed.ownWeight() == 0 || srv.halfLoaded(srv.meanPending+srv.peerLoad.pending) {
		return
	}
	srv.speed.own = srv.speed.own.Faded(elapsed)
	s.markSpeedStale(srv)
}

const (
	// slowRatio and fastRatio are the speeds from which on a server is reported as
	// slower or faster than usual, and evenSlowRatio and evenFastRatio those at which
	// it no longer is.
	slowRatio, fastRatio         = 0.7, 1.4
	evenSlowRatio, evenFastRatio = 0.8, 1.25
)

// health returns the state to report for the speed; empty if it is about usual.
func (s *speedState) health() Health {
	if s == nil {
		return ""
	}
	slow, fast := slowRatio, fastRatio
	switch s.reported {
	case HealthSlower:
		slow = evenSlowRatio
	case HealthFaster:
		fast = evenFastRatio
	}
	switch ratio := s.factor(); {
	case ratio < slow:
		return HealthSlower
	case ratio > fast:
		return HealthFaster
	}
	return ""
}
