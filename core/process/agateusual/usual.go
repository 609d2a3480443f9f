// Package agateusual learns the usual length of a time that varies from sample to
// sample, such as the time of a virtual address's requests or of handshakes.
package agateusual

import (
	"math"
	"time"
)

const (
	// minSamples is the number of samples before which the usual time isn't known. The
	// median of ten samples with a standard deviation of 0.5 in the logarithm is within
	// 40% of the true one in 19 of 20 cases.
	minSamples = 10
	// minStep is the weight of one sample once many are known: at 25 samples a second
	// the usual time follows a change within 2 s, with a standard error of 5%.
	minStep = 0.02
	// maxDeviation limits how far a sample counts from the usual time, in the logarithm.
	maxDeviation = 1
)

// Time is the usual length of a time. The zero value knows none. It answers uneven and
// skewed samples: one of them moves it by a bounded factor, however long it is.
type Time struct {
	// log is the logarithm of the time in ns, and samples is the number of samples up
	// to 1/minStep.
	log     float64
	samples float64
}

// WithSample returns the time after one more sample.
func (t Time) WithSample(d time.Duration) Time {
	sample := math.Log(float64(max(d, 1)))
	if t.samples == 0 {
		return Time{log: sample, samples: 1}
	}
	deviation := min(max(sample-t.log, -maxDeviation), maxDeviation)
	t.samples = min(t.samples+1, 1/minStep)
	t.log += deviation / t.samples
	return t
}

// Duration returns the usual time, or 0 if it isn't known yet.
func (t Time) Duration() time.Duration {
	if t.samples < minSamples {
		return 0
	}
	return time.Duration(math.Exp(t.log))
}
