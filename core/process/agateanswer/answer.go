// Package agateanswer finds backend servers that fail while they answer: what
// they answer is much shorter than what the others give at the same virtual
// address. An entry cannot read answers, yet callers' acknowledgements tell their
// size. Such a server is soon done with each request, so that placement by load
// alone would give it more and more of them.
package agateanswer

import "math"

// Policy holds the thresholds.
type Policy struct {
	// Short is the share of the usual size, from 0 to 1, below which an answer
	// is short.
	Short float64
	// Failed is the share of short answers, from 0 to 1, that a failing server is
	// taken to give, and Least the least one that a healthy server is: answers
	// that were never short may become so.
	Failed, Least float64
	// Limit bounds the evidence, so that a server which recovers is soon believed.
	Limit float64
	// Even is the evidence at which a server is as likely to fail as not.
	Even float64
	// Memory is the share of the evidence that a Decay keeps, from 0 to 1.
	Memory float64
	// Told is the evidence from which on others are told: below it, what a few
	// answers say is as often chance.
	Told float64
}

// Evidence is how much more likely it is that a server fails than that it does
// not, judged by its answers, as the logarithm of the ratio; not negative. That
// of several entries adds up.
type Evidence float64

// Add returns the evidence with that of one more answer.
func (e Evidence) Add(one float64, p Policy) Evidence {
	return min(max(e+Evidence(one), 0), Evidence(p.Limit))
}

// Decay returns the evidence as it weighs some time later.
func (e Evidence) Decay(p Policy) Evidence { return e * Evidence(p.Memory) }

// Failing returns how likely the server is to fail a request, from 0 to 1. Little
// evidence counts for less than its part, since there always is some.
func (e Evidence) Failing(p Policy) float64 {
	square := float64(e * e)
	return square / (square + p.Even*p.Even)
}

// Held reports whether the server is held to fail.
func (e Evidence) Held(p Policy) bool { return e >= Evidence(p.Even) }

// Telling reports whether other entries should know of the evidence.
func (e Evidence) Telling(p Policy) bool { return e >= Evidence(p.Told) }

// endSize is the size of what is no answer: the end of the flow alone, which takes
// one number. A server that has crashed ends its flows so.
const endSize = 1

const (
	// rise and fall are the steps by which the usual size follows longer and
	// shorter answers. Three to one settles where a quarter of the answers are
	// longer, which failures do not reach even where half of all answers fail.
	rise = 0.09
	fall = 0.03
	// shareWeight is the least weight of one answer in the usual share of short
	// ones.
	shareWeight = 0.003
	// firstShare is the share that is assumed before any answer, counted as
	// firstAnswers of them: while little is known, short answers say little.
	firstShare   = 0.3
	firstAnswers = 5
)

// Usual is what the answers at a virtual address are usually like. The zero
// value is an address without answers.
type Usual struct {
	// size is the usual size in bytes; 0 before the first answer.
	size float64
	// short is the usual share of short answers, from 0 to 1, in a number of
	// answers.
	short, answers float64
}

// Judge returns what an answer of a size in bytes says of its server. It counts
// for less the more often answers are short anyway: their runs tell little.
func (u *Usual) Judge(size uint32, p Policy) float64 {
	if size <= endSize {
		return math.Log(p.Failed / p.Least)
	}
	short := min(max(u.short, p.Least), p.Failed)
	weight := 1 - short/p.Failed
	if u.isShort(size, p) {
		return weight * math.Log(p.Failed/short)
	}
	return weight * math.Log((1-p.Failed)/(1-short))
}

func (u *Usual) isShort(size uint32, p Policy) bool { return float64(size) < p.Short*u.size }

// Learn takes in the size of an answer of a server that is not held to fail.
func (u *Usual) Learn(size uint32, p Policy) {
	if size <= endSize {
		return
	}
	if u.size == 0 {
		u.size, u.short = float64(size), firstShare
		return
	}
	short := 0.0
	if u.isShort(size, p) {
		short = 1
	}
	u.answers++
	u.short += (short - u.short) * max(shareWeight, 1/(u.answers+firstAnswers))
	switch {
	case float64(size) > u.size:
		u.size = min(u.size*(1+rise), float64(size))
	case float64(size) < u.size:
		u.size = max(u.size*(1-fall), float64(size))
	}
}
