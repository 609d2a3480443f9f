// Package agatespeed estimates how fast a backend server works, compared with what is
// usual at the virtual addresses that it serves. It answers servers of uneven speed with
// equal slots, and servers that are slow for some seconds.
package agatespeed

import (
	"math"
	"time"
)

const (
	// maxLog bounds the logarithm of a speed: speeds are from 1/4 to 4.
	maxLog = 2 * math.Ln2
	// maxDeviation bounds the influence of one sample: twice the standard deviation of
	// the logarithm of times that vary by 0.5.
	maxDeviation = 1.0
	// changeSamples is the number of consecutive samples beyond maxDeviation, all to
	// the same side, that show that the speed has changed. With times that vary by 0.5,
	// 3% of them seven times as long, chance gives one such run in some 7,000 samples.
	changeSamples = 3
	// returnSamples is that number for a return towards the usual speed from a logarithm
	// of more than deviantLog, which is about 0.7 or 1.4: what a server was slow for is
	// forgotten sooner than it is told.
	returnSamples = 2
	deviantLog    = 0.35
	// maxWeight is the maximum weight in samples, so that a speed that drifts is
	// followed, and no entry's view outweighs many others.
	maxWeight = 255.0 / weightUnit
	// sampleDeviation is the assumed standard deviation of one sample, and
	// toldErrors is the number of standard errors by which an estimate is moved towards
	// 1. It keeps noise from telling equal servers apart.
	sampleDeviation = 0.6
	toldErrors      = 1.2
	// lifetime is the time in which the weight falls to 1/e. At one sample each 5 s and
	// 89 entries, a merged estimate has the weight of 280 samples.
	lifetime = 15 * time.Second
	// minWeight is the weight below which nothing is known: no ratio that it could rest
	// on differs from 1.
	minWeight = 0.5
)

// Speed is an estimate of a server's speed. The zero value knows nothing. A Speed is
// immutable.
type Speed struct {
	// log is the logarithm of the speed before noise is allowed for, from -maxLog to
	// maxLog, and weight is the number of samples that it rests on, faded by age.
	log, weight float32
	// run is the number of the last samples that were beyond maxDeviation, negative if
	// they were slower than the estimate; runDeviation is the smallest deviation of them.
	run          int8
	runDeviation float32
}

// WithSample returns the speed after a request that took the server the given time.
// usual is the usual time of such requests; both are above 0.
func (s Speed) WithSample(took, usual time.Duration) Speed {
	deviation := math.Log(float64(usual)/float64(took)) - float64(s.log)
	s = s.countRun(deviation)
	if needed := s.neededRun(); s.run >= needed || s.run <= -needed {
		return Speed{log: bounded(float64(s.log + s.runDeviation)), weight: float32(needed)}
	}
	s.weight = min(s.weight+1, maxWeight)
	s.log = bounded(float64(s.log) + clip(deviation, maxDeviation)/float64(s.weight))
	return s
}

// countRun returns the speed with the run of samples that deviate to the same side
// continued, begun or ended.
func (s Speed) countRun(deviation float64) Speed {
	side := int8(1)
	if deviation < 0 {
		side = -1
	}
	switch {
	case math.Abs(deviation) <= maxDeviation:
		s.run, s.runDeviation = 0, 0
	case s.run*side <= 0:
		s.run, s.runDeviation = side, float32(deviation)
	default:
		s.run += side
		if math.Abs(deviation) < math.Abs(float64(s.runDeviation)) {
			s.runDeviation = float32(deviation)
		}
	}
	return s
}

// neededRun returns the length of the current run from which on the speed has changed.
func (s Speed) neededRun() int8 {
	if math.Abs(float64(s.log)) > deviantLog && s.log*float32(s.run) < 0 {
		return returnSamples
	}
	return changeSamples
}

// Faded returns the speed after the given time without samples.
func (s Speed) Faded(d time.Duration) Speed {
	if s.weight == 0 {
		return s
	}
	s.weight *= float32(math.Exp(-float64(d) / float64(lifetime)))
	if s.weight < minWeight {
		return Speed{}
	}
	return s
}

// Weight returns the number of samples that the speed rests on.
func (s Speed) Weight() float64 { return float64(s.weight) }

// Ratio returns the speed as a ratio to the usual one, from 1/4 to 4. It is 1 unless the
// samples show more than noise.
func (s Speed) Ratio() float64 {
	if s.weight == 0 {
		return 1
	}
	noise := toldErrors * sampleDeviation / math.Sqrt(float64(s.weight))
	size := math.Abs(float64(s.log)) - noise
	if size <= 0 {
		return 1
	}
	return math.Exp(math.Copysign(size, float64(s.log)))
}

// clip limits x to -limit to limit.
func clip(x, limit float64) float64 { return min(max(x, -limit), limit) }

// bounded limits the logarithm of a speed to its range.
func bounded(log float64) float32 { return float32(clip(log, maxLog)) }
