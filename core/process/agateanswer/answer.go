// Package agateanswer detects backend servers that fail while they still answer,
// by answers much shorter than those of the other servers of the same virtual
// address. An entry doesn't see the answers, but learns their sizes from the
// callers' acknowledgements. Such a server finishes each request quickly, so that
// placement by load alone would send it more and more requests.
package agateanswer

import "math"

// Policy holds the thresholds of the detection.
type Policy struct {
	// ShortRatio is the fraction of the usual size, from 0 to 1, below which an answer
	// counts as short.
	ShortRatio float64
	// FailingShortShare is the assumed share of short answers of a failing server,
	// from 0 to 1, and HealthyShortShare the lowest assumed share of a healthy
	// server. HealthyShortShare is above 0, since a healthy server may give short
	// answers even where there were none.
	FailingShortShare, HealthyShortShare float64
	// MaxEvidence is the maximum evidence, so that a server that recovers is soon
	// counted as healthy.
	MaxEvidence float64
	// FailingThreshold is the evidence at which a server is as likely to be failing
	// as not.
	FailingThreshold float64
	// DecayFactor is the factor by which Decay multiplies the evidence, from 0 to 1.
	DecayFactor float64
	// ReportThreshold is the minimum evidence that is sent to other entries. Below
	// it, a few short answers are as often chance.
	ReportThreshold float64
}

// Evidence is the log-likelihood ratio, given a server's answers, of the server
// failing to it being healthy; not negative. The evidence of several entries adds
// up.
type Evidence float64

// Add returns the evidence after one more answer with the given score.
func (e Evidence) Add(score float64, p Policy) Evidence {
	return min(max(e+Evidence(score), 0), Evidence(p.MaxEvidence))
}

// Decay returns the evidence after one decay period.
func (e Evidence) Decay(p Policy) Evidence { return e * Evidence(p.DecayFactor) }

// FailureProbability returns the estimated probability that the server fails a
// request, from 0 to 1. It grows with the square of low evidence, since healthy servers always have
// some.
func (e Evidence) FailureProbability(p Policy) float64 {
	square := float64(e * e)
	return square / (square + p.FailingThreshold*p.FailingThreshold)
}

// IsFailing reports whether the server counts as failing.
func (e Evidence) IsFailing(p Policy) bool { return e >= Evidence(p.FailingThreshold) }

// ShouldReport reports whether the evidence is sent to other entries.
func (e Evidence) ShouldReport(p Policy) bool { return e >= Evidence(p.ReportThreshold) }

// finSize is the size of a flow's end without an answer, which takes one sequence
// number. A server that has crashed ends its flows this way.
const finSize = 1

const (
	// growthStep and shrinkStep are the relative steps by which the usual size
	// follows longer and shorter answers. With a ratio of three to one it settles
	// where a quarter of the answers are longer, so that the short answers of
	// failures don't set it even if half of all answers fail.
	growthStep = 0.09
	shrinkStep = 0.03
	// minShareWeight is the minimum weight of one answer in the usual share of
	// short answers.
	minShareWeight = 0.003
	// initialShortShare is the share of short answers that is assumed before the
	// first answer. It counts as much as initialAnswers answers, so that short
	// answers are weak evidence while few answers are known.
	initialShortShare = 0.3
	initialAnswers    = 5
)

// Baseline describes the answers of a virtual address: the usual size of its answers and
// the usual share of short ones. The zero value has no answers.
type Baseline struct {
	// usualSize is the usual size in bytes; 0 before the first answer.
	usualSize float64
	// shortShare is the usual share of short answers, from 0 to 1, and answers the
	// number of answers that it is estimated from.
	shortShare, answers float64
}

// Score returns the score of an answer of the given size in bytes, which is to be
// added to the evidence on its server. The more often answers are short anyway, the
// less the score counts, since several short answers in a row mean little then.
func (b *Baseline) Score(size uint32, p Policy) float64 {
	if size <= finSize {
		return math.Log(p.FailingShortShare / p.HealthyShortShare)
	}
	expected := min(max(b.shortShare, p.HealthyShortShare), p.FailingShortShare)
	weight := 1 - expected/p.FailingShortShare
	if b.IsShort(size, p) {
		return weight * math.Log(p.FailingShortShare/expected)
	}
	return weight * math.Log((1-p.FailingShortShare)/(1-expected))
}

// IsShort reports whether an answer of the given size in bytes is short, as refusals,
// errors and the ends of flows are.
func (b *Baseline) IsShort(size uint32, p Policy) bool {
	return size <= finSize || float64(size) < p.ShortRatio*b.usualSize
}

// Observe updates the baseline with the size in bytes of an answer of a server that
// doesn't count as failing.
func (b *Baseline) Observe(size uint32, p Policy) {
	if size <= finSize {
		return
	}
	if b.usualSize == 0 {
		b.usualSize, b.shortShare = float64(size), initialShortShare
		return
	}
	observed := 0.0
	if b.IsShort(size, p) {
		observed = 1
	}
	b.answers++
	b.shortShare += (observed - b.shortShare) * max(minShareWeight, 1/(b.answers+initialAnswers))
	switch {
	case float64(size) > b.usualSize:
		b.usualSize = min(b.usualSize*(1+growthStep), float64(size))
	case float64(size) < b.usualSize:
		b.usualSize = max(b.usualSize*(1-shrinkStep), float64(size))
	}
}
