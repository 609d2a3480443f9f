package agatelatency_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"agatereach/core/process/agatelatency"
)

// TestExponentialDistribution checks the estimates of the mean and the 0.99 quantile
// for exponentially distributed samples.
func TestExponentialDistribution(t *testing.T) {
	const mean = 20 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 1))
	var l agatelatency.Latency
	var sum time.Duration
	const warmup, count = 20000, 20000
	for i := range warmup + count {
		l.Add(time.Duration(random.ExpFloat64() * float64(mean)))
		if i >= warmup {
			sum += l.P99()
		}
	}
	if l.Mean() < mean/2 || l.Mean() > 2*mean {
		t.Errorf("mean %v, want about %v", l.Mean(), mean)
	}
	// The 0.99 quantile of the exponential distribution is 4.6 times its mean.
	if p99 := sum / count; p99 < 4*mean || p99 > 6*mean {
		t.Errorf("P99 %v, want about %v", p99, 46*mean/10)
	}
}

// TestOutlierIsClamped checks that a single outlier does not more than double the
// mean.
func TestOutlierIsClamped(t *testing.T) {
	var l agatelatency.Latency
	for range 100 {
		l.Add(time.Millisecond)
	}
	l.Add(time.Minute)
	if l.Mean() > 2*time.Millisecond {
		t.Errorf("mean %v after one outlier of a minute", l.Mean())
	}
}
