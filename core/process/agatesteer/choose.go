package agatesteer

import (
	"iter"
	"time"

	"agatereach/core/process/agatepick"
)

// choose returns the server for a new flow, nil if there is none.
func (s *Steerer) choose(f *flow, service string, now time.Duration) *server {
	s.candidates = s.candidates[:0]
	s.offered = s.offered[:0]
	long := f.Owner.usage.long()
	for each := range s.some(s.services[service]) {
		s.offered = append(s.offered, each)
		s.candidates = append(s.candidates, agatepick.Candidate{
			Load:     s.load(each, f.Owner.usage, long),
			Capacity: each.capacity(&s.policy, now),
			Remote:   each.instance.Centre != s.centre,
			Silent:   s.silent(each, now),
			Tried:    f.Owner.hasTried(each),
			Failing:  each.evidence().Failing(s.policy.Answers),
		})
	}
	place := s.policy.Pick.Pick(s.candidates, s.random)
	if place < 0 {
		return nil
	}
	chosen := s.offered[place]
	s.tried(chosen, now)
	return chosen
}

// some returns the servers of a service, or with many of them as many as the
// policy allows of the own data centre and of the others, from a random place on.
func (s *Steerer) some(all []*server) iter.Seq[*server] {
	return func(yield func(*server) bool) {
		near, far := s.policy.Choices, s.policy.Choices
		start := int(s.random() * float64(len(all)))
		for i := range all {
			each := all[(start+i)%len(all)]
			left := &near
			if each.instance.Centre != s.centre {
				left = &far
			}
			if *left == 0 {
				continue
			}
			*left--
			if !yield(each) {
				return
			}
		}
	}
}

// silent reports whether a server should be left out. Of another data centre
// one server at a time is tried, since a cut silences all of them.
func (s *Steerer) silent(each *server, now time.Duration) bool {
	if s.unreachable(each) {
		return !s.centreDue(each, now)
	}
	if !each.silence.Suspected(s.policy.Silence) {
		return false
	}
	if each.instance.Centre != s.centre {
		return !s.centreDue(each, now)
	}
	return !each.silence.Due(s.policy.Silence, len(s.statements), now)
}

// tried notes the trial of a server that is left out otherwise.
func (s *Steerer) tried(chosen *server, now time.Duration) {
	if !s.unreachable(chosen) && !chosen.silence.Suspected(s.policy.Silence) {
		return
	}
	chosen.silence.Tried(now)
	if chosen.instance.Centre != s.centre {
		s.centreOf(chosen).tried = now
	}
}

// load returns the number of requests that a server is expected to have under
// way: at the moment for a short flow, on average for a long one.
func (s *Steerer) load(each *server, u *usage, long bool) float64 {
	waiting := float64(len(each.waiting) + len(each.opening))
	busy := max(u.busy, minBusy)
	if long {
		open := float64(each.open) + each.reported.open
		return momentWeight*(waiting+each.reported.waiting) + open*busy
	}
	return waiting + max(float64(each.open)-waiting, 0)*busy + each.reported.waiting
}

const (
	// momentWeight is what the load of the moment counts for when a long flow
	// is placed: it is over long before the flow is.
	momentWeight = 0.3
	// minBusy is the least load that an open flow stands for, so that open
	// flows are spread evenly also while they are quiet.
	minBusy = 0.05
)
