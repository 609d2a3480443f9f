// Package agatelatency estimates the response times of one class of requests.
package agatelatency

import "time"

const (
	// meanShift is the weight of a new sample in the mean, as a negative power
	// of two.
	meanShift = 5
	// clampFactor bounds the samples that enter the mean, as a multiple of the
	// mean, so that a single outlier does not inflate it.
	clampFactor = 10
	// quantile is the quantile that P99 estimates.
	quantile = 0.99
	// step scales the relative change of the estimated quantile per sample.
	step = 0.05
)

// Latency estimates the mean and the 0.99 quantile of a stream of durations in
// constant memory. The quantile estimate moves up by a step for each sample above it
// and down by a smaller step for each other one, and so converges to the value at
// which the two balance (Ma, Muthukrishnan and Sandler, "Frugal Streaming for
// Estimating Quantiles", 2013). The zero value has no samples.
type Latency struct {
	// mean and p99 are 0 until the first sample.
	mean, p99 time.Duration
}

// Add adds a sample. It ignores samples that are not positive.
func (l *Latency) Add(d time.Duration) {
	if d <= 0 {
		return
	}
	if l.mean == 0 {
		l.mean, l.p99 = d, 2*d
		return
	}
	l.mean += (min(d, clampFactor*l.mean) - l.mean) >> meanShift
	factor := 1 - step*(1-quantile)
	if d > l.p99 {
		factor = 1 + step*quantile
	}
	l.p99 = time.Duration(float64(l.p99) * factor)
}

// Mean returns the exponentially weighted mean, 0 before the first sample.
func (l *Latency) Mean() time.Duration { return l.mean }

// P99 returns an estimate of the 0.99 quantile, at least the mean; 0 before the
// first sample.
func (l *Latency) P99() time.Duration { return max(l.p99, l.mean) }
